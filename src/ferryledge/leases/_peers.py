"""The other processes, and what they are told of operators' changes."""

import dataclasses

from ferryledge.leases import _agent_events
from ferryledge.leases import _config_exchange
from ferryledge.leases import _config_readers
from ferryledge.leases import _cordons
from ferryledge.leases import _entry_events
from ferryledge import wire

#: Seconds for which a peer may have a newer configuration before it is asked
#: for it: mostly the store has told it here by then. A configuration of 30 kB
#: takes a link of 2 Mbit/s for 0.12 s, so it is sent to nobody unasked.
_READ_ALONE_S = 0.3
#: Seconds between signs of life to another entry. Configurations must be in
#: force within two to three seconds, also through a peer.
_ALIVE_EVERY_S = 1.0
#: Silence after which the stream to another entry is opened anew: two signs
#: of life went missing.
_SILENCE_S = 2.2


@dataclasses.dataclass(slots=True)
class _Peer:
    """A process with a stream to this entry."""

    role: wire.Role
    heard_at: float
    #: Whether it takes word of cordoned zones.
    cordons: bool = False
    #: Whether it takes differences between configurations.
    config_deltas: bool = False
    #: The newest configuration that it is known to have.
    version: int = 0
    #: When it was asked for that last.
    asked_at: float = float("-inf")
    told_at: float = float("-inf")


