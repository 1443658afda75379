"""The entries that an agent runs tasks for, and their grants."""

from collections import abc
import dataclasses
import math
import zlib

from ferryledge.leases import _timing
from ferryledge import wire

#: Ends kept for an entry whose stream is broken.
_MAX_PENDING = 2000
_CRC_RANGE = 2.0**32


@dataclasses.dataclass(slots=True)
class Owner:
    """One incarnation of an entry."""

    name: str
    incarnation: str
    connected: bool = True
    #: When the ask was sent that the last grant answers.
    granted_at: float = float("-inf")
    #: Asks without a grant so far, with when they were sent.
    asks: dict[int, float] = dataclasses.field(default_factory=dict)
    next_ask_at: float = 0.0
    heard_at: float = 0.0
    orders_seen: int = 0
    #: Whether it is one of those that the agent keeps up to date.
    home: bool = True
    #: The state of the endpoint that it was told last.
    told: wire.EndpointState | None = None
    #: The part of it that all entries share.
    told_of: wire.EndpointState | None = None
    #: When that was.
    told_at: float = float("-inf")
    #: Latest start that its most urgent waiting job can bear.
    wanted_by: float = float("inf")
    #: Whether it is still to hear what is held for it.
    wants_held: bool = True
    #: Ends that it was not told yet.
    pending: list[wire.RunsEnded] = dataclasses.field(default_factory=list)


class OwnerTable:
    """All entries that this agent knows.

    :param timing: the lease rule
    :param name: the agent
    """

    def __init__(self, timing: _timing.LeaseTiming, name: str = "") -> None:
        self._timing = timing
        self._phase = zlib.crc32(name.encode()) / _CRC_RANGE
        self._owners: dict[str, Owner] = {}
        self._current: dict[str, str] = {}
        self._asked = 0
        #: Rises with all that an entry is told anew for.
        self.changes = 0

    def __iter__(self) -> abc.Iterator[Owner]:
        return iter(list(self._owners.values()))

    def find(self, incarnation: str) -> Owner | None:
        """Return an incarnation of an entry, or none."""
        return self._owners.get(incarnation)

    def current(self, name: str) -> Owner | None:
        """Return the newest incarnation of an entry, or none."""
        return self._owners.get(self._current.get(name, ""))

    def connected(self) -> list[Owner]:
        """Return the entries with a stream."""
        return [one for one in self._owners.values() if one.connected]

    def join(self, now: float, name: str, incarnation: str) -> Owner:
        """Note that an entry's stream is open."""
        self._current[name] = incarnation
        self.changes += 1
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = self._owners[incarnation] = Owner(name, incarnation)
        owner.connected = True
        owner.heard_at = now
        owner.wants_held = True
        owner.wanted_by = float("inf")
        owner.told = None
        owner.next_ask_at = 0.0
        return owner

    def leave(self, name: str, incarnation: str) -> None:
        """Note that an entry's stream broke."""
        owner = self._owners.get(incarnation)
        if owner is not None and owner.name == name:
            owner.connected = False
            owner.asks.clear()
            self.changes += 1

    def note_order(self, owner: Owner, order: wire.OrderRuns) -> None:
        """Take in an order's number and the grant that it brings."""
        owner.orders_seen = max(owner.orders_seen, order.number)
        self.changes += 1
        self.granted(owner, order.ask_seen)
        due = owner.granted_at + self._timing.idle_ask_every_s
        owner.next_ask_at = min(owner.next_ask_at, due)

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation that is not connected and has no runs."""
        owner = self._owners.pop(incarnation, None)
        if owner and self._current.get(owner.name) == incarnation:
            del self._current[owner.name]

    def is_superseded(self, owner: Owner) -> bool:
        """Return whether a newer incarnation of the entry has come."""
        return self._current.get(owner.name) != owner.incarnation

    def has_grant(self, owner: Owner, now: float) -> bool:
        """Return whether runs of an entry may be renewed."""
        if self.is_superseded(owner):
            return False
        return now - owner.granted_at < self._timing.grant_s

    def is_silent(self, owner: Owner, now: float) -> bool:
        """Return whether a stream that should carry grants is silent."""
        return now - owner.heard_at > self._timing.redial_s

    def ask(self, owner: Owner, now: float, busy: bool) -> wire.AskLease:
        """Return the next ask for a grant.

        :param busy: whether the entry has runs here
        """
        self._asked += 1
        oldest = now - self._timing.grant_s
        owner.asks = {n: at for n, at in owner.asks.items() if at > oldest}
        owner.asks[self._asked] = now
        every = self._timing.ask_every_s
        if not busy:
            every = self._timing.idle_ask_every_s
            if not owner.home:
                every = self._timing.far_ask_every_s
        owner.next_ask_at = self._next_beat(now, every)
        return wire.AskLease(self._asked)

    def _next_beat(self, now: float, every: float) -> float:
        """Return the next ask's time, the same for all entries.

        Asks that leave together cost one wake-up. Agents differ by a phase,
        so that an entry is not asked by all of them at once.
        """
        beats = math.floor((now - self._phase * every) / every)
        return (beats + 1 + self._phase) * every

    def granted(self, owner: Owner, number: int) -> None:
        """Take in a grant; an unknown or older one changes nothing."""
        asked_at = owner.asks.pop(number, None)
        if asked_at is None:
            return
        owner.granted_at = max(owner.granted_at, asked_at)
        for older in [one for one in owner.asks if one < number]:
            del owner.asks[older]

    def keep(self, owner: Owner, message: wire.RunsEnded) -> None:
        """Keep an end for an entry without a stream."""
        if len(owner.pending) < _MAX_PENDING:
            owner.pending.append(message)
