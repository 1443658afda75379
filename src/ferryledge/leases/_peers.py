"""An entry's peers: streams, configurations and cordoned zones.

An entry exchanges the addresses of entries, the newest configuration and the
cordoned zones with its peers, so that a process that can't reach the store
still learns of them.
"""

from collections import abc
import dataclasses

from ferryledge.leases import _agent_events
from ferryledge.leases import _config_exchange
from ferryledge.leases import _config_readers
from ferryledge.leases import _cordons
from ferryledge.leases import _entry_events
from ferryledge import wire

#: Seconds to wait for the store before a newer configuration is requested
#: from a peer; mostly it has delivered by then. Configurations are sent on
#: request only, since a large one blocks a narrow link: 30 kB take a link of
#: 2 Mbit/s for 0.12 s.
_STORE_WAIT_S = 0.3
#: Seconds between keep-alive messages to another entry. They carry the version
#: of the configuration, which must be in force within two to three seconds.
_KEEP_ALIVE_INTERVAL_S = 0.5
#: Seconds of silence after which a second stream to another entry is opened:
#: two keep-alive messages are missing. A client whose connection went silent
#: together with the stream submits its job again after 1.3 s, and the entries
#: must be in touch by then.
_SUSPICION_S = 1.05
#: The same if the entry also left a request unanswered.
_UNANSWERED_SUSPICION_S = 0.6
#: Seconds between attempts to open a second stream.
_REOPEN_INTERVAL_S = 0.3
#: Seconds of silence after which the stream to another entry is closed and
#: dialled again.
_SILENCE_S = 2.2


#: Returns whether a configuration is valid.
AcceptsConfig = abc.Callable[[bytes], bool]


@dataclasses.dataclass(slots=True)
class _Peer:
    """A process with a stream to this entry."""

    role: wire.Role
    received_at: float
    #: Whether it understands messages about cordoned zones.
    takes_cordons: bool = False
    #: Whether it understands differences between configurations.
    takes_config_deltas: bool = False
    #: Whether it understands messages about jobs that were submitted again.
    detects_duplicates: bool = False
    #: The version of the newest configuration that it is known to have.
    version: int = 0
    #: When the configuration was last requested from it.
    requested_at: float = float("-inf")
    #: When the last keep-alive message was sent to it.
    keep_alive_at: float = float("-inf")
    #: Whether a second stream is being opened.
    is_suspected: bool = False
    #: Earliest time of the next attempt to open one.
    reopen_at: float = float("-inf")


