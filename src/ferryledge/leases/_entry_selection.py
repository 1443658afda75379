"""Which entries an agent keeps streams to.

Few of them: what a stream costs at rest, signs of life and reports of room,
would otherwise grow with entries times agents. Agents rank the entries by
rendezvous hashing, so each entry gets nearly the same part of the pool and a
lost or new entry moves only its own agents.
"""

from collections import abc

import msgspec

from ferryledge.leases import _agent_events
from ferryledge.leases import _state_reports
from ferryledge import placement
from ferryledge import wire

#: Entries that an agent serves. With 12 entries and 67 agents at 1.2 times
#: the pool, jobs at random entries, 0.92 of the jobs were in time with 4, 0.90
#: with 6 and 0.86 with all 12 (simulation): fewer race for the same room.
STREAMS = _state_reports.MAX_PRIMARY_ENTRIES
#: Seconds without a stream after which another entry is dialled beside one:
#: a process that was killed is back sooner.
_LOST_S = 1.5
#: The same while no entry at all is connected.
_ALONE_S = 0.4
#: Most entries that are dialled while few can be reached. More would all get
#: streams when power comes back, and give most of them up again.
_MOST = 2 * STREAMS
#: Seconds without any entry after which all are dialled.
_DESPERATE_S = 4.0
#: Seconds without a stream after which an entry is taken for gone for good,
#: and how long until it is tried again: addresses of machines that were
#: replaced stay known, and would be dialled and counted for ever.
_GONE_S = 20.0
_TRY_AGAIN_S = 60.0
#: Seconds for which an agent that was invited stays without runs.
_GUEST_S = 10.0
#: Seconds for which all chosen entries are connected before others are left.
_SETTLE_S = 3.0
#: Seconds from telling an entry until its stream is closed: an order that is
#: under way would be in doubt for longer than any lease.
_FAREWELL_S = 0.5
#: Seconds between looks while streams are missing or to be left.
_LOOK_S = 0.2
_NEVER = float("inf")

Action = (
    _agent_events.DialEntries
    | _agent_events.DisconnectEntry
    | _agent_events.SendMessage
)


class _Known(msgspec.Struct):
    """An entry that the agent knows the address of."""

    address: wire.EntryAddress
    connected: bool = False
    dialled: bool = False
    #: When it was connected last, or dialled first.
    seen_at: float = 0.0
    #: Until when it is served on another entry's word.
    guest_until: float = -_NEVER
    #: Until when it is taken for gone.
    gone_until: float = -_NEVER


class Dealing:
    """Chooses the entries that an agent serves.

    :param name: the agent
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: dict[str, _Known] = {}
        #: Names of the known entries, best first.
        self._ranked: list[str] = []
        #: Open streams, also to entries whose address is not known.
        self._connected: set[str] = set()
        self._alone_since = 0.0
        self._settled_since: float | None = None
        #: Entries that were told that they are left, with when.
        self._leaving: dict[str, float] = {}
        #: When to look next.
        self.due_at = _NEVER

    def learn(
        self, now: float, entries: abc.Iterable[wire.EntryAddress]
    ) -> None:
        """Take in addresses; a changed one is dialled anew."""
        for address in entries:
            known = self._known.get(address.name)
            if known is not None and known.address == address:
                continue
            fresh = _Known(address, address.name in self._connected)
            self._known[address.name] = fresh
        self._ranked = placement.rank(self._name, tuple(self._known))
        self.due_at = now

    def hear(self, now: float, message: wire.EntryList | wire.Invite) -> None:
        """Take in what an entry says of entries."""
        match message:
            case wire.EntryList(entries):
                self.learn(now, entries)
            case wire.Invite(entry):
                self._invite(now, entry)

    def _invite(self, now: float, address: wire.EntryAddress) -> None:
        """Serve an entry that seeks agents, beside the others."""
        self.learn(now, (address,))
        known = self._known[address.name]
        known.guest_until = now + _GUEST_S
        known.gone_until = -_NEVER
        self.due_at = now

    def note_order(self, now: float, name: str) -> None:
        """Let an invited agent stay while it gets orders."""
        known = self._known.get(name)
        if known is not None and known.guest_until > now:
            known.guest_until = now + _GUEST_S

    def join(self, now: float, name: str) -> None:
        """Note that a stream is open."""
        self._connected.add(name)
        if name in self._known:
            self._known[name].connected = True
            self._known[name].gone_until = -_NEVER
        self.due_at = now

    def leave(self, now: float, name: str) -> None:
        """Note that a stream broke."""
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
        """Return which entries to dial and which to leave, if that is due.

        :param now: monotonic seconds
        :param is_busy: whether runs of an entry are here
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
        """Dial no more what can't be reached for long while others can."""
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
        """Return the best entries, and another for each that is lost."""
        most = _MOST
        alone = not self._connected
        if alone and now - self._alone_since > _DESPERATE_S:
            most = len(self._ranked)
        chosen: list[str] = []
        found = 0
        for name in self._ranked:
            if found == STREAMS or len(chosen) == most:
                break
            if self._known[name].gone_until > now and not alone:
                continue
            chosen.append(name)
            found += not self._is_lost(now, self._known[name], alone)
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
        """Give up what is not chosen, once what is chosen is connected.

        An entry is told first, and gives no orders from then on. So its
        stream is closed also if it is chosen again, and dialled anew.
        """
        closed = [
            self._close(name)
            for name, told_at in list(self._leaving.items())
            if now - told_at >= _FAREWELL_S and not is_busy(name)
        ]
        if not self._is_settled(now, chosen):
            return closed
        left = [
            name
            for name in self._used()
            if name not in chosen and name not in self._leaving
        ]
        self._leaving.update(dict.fromkeys(left, now))
        goodbye = wire.Leaving()
        told = [_agent_events.SendMessage(name, goodbye) for name in left]
        return [*closed, *told]

    def _is_settled(self, now: float, chosen: list[str]) -> bool:
        """Return whether what is chosen has been connected for a while."""
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
