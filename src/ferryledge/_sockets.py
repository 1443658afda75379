"""Sockets to listen on, without anything that takes long to import."""

import socket

#: Connections that wait to be accepted: all agents may come at once after a
#: loss of power, and one that finds the queue full comes again after seconds.
BACKLOG = 2048


def bind(host: str, port: int) -> socket.socket:
    """Return a bound socket that does not listen yet.

    :param host: IP number
    :param port: TCP port; 0 picks one
    :raises OSError: if the address can't be had
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