class EntryPeers:
    """Exchanges addresses, configurations and cordons with other processes.

    The store may be unreachable for this process while others can read it,
    so whatever one entry reads is forwarded to all.

    :param name: name of this entry
    :param cordons: the cordoned availability zones
    :param is_narrow_link: whether a large configuration would block this
        machine's link; an agent then reads configurations for this entry
    :param accepts_config: returns whether a peer's configuration is valid
        here; a peer of another release may accept more. Defaults to all.
    """

    def __init__(
        self,
        name: str,
        cordons: _cordons.Cordons,
        is_narrow_link: bool = False,
        accepts_config: AcceptsConfig | None = None,
    ) -> None:
        self._name = name
        self._cordons = cordons
        self._accepts_config = accepts_config
        #: The newest version of a peer that is invalid here.
        self._rejected_version = 0
        self._exchange = _config_exchange.ConfigExchange()
        self._readers = _config_readers.ConfigReaders(is_narrow_link)
        self._addresses: dict[str, wire.EntryAddress] = {}
        self._peers: dict[str, _Peer] = {}
        #: Since when some peer is known to have a newer configuration.
        self._behind_since: float | None = None
        self._actions: list[_entry_events.EntryAction] = []

    @property
    def version(self) -> int:
        """The version of the newest configuration; 0 if there is none."""
        return self._exchange.version

    @property
    def digest(self) -> bytes:
        """The digest of the newest configuration; empty if there is none."""
        return self._exchange.digest

    @property
    def config_reader(self) -> str:
        """The agent that reads configurations for this entry; may be empty."""
        return self._readers.current

    def address_of(self, name: str) -> wire.EntryAddress | None:
        """Return an entry's address; ``None`` if it is unknown."""
        return self._addresses.get(name)

    def pop_actions(self) -> list[_entry_events.EntryAction]:
        """Return the pending actions and clear them."""
        actions = self._actions
        self._actions = []
        return actions

    def join(self, now: float, hello: wire.Hello) -> None:
        """Add a new peer and send it the addresses, cordons and version.

        :param now: monotonic seconds
        :param hello: the peer's greeting
        """
        peer = _Peer(
            hello.role,
            now,
            hello.cordons,
            hello.config_deltas,
            hello.role is wire.Role.ENTRY and hello.detects_duplicates,
            hello.config_version,
        )
        self._peers[hello.name] = peer
        self._send(hello.name, self._entry_list())
        # Cordons go first: an entry takes jobs once it has a configuration.
        if self._cordons.state.version:
            self._send_cordons(hello.name)
        if self.version and hello.role is wire.Role.ENTRY:
            # The version in the greeting may be outdated by now.
            self._send(hello.name, self._keep_alive())
        if hello.reads_configs and self._readers.join(hello.name):
            self._request_from_reader()
        elif hello.name == self.config_reader:
            # The agent dropped the request when its former stream closed.
            self._request_from_reader()

    def is_connected(self, name: str) -> bool:
        """Return whether a peer's stream is open."""
        return name in self._peers

    def leave(self, name: str) -> None:
        """Remove a peer whose stream broke."""
        self._peers.pop(name, None)
        if self._readers.leave(name):
            self._request_from_reader()

    def replace_config_reader(self) -> None:
        """Choose another agent as reader: the current one was too slow."""
        if self._readers.note_failure():
            self._request_from_reader()

    def _request_from_reader(self) -> None:
        request = wire.ConfigRequest(self._exchange.digest, follow=True)
        self._send(self.config_reader, request)

    def learn_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        """Add or update addresses of entries; dial and forward the new ones.

        An address that is older than the known one is ignored.

        :param entries: the addresses, known ones included
        """
        changed = tuple(
            address for address in entries if self._learn_address(address)
        )
        if not changed:
            return
        self._actions.append(_entry_events.DialEntries(changed))
        # Peers were sent the known addresses when they joined.
        message = wire.EntryList(changed)
        for peer in self._peers:
            self._send(peer, message)

    def _learn_address(self, address: wire.EntryAddress) -> bool:
        """Store a newer address; return whether its host or port changed."""
        known = self._addresses.get(address.name)
        if known is None:
            self._addresses[address.name] = address
            return True
        if not address.is_newer_than(known):
            return False
        has_moved = not address.is_same_place(known)
        if has_moved and address.name == self._name:
            # A record of an earlier start, which had another address.
            return False
        self._addresses[address.name] = address
        return has_moved

    def learn_config(
        self, version: int, data: bytes, log_end: int = 0
    ) -> None:
        """Apply a configuration and announce it; ignore an older one.

        :param version: its version
        :param data: the configuration as it was read
        :param log_end: the offset in the operators' log up to which it is
            current
        """
        if not self._exchange.learn(version, data, log_end):
            return
        self._actions.append(_entry_events.ApplyConfig(version, data, log_end))
        self._behind_since = None
        for name in self.entry_names():
            self._send(name, self._keep_alive())

    def receive_config(
        self, version: int, data: bytes, log_end: int = 0
    ) -> None:
        """Apply a peer's configuration; ignore an older or an invalid one.

        The log may hold a valid one before the invalid one, so that neither
        its version nor its offset may count as known.

        :param version: its version
        :param data: the configuration as the peer read it
        :param log_end: the offset in the operators' log up to which it is
            current
        """
        if version <= self.version:
            return
        if self._accepts_config is None or self._accepts_config(data):
            self.learn_config(version, data, log_end)
        else:
            self._rejected_version = max(version, self._rejected_version)

    def apply_config_delta(self, name: str, delta: wire.ConfigDelta) -> None:
        """Apply a difference between configurations.

        If it can't be applied here the whole configuration is requested.

        :param name: the peer that sent it
        :param delta: the difference
        """
        if delta.version <= self.version:
            return
        try:
            data = self._exchange.restore(delta)
        except _config_exchange.ExchangeError:
            follow = name == self.config_reader
            self._send(name, wire.ConfigRequest(follow=follow))
            return
        self.receive_config(delta.version, data, delta.log_end)

    def send_config(self, name: str, request: wire.ConfigRequest) -> None:
        """Send a peer the newest configuration, if there is one.

        :param name: the peer that requests it
        :param request: names the configuration that the peer has
        """
        peer = self._peers.get(name)
        if not self.version or peer is None:
            return
        if peer.takes_config_deltas:
            self._send(name, self._exchange.delta_for(request.digest))
        else:
            self._send(name, self._config_reply())

    def note_version(self, name: str, version: int) -> None:
        """Record the version of a peer's configuration."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.version = version

    def request_newer_config(self, now: float) -> None:
        """Request a newer configuration from a peer if the store is slow.

        :param now: monotonic seconds
        """
        known = max(self.version, self._rejected_version)
        newer_peers = [
            name for name, peer in self._peers.items() if peer.version > known
        ]
        if not newer_peers:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _STORE_WAIT_S:
            self._behind_since = now
            # Round robin: a peer may be cut off in one direction.
            name = min(newer_peers, key=lambda n: self._peers[n].requested_at)
            self._peers[name].requested_at = now
            self._send(name, wire.ConfigRequest(self._exchange.digest))

    def learn_cordons(self, state: wire.CordonedZones) -> bool:
        """Update the cordoned zones and forward a change to all peers.

        :param state: the cordoned zones
        :return: whether the state changed
        """
        if not self._cordons.learn(state):
            return False
        for name in self._peers:
            self._send_cordons(name)
        return True

    def reconcile_cordons(self, name: str, state: wire.CordonedZones) -> bool:
        """Merge a peer's cordoned zones; send it newer ones if it is behind.

        :param name: the peer
        :param state: the zones that it knows as cordoned
        :return: whether the state changed here
        """
        if self._cordons.is_behind(state):
            self._send_cordons(name)
        return self.learn_cordons(state)

    def _send_cordons(self, name: str) -> None:
        peer = self._peers.get(name)
        if peer is not None and peer.takes_cordons:
            self._send(name, self._cordons.state)

    def note_received(self, now: float, name: str) -> None:
        """Record that a message came from a peer."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.received_at = now
        if peer.is_suspected:
            # It was only slow.
            peer.is_suspected = False
            self._actions.append(_agent_events.CancelReopen(name))

    def reopen_if_unanswering(self, now: float, name: str) -> None:
        """Open a second stream to an entry that left a request unanswered.

        Only if it is silent as well, and this entry dials it.
        """
        peer = self._peers.get(name)
        if peer is not None:
            self._reopen_if_silent(now, name, peer, _UNANSWERED_SUSPICION_S)

    def _reopen_if_silent(
        self, now: float, name: str, peer: _Peer, silence_s: float
    ) -> None:
        """Open a second stream beside a silent one, if this entry dials it."""
        is_silent = now - peer.received_at > silence_s
        if is_silent and self._name < name and now >= peer.reopen_at:
            peer.is_suspected = True
            peer.reopen_at = now + _REOPEN_INTERVAL_S
            self._actions.append(_agent_events.ReopenStream(name))

    def silent_for(self, now: float, name: str) -> float:
        """Return the seconds since a peer's last message; infinite if closed.

        :param now: monotonic seconds
        :param name: the peer
        """
        peer = self._peers.get(name)
        return float("inf") if peer is None else now - peer.received_at

    def send_keep_alives(self, now: float) -> None:
        """Send due keep-alive messages; close silent streams of entries."""
        for name in self.entry_names():
            peer = self._peers[name]
            if now - peer.received_at > _SILENCE_S:
                self._actions.append(_agent_events.CloseStream(name))
                self.leave(name)
                continue
            self._reopen_if_silent(now, name, peer, _SUSPICION_S)
            if now - peer.keep_alive_at >= _KEEP_ALIVE_INTERVAL_S:
                peer.keep_alive_at = now
                self._send(name, self._keep_alive())

    def reset_silence_timers(self, now: float) -> None:
        """Reset all silence timers, since this process itself was paused."""
        for peer in self._peers.values():
            peer.received_at = now

    def entry_names(self) -> list[str]:
        """Return the names of the entries with a stream to this one."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.role is wire.Role.ENTRY
        ]

    @property
    def entry_count(self) -> int:
        """Number of known entries, this one included."""
        return len(self._addresses.keys() | {self._name})

    @property
    def has_entry_list(self) -> bool:
        """Whether the list of entries was read, or received from a peer."""
        is_read = any(address.version for address in self._addresses.values())
        return is_read or self.entry_count > 1

    def detecting_entries(self) -> list[str]:
        """Return the entries that detect jobs that were submitted again."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.detects_duplicates
        ]

    def _entry_list(self) -> wire.EntryList:
        return wire.EntryList(tuple(self._addresses.values()))

    def _keep_alive(self) -> wire.KeepAlive:
        return wire.KeepAlive(self.version)

    def _config_reply(self) -> wire.ConfigReply:
        return wire.ConfigReply(self.version, self._exchange.data)

    def _send(self, peer: str, message: wire.Message) -> None:
        self._actions.append(_entry_events.SendMessage(peer, message))
