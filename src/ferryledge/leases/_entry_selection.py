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
STREAMS = _state_reports.MAX_PRIMARY_ENTRIES
#: Seconds without a stream after which a substitute for an entry is dialled.
#: A restart of the entry's process takes less.
_LOST_S = 1.5
#: The same while no entry is connected.
_ALONE_S = 0.4
#: Most entries that are dialled while few are reachable. More would cause
#: excess streams once all are reachable again.
_MOST = 2 * STREAMS
#: Seconds without any stream after which all entries are dialled.
_DESPERATE_S = 4.0
#: Seconds without a stream after which an entry isn't dialled any more, and
#: seconds until it is tried again. The addresses of replaced machines stay
#: known and would be dialled forever.
_GONE_S = 20.0
_TRY_AGAIN_S = 60.0
#: Seconds for which an agent serves an entry that invited it, without orders.
_GUEST_S = 10.0
#: Seconds for which all chosen entries must be connected before streams to
#: others are closed.
_SETTLE_S = 3.0
#: Seconds from the announcement to an entry until its stream is closed, so
#: that orders in flight still arrive.
_FAREWELL_S = 0.5
#: Seconds between checks while streams are to be opened or closed.
_LOOK_S = 0.2
_NEVER = float("inf")

Action = (
    _agent_events.DialEntries
    | _agent_events.DisconnectEntry
    | _agent_events.SendMessage
)


class _Known(msgspec.Struct):
    """An entry whose address is known."""

    address: wire.EntryAddress
    connected: bool = False
    dialled: bool = False
    #: When it was last connected, or first dialled.
    seen_at: float = 0.0
    #: Until when it is served since it invited the agent.
    guest_until: float = -_NEVER
    #: Until when it isn't dialled, since it was unreachable for long.
    gone_until: float = -_NEVER


class Dealing:
    """Chooses the entries that an agent serves, and opens or closes streams.

    :param name: the agent's name
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: dict[str, _Known] = {}
        #: Names of the known entries, best first.
        self._ranked: list[str] = []
        #: Connected entries, also those whose address isn't known.
        self._connected: set[str] = set()
        #: Since when no entry is connected.
        self._alone_since = 0.0
        #: Since when all chosen entries are connected.
        self._settled_since: float | None = None
        #: When the closing of a stream was announced, by the entry's name.
        self._leaving: dict[str, float] = {}
        #: When :meth:`plan` is due next.
        self.due_at = _NEVER

    def learn(
        self, now: float, entries: abc.Iterable[wire.EntryAddress]
    ) -> None:
        """Add addresses of entries; a changed one is dialled again."""
        for address in entries:
            known = self._known.get(address.name)
            if known is not None and known.address == address:
                continue
            fresh = _Known(address, address.name in self._connected)
            self._known[address.name] = fresh
        self._ranked = placement.rank(self._name, tuple(self._known))
        self.due_at = now

    def hear(self, now: float, message: wire.EntryList | wire.Invite) -> None:
        """Handle a message of an entry about entries."""
        match message:
            case wire.EntryList(entries):
                self.learn(now, entries)
            case wire.Invite(entry):
                self._invite(now, entry)

    def _invite(self, now: float, address: wire.EntryAddress) -> None:
        """Serve an entry that looks for agents, besides the chosen ones."""
        self.learn(now, (address,))
        known = self._known[address.name]
        known.guest_until = now + _GUEST_S
        known.gone_until = -_NEVER
        self.due_at = now

    def note_order(self, now: float, name: str) -> None:
        """Extend an invitation, since the entry sent an order."""
        known = self._known.get(name)
        if known is not None and known.guest_until > now:
            known.guest_until = now + _GUEST_S

    def join(self, now: float, name: str) -> None:
        """Record that the stream to an entry is open."""
        self._connected.add(name)
        if name in self._known:
            self._known[name].connected = True
            self._known[name].gone_until = -_NEVER
        self.due_at = now

    def leave(self, now: float, name: str) -> None:
        """Record that the stream to an entry broke."""
        self._connected.discard(name)
        self._leaving.pop(name, None)
        known = self._known.get(name)
        if known is not None:
            known.connected = False
            known.seen_at = now
        if not self._connected:
            self._alone_since = now
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
        actions = self._give_up(now)
        chosen = self._chosen(now)
        actions += self._dial(now, chosen)
        actions += self._leave(now, chosen, is_busy)
        self.due_at = self._next_look(now, chosen)
        return actions

    def _next_look(self, now: float, chosen: list[str]) -> float:
        if not chosen:
            return _NEVER
        missing = set(chosen) - self._connected
        left = set(self._used()) - set(chosen)
        if missing or left or self._leaving:
            return now + _LOOK_S
        ends = [
            at
            for known in self._known.values()
            for at in (known.guest_until, known.gone_until)
        ]
        return min((at for at in ends if at > now), default=_NEVER)

    def _used(self) -> list[str]:
        """Return the entries that are connected or dialled."""
        dialled = {n for n, known in self._known.items() if known.dialled}
        return sorted(self._connected | dialled)

    def _give_up(self, now: float) -> list[Action]:
        """Stop dialling entries that are unreachable for long.

        Nothing is done while no entry is reachable, since the fault is then
        likely on the agent's side.
        """
        if not self._connected:
            return []
        gone = [
            (name, known)
            for name, known in self._known.items()
            if known.dialled
            and not known.connected
            and now - known.seen_at > _GONE_S
        ]
        for _, known in gone:
            known.gone_until = now + _TRY_AGAIN_S
        return [self._close(name) for name, _ in gone]

    def _chosen(self, now: float) -> list[str]:
        """Return the best entries, with a substitute for each lost one.

        Entries that invited the agent are added.
        """
        most = _MOST
        alone = not self._connected
        if alone and now - self._alone_since > _DESPERATE_S:
            most = len(self._ranked)
        chosen: list[str] = []
        reachable = 0
        for name in self._ranked:
            if reachable == STREAMS or len(chosen) == most:
                break
            if self._known[name].gone_until > now and not alone:
                continue
            chosen.append(name)
            reachable += not self._is_lost(now, self._known[name], alone)
        return chosen + [
            name
            for name, known in self._known.items()
            if known.guest_until > now and name not in chosen
        ]

    def _is_lost(self, now: float, known: _Known, alone: bool) -> bool:
        if known.connected or not known.dialled:
            return False
        return now - known.seen_at > (_ALONE_S if alone else _LOST_S)

    def _dial(self, now: float, chosen: list[str]) -> list[Action]:
        fresh = [
            known
            for known in map(self._known.__getitem__, chosen)
            if not known.dialled
        ]
        for known in fresh:
            known.dialled = True
            known.seen_at = now
        if not fresh:
            return []
        addresses = tuple(known.address for known in fresh)
        return [_agent_events.DialEntries(addresses)]

    def _leave(
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
            for name, announced_at in list(self._leaving.items())
            if now - announced_at >= _FAREWELL_S and not is_busy(name)
        ]
        if not self._is_settled(now, chosen):
            return closed
        left = [
            name
            for name in self._used()
            if name not in chosen and name not in self._leaving
        ]
        self._leaving.update(dict.fromkeys(left, now))
        message = wire.Leaving()
        announced = [_agent_events.SendMessage(name, message) for name in left]
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
        self._leaving.pop(name, None)
        if name in self._known:
            self._known[name].dialled = False
        return _agent_events.DisconnectEntry(name)
