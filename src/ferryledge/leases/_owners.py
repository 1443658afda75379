"""The entries that an agent runs tasks for, and their grants."""

from collections import abc
import math
import zlib

import msgspec

from ferryledge.leases import _answer_times
from ferryledge.leases import _timing
from ferryledge import wire

#: Ends kept until their entry confirms them.
_MAX_UNCONFIRMED = 2000
#: Bounds in seconds on how long an answer may take before a stream counts
#: as silent. The longest leaves time for a new stream before a grant ends.
_LONGEST_ANSWER_S = 0.3
_SHORTEST_ANSWER_S = 0.04
#: What deviations of answers are taken to be at first, as a share of the
#: longest time: a stream that is opened in vain costs a handshake.
_FIRST_SHARE = 1.0 / 12.0
#: Seconds between asks at the least: reports within it are confirmed by the
#: same answer.
_CONFIRM_EVERY_S = 0.05
_CRC_RANGE = 2.0**32
#: Share of the time between asks that passes after one that a report
#: brought forward, before the next regular one.
_SOONEST_BEAT = 0.3


class Owner(msgspec.Struct):
    """One incarnation of an entry."""

    name: str
    incarnation: str
    #: Its availability zone.
    zone: str = ""
    connected: bool = True
    #: When the ask was sent that the last grant answers.
    granted_at: float = float("-inf")
    #: Asks without a grant so far, with when they were sent.
    asks: dict[int, float] = msgspec.field(default_factory=dict)
    next_ask_at: float = 0.0
    heard_at: float = 0.0
    orders_seen: int = 0
    #: Whether it is one of those that the agent keeps up to date.
    is_primary: bool = True
    #: The state of the endpoint that it was told last.
    told: wire.EndpointState | None = None
    #: The part of it that all entries share.
    told_of: wire.EndpointState | None = None
    #: Room by what it was told and by its own orders since; none if it may
    #: take another figure for it.
    expects: wire.Resources | None = None
    #: When that was.
    told_at: float = float("-inf")
    #: Latest start that its most urgent waiting job can bear.
    wanted_by: float = float("inf")
    #: Whether it is still to hear what is held for it.
    wants_held: bool = True
    #: Number of the last ask and when it was sent.
    asked: int = 0
    asked_at: float = float("-inf")
    #: Asks whose answer is waited for, with when they were sent.
    unanswered_asks: dict[int, float] = msgspec.field(default_factory=dict)
    #: How long its answers take.
    answer_times: _answer_times.AnswerTimes = msgspec.field(
        default_factory=lambda: _answer_times.AnswerTimes(
            _LONGEST_ANSWER_S, _SHORTEST_ANSWER_S, _FIRST_SHARE
        )
    )
    #: Whether a new stream is being opened beside its silent one.
    reopening: bool = False
    #: When that may be tried again.
    reopen_at: float = float("-inf")
    #: How often lately the silent one answered before the new one was open.
    false_alarms: int = 0
    #: Ends that it has not confirmed, each with the last ask before it.
    unconfirmed: list[tuple[int, wire.RunsEnded]] = msgspec.field(
        default_factory=list
    )

    @property
    def oldest_unanswered_at(self) -> float:
        """When the oldest ask was sent whose answer is waited for."""
        return next(iter(self.unanswered_asks.values()), float("inf"))

    @property
    def silent_at(self) -> float:
        """When its stream counts as silent if no answer comes."""
        return self.oldest_unanswered_at + self.answer_times.limit_s


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
        self._connected: tuple[Owner, ...] = ()
        self._disconnected: tuple[Owner, ...] = ()
        #: Those that owe an answer, by their incarnations.
        self._owing: dict[str, Owner] = {}
        #: When the next ask is due; it may be due to nobody by then.
        self.ask_due_at = float("inf")
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

    @property
    def connected(self) -> tuple[Owner, ...]:
        """The entries with a stream."""
        return self._connected

    @property
    def disconnected(self) -> tuple[Owner, ...]:
        """The entries without a stream that are not forgotten yet."""
        return self._disconnected

    @property
    def awaiting_answer(self) -> abc.Collection[Owner]:
        """The entries that owe an answer."""
        return self._owing.values()

    def _sort(self) -> None:
        """Sort the entries anew by whether they have a stream."""
        owners = self._owners.values()
        self._connected = tuple(one for one in owners if one.connected)
        self._disconnected = tuple(one for one in owners if not one.connected)

    def _bring_forward(self, owner: Owner, due: float) -> None:
        """Let the next ask be due no later than that."""
        owner.next_ask_at = min(owner.next_ask_at, due)
        self.ask_due_at = min(self.ask_due_at, due)

    def plan_asks(self) -> None:
        """Work out anew when the next ask is due."""
        self.ask_due_at = min(
            (owner.next_ask_at for owner in self._connected),
            default=float("inf"),
        )

    def _owe_nothing(self, owner: Owner) -> None:
        owner.unanswered_asks.clear()
        owner.reopening = False
        self._owing.pop(owner.incarnation, None)

    def note_answer(self, now: float, owner: Owner, number: int) -> bool:
        """Take in that an entry has seen the ask with that number.

        :return: whether it owed an answer to that or to an older one
        """
        if not owner.unanswered_asks:
            return False
        unanswered_asks = [
            one for one in owner.unanswered_asks if one <= number
        ]
        if not unanswered_asks:
            return False
        owner.answer_times.note(
            now - owner.unanswered_asks[unanswered_asks[0]]
        )
        for one in unanswered_asks:
            del owner.unanswered_asks[one]
        if not owner.unanswered_asks:
            del self._owing[owner.incarnation]
        return True

    def join(
        self, now: float, name: str, incarnation: str, zone: str = ""
    ) -> Owner:
        """Note that an entry's stream is open."""
        self._current[name] = incarnation
        self.changes += 1
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = self._owners[incarnation] = Owner(name, incarnation, zone)
        owner.connected = True
        owner.heard_at = now
        owner.wants_held = True
        owner.wanted_by = float("inf")
        owner.told = None
        owner.expects = None
        owner.next_ask_at = 0.0
        owner.false_alarms = 0
        self._owe_nothing(owner)
        self._sort()
        self.plan_asks()
        return owner

    def leave(self, name: str, incarnation: str) -> None:
        """Note that an entry's stream broke."""
        owner = self._owners.get(incarnation)
        if owner is not None and owner.name == name:
            owner.connected = False
            owner.asks.clear()
            self._owe_nothing(owner)
            self._sort()
            self.plan_asks()
            self.changes += 1

    def note_order(self, owner: Owner, order: wire.OrderRuns) -> None:
        """Take in an order's number and the grant that it brings."""
        owner.orders_seen = max(owner.orders_seen, order.number)
        self.changes += 1
        self.granted(owner, order.ask_seen, order.shorten_by_ms)
        due = owner.granted_at + self._timing.idle_ask_every_s
        self._bring_forward(owner, due)

    def note_taken(
        self, now: float, owner: Owner, order: wire.OrderRuns, whole: bool
    ) -> None:
        """Take in what an order took of the room, as its entry counts it.

        :param now: monotonic seconds
        :param owner: the entry
        :param order: its order
        :param whole: whether all of its runs were started
        """
        if whole and owner.expects is not None:
            count = len(order.runs)
            owner.expects = owner.expects.minus(order.need, count)
            # As if it were told: who hears of freed room next goes by that.
            owner.told_at = now
        else:
            owner.expects = None

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation that is not connected and has no runs."""
        owner = self._owners.pop(incarnation, None)
        self._sort()
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

    def ask(
        self, owner: Owner, now: float, busy: bool, at_once: bool = False
    ) -> wire.AskLease:
        """Return the next ask for a grant.

        :param busy: whether the entry has runs here
        :param at_once: whether its answer is needed in any case
        """
        self._asked += 1
        oldest = now - self._timing.grant_s
        owner.asks = {n: at for n, at in owner.asks.items() if at > oldest}
        owner.asks[self._asked] = now
        owner.asked = self._asked
        owner.asked_at = now
        quiet = now - owner.heard_at >= self._timing.idle_answer_every_s
        if at_once or busy or quiet or owner.unconfirmed:
            owner.unanswered_asks[self._asked] = now
            self._owing[owner.incarnation] = owner
        every = self._timing.ask_every_s
        if not busy:
            every = self._timing.idle_ask_every_s
            if not owner.is_primary:
                every = self._timing.far_ask_every_s
        owner.next_ask_at = self._next_beat(now, every)
        return wire.AskLease(self._asked, self._asked in owner.unanswered_asks)

    def _next_beat(self, now: float, every: float) -> float:
        """Return the next ask's time, the same for all entries.

        Asks that leave together cost one wake-up. Agents differ by a phase,
        so that an entry is not asked by all of them at once.
        """
        soonest = now + _SOONEST_BEAT * every
        beats = math.floor((soonest - self._phase * every) / every)
        return (beats + 1 + self._phase) * every

    def granted(
        self, owner: Owner, number: int, shorten_by_ms: int = 0
    ) -> None:
        """Take in a grant; an unknown or older one changes nothing.

        It confirms what was sent before its ask: a stream keeps the order.

        :param owner: the entry
        :param number: of the ask that it answers
        :param shorten_by_ms: milliseconds by which it ends sooner
        """
        if owner.unconfirmed:
            owner.unconfirmed = [
                one for one in owner.unconfirmed if one[0] >= number
            ]
        asked_at = owner.asks.pop(number, None)
        if asked_at is None:
            return
        owner.granted_at = max(
            owner.granted_at, asked_at - shorten_by_ms / 1000.0
        )
        for older in [one for one in owner.asks if one < number]:
            del owner.asks[older]

    def keep(self, owner: Owner, message: wire.RunsEnded) -> None:
        """Keep an end until its entry confirms it.

        The answer to an ask that is sent with it or later does.
        """
        if len(owner.unconfirmed) < _MAX_UNCONFIRMED:
            owner.unconfirmed.append((owner.asked, message))

    def ask_with(
        self, owner: Owner, now: float, message: wire.RunsEnded
    ) -> wire.RunsEnded:
        """Return an end with an ask, or have one sent soon.

        An ask of its own with each end took two messages more: 8% of what
        agents and entries spent on a full pool.
        """
        due = owner.asked_at + _CONFIRM_EVERY_S
        if now < due:
            self._bring_forward(owner, due)
            return message
        ask = self.ask(owner, now, busy=True)
        return wire.RunsEnded(message.job, message.ends, ask.number)

    def take_unconfirmed(self, owner: Owner) -> list[wire.RunsEnded]:
        """Return the ends to send on a new stream."""
        messages = [message for _, message in owner.unconfirmed]
        owner.unconfirmed = [(owner.asked, one) for one in messages]
        return messages
