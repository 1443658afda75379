"""Opens listening sockets before the rest of a process is imported.

Imports take half a second and more when all processes start at once.
Connections that arrive meanwhile wait in the socket's backlog instead of being
refused and retried by clients after a delay.
"""

from collections import abc
import contextlib
import enum
import socket

from ferryledge import _sockets
from ferryledge import platform


class Role(enum.StrEnum):
    """Role of a process, as given on the command line."""

    ENTRY = "entry"
    AGENT = "agent"


class Listeners:
    """Listening sockets that were opened early, by address."""

    def __init__(self) -> None:
        self._sockets: dict[tuple[str, int], socket.socket] = {}

    def open(self, address: tuple[str, int]) -> None:
        """Listen on an address if possible.

        Errors are ignored: the server reports them when it binds the address.
        """
        with contextlib.suppress(OSError):
            listener = _sockets.bind(*address)
            listener.listen(_sockets.BACKLOG)
            self._sockets[address] = listener

    def take(self, address: tuple[str, int]) -> socket.socket | None:
        """Remove and return the socket for an address, or return none."""
        return self._sockets.pop(address, None)


def listen(command: abc.Sequence[str]) -> Listeners:
    """Listen on the addresses that the settings name for a role.

    Invalid settings are ignored here; the command reports them.

    :param command: command-line arguments, the role first
    """
    listeners = Listeners()
    with contextlib.suppress(platform.SettingsError):
        for address in _addresses(command, platform.read_settings()):
            listeners.open(address)
    return listeners


def _addresses(
    command: abc.Sequence[str], settings: platform.Settings
) -> list[tuple[str, int]]:
    """Return the addresses that a role serves."""
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
