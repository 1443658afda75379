"""The other entries: their addresses and the newest configuration."""

from ferryledge.leases import _entry_events
from ferryledge import wire


class EntryPeers:
    """Hands addresses and configurations on between entries and agents.

    The store may turn this process away while it serves others: what any
    entry reads, all learn.
    """

    def __init__(self) -> None:
        self._entries: dict[str, wire.EntryAddress] = {}
        self._peers: dict[str, wire.Role] = {}
        self._version = 0
        self._config = b""
        self._actions: list[_entry_events.EntryAction] = []

    @property
    def version(self) -> int:
        """The newest configuration's version; 0 is none."""
        return self._version

    def take_actions(self) -> list[_entry_events.EntryAction]:
        """Return what is to be done."""
        actions = self._actions
        self._actions = []
        return actions

    def join(self, hello: wire.Hello) -> None:
        """Tell a new peer what is known."""
        self._peers[hello.name] = hello.role
        self._send(hello.name, self._list())
        if self._version and hello.role is wire.Role.ENTRY:
            self._send(hello.name, self._reply())

    def leave(self, name: str) -> None:
        """Note that a peer's stream broke."""
        self._peers.pop(name, None)

    def learn_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        """Take in addresses; a changed one replaces the former."""
        fresh = tuple(
            one for one in entries if self._entries.get(one.name) != one
        )
        if not fresh:
            return
        self._entries.update({one.name: one for one in fresh})
        self._actions.append(_entry_events.DialEntries(fresh))
        for peer in self._peers:
            self._send(peer, self._list())

    def learn_config(self, version: int, data: bytes) -> None:
        """Take in a configuration; an older one changes nothing."""
        if version <= self._version:
            return
        self._version = version
        self._config = data
        self._actions.append(_entry_events.ApplyConfig(version, data))
        for peer, role in self._peers.items():
            if role is wire.Role.ENTRY:
                self._send(peer, self._reply())

    def _list(self) -> wire.EntryList:
        return wire.EntryList(tuple(self._entries.values()))

    def _reply(self) -> wire.ConfigReply:
        return wire.ConfigReply(self._version, self._config)

    def _send(self, peer: str, message: wire.Message) -> None:
        self._actions.append(_entry_events.SendMessage(peer, message))