class EntryPeers:
    """Hands addresses, configurations and cordons on between processes.

    The store may turn this process away while it serves others: what any
    entry reads, all learn.

    :param cordons: the cordoned availability zones
    :param is_narrow_link: whether configurations hold up this machine's link
    """

    def __init__(
        self, cordons: _cordons.Cordons, is_narrow_link: bool = False
    ) -> None:
        self._cordons = cordons
        self._exchange = _config_exchange.ConfigExchange()
        self._readers = _config_readers.ConfigReaders(is_narrow_link)
        self._entries: dict[str, wire.EntryAddress] = {}
        self._peers: dict[str, _Peer] = {}
        #: Since when some peer is known to have a newer one.
        self._behind_since: float | None = None
        self._actions: list[_entry_events.EntryAction] = []

    @property
    def version(self) -> int:
        """The newest configuration's version; 0 is none."""
        return self._exchange.version

    @property
    def digest(self) -> bytes:
        """What tells that configuration from all others; empty is none."""
        return self._exchange.digest

    @property
    def config_reader(self) -> str:
        """The agent that reads configurations for this entry, or empty."""
        return self._readers.current

    def address_of(self, name: str) -> wire.EntryAddress | None:
        """Return where an entry listens, or none."""
        return self._entries.get(name)

    def take_actions(self) -> list[_entry_events.EntryAction]:
        """Return what is to be done."""
        actions = self._actions
        self._actions = []
        return actions

    def join(self, now: float, hello: wire.Hello) -> None:
        """Tell a new peer what is known."""
        peer = _Peer(
            hello.role,
            now,
            hello.cordons,
            hello.config_deltas,
            hello.config_version,
        )
        self._peers[hello.name] = peer
        self._send(hello.name, self._list())
        # Before the configuration, which lets an entry take jobs.
        if self._cordons.state.version:
            self._tell_cordons(hello.name)
        if self.version and hello.role is wire.Role.ENTRY:
            # The greeting may be older than what has come since.
            self._send(hello.name, self._alive())
        if hello.reads_configs and self._readers.join(hello.name):
            self._ask_reader()
        elif hello.name == self.config_reader:
            # It has forgotten this entry with its former stream.
            self._ask_reader()

    def leave(self, name: str) -> None:
        """Note that a peer's stream broke."""
        self._peers.pop(name, None)
        if self._readers.leave(name):
            self._ask_reader()

    def replace_config_reader(self) -> None:
        """Ask another agent: the present one missed a configuration."""
        if self._readers.fail():
            self._ask_reader()

    def _ask_reader(self) -> None:
        request = wire.ConfigRequest(self._exchange.digest, follow=True)
        self._send(self.config_reader, request)

    def learn_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        """Take in addresses; a changed one replaces the former."""
        fresh = tuple(
            one for one in entries if self._entries.get(one.name) != one
        )
        if not fresh:
            return
        self._entries.update({one.name: one for one in fresh})
        self._actions.append(_entry_events.DialEntries(fresh))
        # Peers heard of the others when they joined.
        news = wire.EntryList(fresh)
        for peer in self._peers:
            self._send(peer, news)

    def learn_config(
        self, version: int, data: bytes, log_end: int = 0
    ) -> None:
        """Take in a configuration; an older one changes nothing."""
        if not self._exchange.learn(version, data, log_end):
            return
        self._actions.append(_entry_events.ApplyConfig(version, data, log_end))
        self._behind_since = None
        for name in self.entry_names():
            self._send(name, self._alive())

    def apply_config_delta(self, name: str, delta: wire.ConfigDelta) -> None:
        """Take in how a peer's configuration differs, or ask for all."""
        if delta.version <= self.version:
            return
        try:
            data = self._exchange.restore(delta)
        except _config_exchange.ExchangeError:
            follow = name == self.config_reader
            self._send(name, wire.ConfigRequest(follow=follow))
            return
        self.learn_config(delta.version, data, delta.log_end)

    def send_config(self, name: str, request: wire.ConfigRequest) -> None:
        """Send an entry that asks for it the configuration, if any."""
        peer = self._peers.get(name)
        if not self.version or peer is None:
            return
        if peer.config_deltas:
            self._send(name, self._exchange.delta_for(request.digest))
        else:
            self._send(name, self._reply())

    def note_version(self, name: str, version: int) -> None:
        """Take in which configuration a peer has."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.version = version

    def request_newer_config(self, now: float) -> None:
        """Ask a peer for a newer configuration that the store does not tell.

        :param now: monotonic seconds
        """
        newer = [
            name
            for name, peer in self._peers.items()
            if peer.version > self.version
        ]
        if not newer:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _READ_ALONE_S:
            self._behind_since = now
            # In turn: one may hear nothing of this entry.
            name = min(newer, key=lambda one: self._peers[one].asked_at)
            self._peers[name].asked_at = now
            self._send(name, wire.ConfigRequest(self._exchange.digest))

    def learn_cordons(self, state: wire.CordonedZones) -> bool:
        """Take in which zones are cordoned, and hand that on.

        :return: whether that is news
        """
        if not self._cordons.learn(state):
            return False
        for name in self._peers:
            self._tell_cordons(name)
        return True

    def reconcile_cordons(self, name: str, state: wire.CordonedZones) -> bool:
        """Take in what a peer says of cordoned zones, or correct it.

        :return: whether that is news
        """
        if self._cordons.is_behind(state):
            self._tell_cordons(name)
        return self.learn_cordons(state)

    def _tell_cordons(self, name: str) -> None:
        peer = self._peers.get(name)
        if peer is not None and peer.cordons:
            self._send(name, self._cordons.state)

    def note_received(self, now: float, name: str) -> None:
        """Note that a message came from a peer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.heard_at = now

    def send_keep_alives(self, now: float) -> None:
        """Show other entries that this one is alive; drop silent streams."""
        for name in self.entry_names():
            peer = self._peers[name]
            if now - peer.heard_at > _SILENCE_S:
                self._actions.append(_agent_events.CloseStream(name))
                self.leave(name)
            elif now - peer.told_at >= _ALIVE_EVERY_S:
                peer.told_at = now
                self._send(name, self._alive())

    def reset_silence_timers(self, now: float) -> None:
        """Start counting silence anew: this process was paused itself."""
        for peer in self._peers.values():
            peer.heard_at = now

    def entry_names(self) -> list[str]:
        """Return the other entries with a stream to this one."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.role is wire.Role.ENTRY
        ]

    def _list(self) -> wire.EntryList:
        return wire.EntryList(tuple(self._entries.values()))

    def _alive(self) -> wire.KeepAlive:
        return wire.KeepAlive(self.version)

    def _reply(self) -> wire.ConfigReply:
        return wire.ConfigReply(self.version, self._exchange.data)

    def _send(self, peer: str, message: wire.Message) -> None:
        self._actions.append(_entry_events.SendMessage(peer, message))
