"""The entries that an agent runs tasks for, and the grants they gave.

A grant lets the agent renew an entry's runs for a limited time. The agent
requests a new one with an ask (:class:`ferryledge.wire.GrantRequest`), and the
entry answers with a grant. Asks are numbered, and a grant counts from the
time at which the ask that it answers was sent.
"""

from collections import abc
import math
import zlib

import msgspec

from ferryledge.leases import _answer_times
from ferryledge.leases import _timing
from ferryledge import wire

#: Maximum number of unconfirmed ends that are kept for an entry.
_MAX_UNCONFIRMED = 2000
#: Bounds in seconds of the time after which a stream without an answer counts
#: as silent. The longest leaves time to open a new stream before the grant
#: expires.
_LONGEST_ANSWER_S = 0.3
_SHORTEST_ANSWER_S = 0.04
#: Initial estimate of the deviation of answer times, as a share of the
#: longest. It is low, since a false alarm costs a handshake only.
_FIRST_SHARE = 1.0 / 12.0
#: Least seconds between asks that are sent for the sake of ends, so that one
#: answer confirms several ends.
_CONFIRM_EVERY_S = 0.05
_CRC_RANGE = 2.0**32
#: Least time until the next regular ask, as a share of the interval.
_MIN_INTERVAL_SHARE = 0.3


class Owner(msgspec.Struct):
    """One incarnation of an entry."""

    name: str
    incarnation: str
    #: Availability zone of the entry.
    zone: str = ""
    #: Whether it handles runs that are refused as duplicates.
    detects_duplicates: bool = False
    connected: bool = True
    #: When the ask that the last grant answers was sent.
    granted_at: float = float("-inf")
    #: When it last claimed adopted runs.
    claimed_at: float = float("-inf")
    #: When each ask without a grant was sent, by its number.
    asks: dict[int, float] = msgspec.field(default_factory=dict)
    next_ask_at: float = 0.0
    heard_at: float = 0.0
    orders_seen: int = 0
    #: Whether it is one of the few entries that get prompt state reports.
    is_primary: bool = True
    #: The endpoint's state in the last report to the entry.
    last_report: wire.EndpointState | None = None
    #: The part of that state that all entries share.
    last_shared_state: wire.EndpointState | None = None
    #: Free capacity as the entry calculates it, from the last report and its
    #: own orders since; none if that isn't known.
    expected_free: wire.Resources | None = None
    #: Jobs of other entries that were reported to it on its stream.
    reported_jobs: frozenset[str] = frozenset()
    #: When they were last reported.
    jobs_reported_at: float = float("-inf")
    #: When the last report was sent or an order changed ``expected_free``.
    reported_at: float = float("-inf")
    #: Latest acceptable start of the entry's most urgent waiting job.
    latest_start: float = float("inf")
    #: Whether the runs that are here are to be reported on a new stream.
    needs_held_report: bool = True
    #: Number of the last ask and when it was sent.
    last_ask: int = 0
    last_asked_at: float = float("-inf")
    #: When each ask that must be answered was sent, by its number.
    unanswered_asks: dict[int, float] = msgspec.field(default_factory=dict)
    #: How long the entry's answers take.
    answer_times: _answer_times.AnswerTimes = msgspec.field(
        default_factory=lambda: _answer_times.AnswerTimes(
            _LONGEST_ANSWER_S, _SHORTEST_ANSWER_S, _FIRST_SHARE
        )
    )
    #: Whether a replacement for a silent stream is being opened.
    reopening: bool = False
    #: Earliest time of the next attempt to replace the stream.
    reopen_at: float = float("-inf")
    #: How often recently the old stream answered before its replacement was
    #: open.
    false_alarms: int = 0
    #: Ends that the entry has not confirmed, each with the number of the last
    #: ask before it.
    unconfirmed: list[tuple[int, wire.RunsEnded]] = msgspec.field(
        default_factory=list
    )

    @property
    def oldest_unanswered_at(self) -> float:
        """When the oldest ask that still must be answered was sent."""
        return next(iter(self.unanswered_asks.values()), float("inf"))

    @property
    def silent_at(self) -> float:
        """When the stream counts as silent if no answer comes before."""
        return self.oldest_unanswered_at + self.answer_times.limit_s


