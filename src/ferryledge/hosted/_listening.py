"""Listens before the rest of a process is imported.

It answers the return of power everywhere, when imports take each process
half a second and more. Connections that are opened meanwhile wait in the
machine's queue for the process to take them; refused ones would come again
much later, as those of clients do, or be tried over and over.
"""

from collections import abc
import contextlib
import enum
import socket

from ferryledge import _sockets
from ferryledge import platform


class Role(enum.StrEnum):
    """What a process is, as the command line names it."""

    ENTRY = "entry"
    AGENT = "agent"


class Listeners:
    """Sockets that listen already, by their addresses."""

    def __init__(self) -> None:
        self._sockets: dict[tuple[str, int], socket.socket] = {}

    def open(self, address: tuple[str, int]) -> None:
        """Listen on an address, if it can be had.

        If not, whoever serves there finds out why.
        """
        with contextlib.suppress(OSError):
            listener = _sockets.bind(*address)
            listener.listen(_sockets.BACKLOG)
            self._sockets[address] = listener

    def take(self, address: tuple[str, int]) -> socket.socket | None:
        """Return the socket for an address, once; none if there is none."""
        return self._sockets.pop(address, None)


def listen(command: abc.Sequence[str]) -> Listeners:
    """Listen where a role's settings say, as far as they can be read.

    :param command: the words of the command line, the role first
    """
    listeners = Listeners()
    with contextlib.suppress(platform.SettingsError):
        for address in _addresses(command, platform.read_settings()):
            listeners.open(address)
    return listeners


def _addresses(
    command: abc.Sequence[str], settings: platform.Settings
) -> list[tuple[str, int]]:
    """Return the addresses at which a role is called."""
    addresses = settings.listen_addrs
    match command:
        case [Role.ENTRY]:
            return [
                platform.split_address(addresses.frontend),
                platform.split_address(addresses.readiness),
                (settings.stream_host, settings.stream_port),
            ]
        case [Role.AGENT]:
            return [platform.split_address(addresses.control_plane)]
    return []
