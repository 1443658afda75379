"""Selects the entries to which an agent keeps streams.

An agent connects to a few entries only, since the cost of idle streams would
otherwise grow with the product of entries and agents. Agents rank the
entries by rendezvous hashing: each entry gets nearly the same share of the
agents, and a lost or new entry changes the streams of few agents only.
"""

from collections import abc

import msgspec

from ferryledge.leases import _agent_events
from ferryledge.leases import _state_reports
from ferryledge import placement
from ferryledge import wire

#: How many entries an agent serves. With fewer entries per agent, fewer
#: compete for the same capacity.
ENTRIES_PER_AGENT = _state_reports.MAX_PRIMARY_ENTRIES
#: Seconds without a stream after which a substitute for an entry is dialled.
#: A restart of the entry's process takes less.
_LOST_S = 1.5
#: The same while no entry is connected.
_ISOLATED_S = 0.4
#: Most entries that are dialled while few are reachable. More would cause
#: excess streams once all are reachable again.
_MAX_DIALLED = 2 * ENTRIES_PER_AGENT
#: Seconds without any stream after which all entries are dialled.
_DIAL_ALL_S = 4.0
#: Seconds without a stream after which an entry isn't dialled any more, and
#: seconds until it is tried again. The addresses of replaced machines stay
#: known and would be dialled forever.
_UNREACHABLE_S = 20.0
_RETRY_S = 60.0
#: Seconds for which an agent serves an entry that invited it, without orders.
_INVITATION_S = 10.0
#: Seconds for which all chosen entries must be connected before streams to
#: others are closed.
_SETTLE_S = 3.0
#: Seconds from the announcement to an entry until its stream is closed, so
#: that orders in flight still arrive. An order that is cut off would be in
#: doubt for longer than any lease.
_ANNOUNCE_S = 0.5
#: Seconds between checks while streams are to be opened or closed.
_CHECK_EVERY_S = 0.2
_NEVER = float("inf")

Action = (
    _agent_events.DialEntries
    | _agent_events.DisconnectEntry
    | _agent_events.SendMessage
)


class _KnownEntry(msgspec.Struct):
    """An entry whose address is known."""

    address: wire.EntryAddress
    connected: bool = False
    dialled: bool = False
    #: When it was last connected, or first dialled.
    last_seen_at: float = 0.0
    #: Until when it is served since it invited the agent.
    invited_until: float = -_NEVER
    #: Until when it isn't dialled, since it was unreachable for long.
    unreachable_until: float = -_NEVER