class OwnerTable:
    """The entries that an agent runs tasks for.

    :param timing: durations of leases and grants
    :param name: the agent's name
    """

    def __init__(self, timing: _timing.LeaseTiming, name: str = "") -> None:
        self._timing = timing
        self._phase = zlib.crc32(name.encode()) / _CRC_RANGE
        self._owners: dict[str, Owner] = {}
        self._current: dict[str, str] = {}
        self._connected: tuple[Owner, ...] = ()
        self._disconnected: tuple[Owner, ...] = ()
        #: Entries with an ask that must be answered, by incarnation.
        self._awaiting_answer: dict[str, Owner] = {}
        #: Lower bound of the time at which the next ask is due.
        self.ask_due_at = float("inf")
        self._last_ask = 0
        #: Counts changes after which state reports may be due.
        self.changes = 0

    def __iter__(self) -> abc.Iterator[Owner]:
        return iter(list(self._owners.values()))

    def find(self, incarnation: str) -> Owner | None:
        """Return an incarnation of an entry, if it is known."""
        return self._owners.get(incarnation)

    def current(self, name: str) -> Owner | None:
        """Return the newest incarnation of an entry, if one is known."""
        return self._owners.get(self._current.get(name, ""))

    @property
    def connected(self) -> tuple[Owner, ...]:
        """The entries with an open stream."""
        return self._connected

    @property
    def disconnected(self) -> tuple[Owner, ...]:
        """The entries without a stream that are still kept."""
        return self._disconnected

    @property
    def awaiting_answer(self) -> abc.Collection[Owner]:
        """The entries with an ask that must be answered."""
        return self._awaiting_answer.values()

    def _split_by_connection(self) -> None:
        """Split the entries by whether they have a stream."""
        owners = self._owners.values()
        self._connected = tuple(owner for owner in owners if owner.connected)
        self._disconnected = tuple(
            owner for owner in owners if not owner.connected
        )

    def _bring_forward(self, owner: Owner, due: float) -> None:
        """Make the next ask due at that time, unless it is due before."""
        owner.next_ask_at = min(owner.next_ask_at, due)
        self.ask_due_at = min(self.ask_due_at, due)

    def plan_asks(self) -> None:
        """Update ``ask_due_at``."""
        self.ask_due_at = min(
            (owner.next_ask_at for owner in self._connected),
            default=float("inf"),
        )

    def _clear_unanswered(self, owner: Owner) -> None:
        owner.unanswered_asks.clear()
        owner.reopening = False
        self._awaiting_answer.pop(owner.incarnation, None)

    def note_answer(self, now: float, owner: Owner, number: int) -> bool:
        """Record that an entry has answered an ask, and all before it.

        :return: whether one of them had to be answered
        """
        if not owner.unanswered_asks:
            return False
        answered = [
            asked for asked in owner.unanswered_asks if asked <= number
        ]
        if not answered:
            return False
        owner.answer_times.note(now - owner.unanswered_asks[answered[0]])
        for asked in answered:
            del owner.unanswered_asks[asked]
        if not owner.unanswered_asks:
            del self._awaiting_answer[owner.incarnation]
        return True

    def join(
        self,
        now: float,
        name: str,
        incarnation: str,
        zone: str = "",
        detects_duplicates: bool = False,
    ) -> Owner:
        """Record that an entry's stream is open."""
        self._current[name] = incarnation
        self.changes += 1
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = Owner(name, incarnation, zone, detects_duplicates)
            self._owners[incarnation] = owner
        owner.connected = True
        owner.heard_at = now
        owner.needs_held_report = True
        owner.orders_seen = 0
        owner.latest_start = float("inf")
        owner.last_report = None
        owner.reported_jobs = frozenset()
        owner.expected_free = None
        owner.next_ask_at = 0.0
        owner.false_alarms = 0
        self._clear_unanswered(owner)
        self._split_by_connection()
        self.plan_asks()
        return owner

    def leave(self, name: str, incarnation: str) -> None:
        """Record that an entry's stream broke."""
        owner = self._owners.get(incarnation)
        if owner is not None and owner.name == name:
            owner.connected = False
            owner.asks.clear()
            self._clear_unanswered(owner)
            self._split_by_connection()
            self.plan_asks()
            self.changes += 1

    def note_order(self, owner: Owner, order: wire.OrderRuns) -> None:
        """Record an order's number and the grant that it carries."""
        owner.orders_seen = max(owner.orders_seen, order.number)
        self.changes += 1
        self.note_grant(owner, order.ask_seen, order.shorten_by_ms)
        due = owner.granted_at + self._timing.idle_ask_every_s
        self._bring_forward(owner, due)

    def note_started(
        self,
        now: float,
        owner: Owner,
        order: wire.OrderRuns,
        all_started: bool,
    ) -> None:
        """Update the free capacity as an entry calculates it after an order.

        :param now: monotonic seconds
        :param owner: the entry
        :param order: the entry's order
        :param all_started: whether all runs of the order were started
        """
        if all_started and owner.expected_free is not None:
            count = len(order.runs)
            owner.expected_free = owner.expected_free.minus(order.need, count)
            # The entry's view is as current as after a report.
            owner.reported_at = now
        else:
            owner.expected_free = None

    def forget(self, incarnation: str) -> None:
        """Remove an incarnation that is not connected and has no runs."""
        owner = self._owners.pop(incarnation, None)
        self._split_by_connection()
        if owner and self._current.get(owner.name) == incarnation:
            del self._current[owner.name]

    def is_superseded(self, owner: Owner) -> bool:
        """Return whether a newer incarnation of the entry is known."""
        return self._current.get(owner.name) != owner.incarnation

    def has_grant(self, owner: Owner, now: float) -> bool:
        """Return whether an entry's grant is valid, so its runs may go on."""
        if self.is_superseded(owner):
            return False
        return now - owner.granted_at < self._timing.grant_s

    def is_granted(self, incarnation: str, now: float) -> bool:
        """Return whether an entry is known and its grant is valid."""
        owner = self._owners.get(incarnation)
        return owner is not None and self.has_grant(owner, now)

    def is_silent(self, owner: Owner, now: float) -> bool:
        """Return whether nothing was received from an entry for too long."""
        return now - owner.heard_at > self._timing.redial_s

    def ask(
        self, owner: Owner, now: float, busy: bool, at_once: bool = False
    ) -> wire.GrantRequest:
        """Return the next ask for a grant, and record it.

        :param owner: the entry
        :param now: monotonic seconds
        :param busy: whether the entry has runs here or is sent an end
        :param at_once: whether the entry must answer in any case
        """
        self._last_ask += 1
        oldest = now - self._timing.grant_s
        owner.asks = {n: at for n, at in owner.asks.items() if at > oldest}
        owner.asks[self._last_ask] = now
        owner.last_ask = self._last_ask
        owner.last_asked_at = now
        is_quiet = now - owner.heard_at >= self._timing.idle_answer_every_s
        if at_once or busy or is_quiet or owner.unconfirmed:
            owner.unanswered_asks[self._last_ask] = now
            self._awaiting_answer[owner.incarnation] = owner
        interval_s = self._timing.ask_every_s
        if not busy:
            interval_s = self._timing.idle_ask_every_s
            if not owner.is_primary:
                interval_s = self._timing.far_ask_every_s
        owner.next_ask_at = self._next_ask_at(now, interval_s)
        return wire.GrantRequest(
            self._last_ask, self._last_ask in owner.unanswered_asks
        )

    def _next_ask_at(self, now: float, interval_s: float) -> float:
        """Return when the next ask is due, the same time for all entries.

        Asks that are sent together cost one wake-up of the process. The
        phase differs between agents, to spread their asks to an entry.
        """
        soonest = now + _MIN_INTERVAL_SHARE * interval_s
        intervals = math.floor(
            (soonest - self._phase * interval_s) / interval_s
        )
        return (intervals + 1 + self._phase) * interval_s

    def note_grant(
        self, owner: Owner, number: int, shorten_by_ms: int = 0
    ) -> None:
        """Record a grant; an unknown or older one is ignored.

        It also confirms the ends that were sent before its ask, since
        streams preserve the order of messages.

        :param owner: the entry
        :param number: number of the ask that it answers
        :param shorten_by_ms: milliseconds by which the grant is shortened
        """
        if owner.unconfirmed:
            owner.unconfirmed = [
                end for end in owner.unconfirmed if end[0] >= number
            ]
        asked_at = owner.asks.pop(number, None)
        if asked_at is None:
            return
        owner.granted_at = max(
            owner.granted_at, asked_at - shorten_by_ms / 1000.0
        )
        for older in [asked for asked in owner.asks if asked < number]:
            del owner.asks[older]

    def keep_unconfirmed(self, owner: Owner, message: wire.RunsEnded) -> None:
        """Keep an end until the entry confirms it.

        An answer to any ask sent with the end or after it confirms the end.
        """
        if len(owner.unconfirmed) < _MAX_UNCONFIRMED:
            owner.unconfirmed.append((owner.last_ask, message))

    def attach_ask(
        self, owner: Owner, now: float, message: wire.RunsEnded
    ) -> wire.RunsEnded:
        """Return an end, with an ask if none was sent recently.

        Otherwise an ask that is sent soon confirms this end and others. A
        separate ask for each end would take two messages more.
        """
        due = owner.last_asked_at + _CONFIRM_EVERY_S
        if now < due:
            self._bring_forward(owner, due)
            return message
        ask = self.ask(owner, now, busy=True)
        return wire.RunsEnded(message.job, message.ends, ask.number)

    def ends_to_resend(self, owner: Owner) -> list[wire.RunsEnded]:
        """Return the unconfirmed ends, to be sent again on a new stream."""
        messages = [message for _, message in owner.unconfirmed]
        owner.unconfirmed = [(owner.last_ask, end) for end in messages]
        return messages