class EntrySelection:
    """Chooses the entries that an agent serves, and opens or closes streams.

    :param name: the agent's name
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: dict[str, _KnownEntry] = {}
        #: Names of the known entries, best first.
        self._ranked: list[str] = []
        #: Connected entries, also those whose address isn't known.
        self._connected: set[str] = set()
        #: Since when no entry is connected.
        self._isolated_since = 0.0
        #: Since when all chosen entries are connected.
        self._settled_since: float | None = None
        #: When the closing of a stream was announced, by the entry's name.
        self._closing: dict[str, float] = {}
        #: When :meth:`plan` is due next.
        self.due_at = _NEVER

    def add_addresses(
        self, now: float, entries: abc.Iterable[wire.EntryAddress]
    ) -> None:
        """Add addresses of entries; a changed one is dialled again.

        An address that is older than the known one is ignored.
        """
        for address in entries:
            known = self._known.get(address.name)
            if known is not None:
                if not address.is_newer_than(known.address):
                    continue
                if address.is_same_place(known.address):
                    known.address = address
                    continue
            added = _KnownEntry(address, address.name in self._connected)
            self._known[address.name] = added
        self._ranked = placement.rank(self._name, tuple(self._known))
        self.due_at = now

    def handle_message(
        self, now: float, message: wire.EntryList | wire.Invite
    ) -> None:
        """Handle a message of an entry about entries."""
        match message:
            case wire.EntryList(entries):
                self.add_addresses(now, entries)
            case wire.Invite(entry):
                self._invite(now, entry)

    def _invite(self, now: float, address: wire.EntryAddress) -> None:
        """Serve an entry that looks for agents, besides the chosen ones."""
        self.add_addresses(now, (address,))
        known = self._known[address.name]
        known.invited_until = now + _INVITATION_S
        known.unreachable_until = -_NEVER
        self.due_at = now

    def note_order(self, now: float, name: str) -> None:
        """Extend an invitation, since the entry sent an order."""
        known = self._known.get(name)
        if known is not None and known.invited_until > now:
            known.invited_until = now + _INVITATION_S

    def join(self, now: float, name: str) -> None:
        """Record that the stream to an entry is open."""
        self._connected.add(name)
        if name in self._known:
            self._known[name].connected = True
            self._known[name].unreachable_until = -_NEVER
        self.due_at = now

    def leave(self, now: float, name: str) -> None:
        """Record that the stream to an entry broke."""
        self._connected.discard(name)
        self._closing.pop(name, None)
        known = self._known.get(name)
        if known is not None:
            known.connected = False
            known.last_seen_at = now
        if not self._connected:
            self._isolated_since = now
        self.due_at = now

    def plan(
        self, now: float, is_busy: abc.Callable[[str], bool]
    ) -> list[Action]:
        """Return the streams to open and to close, if a check is due.

        :param now: monotonic seconds
        :param is_busy: returns whether an entry has runs here
        """
        if now < self.due_at:
            return []
        actions = self._drop_unreachable(now)
        chosen = self._chosen(now)
        actions += self._dial(now, chosen)
        actions += self._close_excess(now, chosen, is_busy)
        self.due_at = self._next_check_at(now, chosen)
        return actions

    def _next_check_at(self, now: float, chosen: list[str]) -> float:
        if not chosen:
            return _NEVER
        missing = set(chosen) - self._connected
        excess = set(self._in_use()) - set(chosen)
        if missing or excess or self._closing:
            return now + _CHECK_EVERY_S
        ends = [
            at
            for known in self._known.values()
            for at in (known.invited_until, known.unreachable_until)
        ]
        return min((at for at in ends if at > now), default=_NEVER)

    def _in_use(self) -> list[str]:
        """Return the entries that are connected or dialled."""
        dialled = {n for n, known in self._known.items() if known.dialled}
        return sorted(self._connected | dialled)

    def _drop_unreachable(self, now: float) -> list[Action]:
        """Stop dialling entries that are unreachable for long.

        While no entry is connected, all of them stay dialled.
        """
        if not self._connected:
            return []
        unreachable = [
            (name, known)
            for name, known in self._known.items()
            if known.dialled
            and not known.connected
            and now - known.last_seen_at > _UNREACHABLE_S
        ]
        for _, known in unreachable:
            known.unreachable_until = now + _RETRY_S
        return [self._close(name) for name, _ in unreachable]

    def _chosen(self, now: float) -> list[str]:
        """Return the best entries, with a substitute for each lost one.

        Entries that invited the agent are added.
        """
        max_dialled = _MAX_DIALLED
        isolated = not self._connected
        if isolated and now - self._isolated_since > _DIAL_ALL_S:
            max_dialled = len(self._ranked)
        chosen: list[str] = []
        reachable = 0
        for name in self._ranked:
            if reachable == ENTRIES_PER_AGENT or len(chosen) == max_dialled:
                break
            if self._known[name].unreachable_until > now and not isolated:
                continue
            chosen.append(name)
            reachable += not self._is_lost(now, self._known[name], isolated)
        return chosen + [
            name
            for name, known in self._known.items()
            if known.invited_until > now and name not in chosen
        ]

    def _is_lost(self, now: float, known: _KnownEntry, isolated: bool) -> bool:
        if known.connected or not known.dialled:
            return False
        return now - known.last_seen_at > (
            _ISOLATED_S if isolated else _LOST_S
        )

    def _dial(self, now: float, chosen: list[str]) -> list[Action]:
        added = [
            known
            for known in map(self._known.__getitem__, chosen)
            if not known.dialled
        ]
        for known in added:
            known.dialled = True
            known.last_seen_at = now
        if not added:
            return []
        addresses = tuple(known.address for known in added)
        return [_agent_events.DialEntries(addresses)]

    def _close_excess(
        self,
        now: float,
        chosen: list[str],
        is_busy: abc.Callable[[str], bool],
    ) -> list[Action]:
        """Close other streams once all chosen entries are connected.

        The closing is announced first, and the entry sends no orders from
        then on. So an announced stream is closed even if the entry is chosen
        again, and a new one is opened.
        """
        closed = [
            self._close(name)
            for name, announced_at in list(self._closing.items())
            if now - announced_at >= _ANNOUNCE_S and not is_busy(name)
        ]
        if not self._is_settled(now, chosen):
            return closed
        excess = [
            name
            for name in self._in_use()
            if name not in chosen and name not in self._closing
        ]
        self._closing.update(dict.fromkeys(excess, now))
        message = wire.Leaving()
        announced = [
            _agent_events.SendMessage(name, message) for name in excess
        ]
        return [*closed, *announced]

    def _is_settled(self, now: float, chosen: list[str]) -> bool:
        """Return whether all chosen entries are connected for a while."""
        if not set(chosen) <= self._connected:
            self._settled_since = None
            return False
        if self._settled_since is None:
            self._settled_since = now
        return now - self._settled_since >= _SETTLE_S

    def _close(self, name: str) -> Action:
        self._closing.pop(name, None)
        if name in self._known:
            self._known[name].dialled = False
        return _agent_events.DisconnectEntry(name)
