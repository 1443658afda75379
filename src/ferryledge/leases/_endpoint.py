"""Tracks an endpoint's incarnation, clock, lease and reachability."""

from collections import abc
import enum

from ferryledge import decoding
from ferryledge.leases import _agent_events
from ferryledge.leases import _answer_times
from ferryledge.leases import _incarnations
from ferryledge.leases import _recalled_reports
from ferryledge.leases import _timing
from ferryledge import wire

#: Milliseconds that the endpoint may hold the answer to a renewal until a run
#: ends. Short enough for several renewals within a lease.
_WAIT_MS = 120
#: The same while the endpoint's incarnation is unknown. Short, since no run is
#: started until a call that names the incarnation is answered.
_UNIDENTIFIED_WAIT_MS = 20
#: Bounds in seconds of a renewal's timeout beyond that. A run's end is
#: learned that much later if the connection stalls.
_LONGEST_SLACK_S = 0.15
_SHORTEST_SLACK_S = 0.04
#: First and longest backoff in seconds after a renewal whose connection was
#: refused; each such renewal opens a new connection.
_RETRY_S = 0.03
_LONGEST_RETRY_S = 0.25
#: No runs are started after this share of a lease without a renewal.
_FRESH_SHARE = 0.6
_MARGIN_S = 0.05
#: Replaced incarnations that are kept besides the last one, to ignore their
#: delayed heartbeats. A delayed heartbeat is some seconds old, and a restart
#: takes longer than one second.
_REPLACED_KEPT = 15
#: Faults after which another incarnation may answer the next call.
_DOWN_FAULTS = (_agent_events.CallFault.DOWN, _agent_events.CallFault.BROKEN)


class IncarnationChange(enum.Enum):
    """Whether and how the endpoint's incarnation changed."""

    NONE = "none"
    #: The new one has another id and refuses calls to its predecessor.
    REPLACED = "replaced"
    #: The new one has the same id and accepts calls to its predecessor.
    RESTARTED = "restarted"


class EndpointLink:
    """What an agent knows of its endpoint, and the lease that it renews.

    :param timing: durations of leases and grants
    :param now: monotonic seconds
    :param may_extend: called with monotonic seconds; returns whether the
        lease may be extended then, by default always
    """

    def __init__(
        self,
        timing: _timing.LeaseTiming,
        now: float,
        may_extend: abc.Callable[[float], bool] = lambda now: True,
    ) -> None:
        self._timing = timing
        self._may_extend = may_extend
        #: The last heartbeat of the current incarnation.
        self.heartbeat: _agent_events.EndpointHeartbeat | None = None
        #: That heartbeat as it was stored; none if it came from the endpoint.
        self._stored: _agent_events.EndpointHeartbeat | None = None
        self._recalled = _recalled_reports.RecalledReports()
        #: Whether entries agree with the stored heartbeat.
        self._is_corroborated = False
        #: A stored heartbeat to use if the current incarnation is refused.
        self._alternative: _agent_events.EndpointHeartbeat | None = None
        #: Whether the current incarnation has listed its runs.
        self.synced = False
        #: Number of the last end that was processed.
        self.acknowledged = 0
        #: Whether the last answer listed ends. The endpoint lists an end
        #: until it is acknowledged.
        self._lists_ends = False
        self._clock_ms = 0
        self._clock_at = now
        self._token = 0
        self._renewed_at = float("-inf")
        #: When the endpoint has warmed up after its start.
        self._warm_at = float("-inf")
        self._answer_times = _answer_times.AnswerTimes(
            _LONGEST_SLACK_S, _SHORTEST_SLACK_S
        )
        #: When the lease was last extended.
        self._leased_at = now
        #: End of the lease on the endpoint's clock; 0 before the first one.
        self._lease_until_ms = 0
        #: Why the last renewal failed; none if it succeeded.
        self._fault: _agent_events.CallFault | None = None
        #: Seconds to wait after the next renewal if it fails too.
        self._retry_s = _RETRY_S
        #: The current incarnation, if any. It may be named by a stored record
        #: or a delayed heartbeat only, and be over.
        self._incarnation = ""
        #: The incarnation that last answered a call addressed to it. The
        #: agent's runs belong to it; if empty, they belong to whichever
        #: incarnation listed them.
        self._answered_as = ""
        #: The last incarnation that announced its shutdown.
        self._shut_down_incarnation = ""
        #: Latest heartbeat of a possible successor, and when its first came.
        self._candidate: _agent_events.EndpointHeartbeat | None = None
        self._candidate_at = now
        #: Incarnations that have been replaced.
        self._replaced: list[str] = []

    @property
    def incarnation(self) -> str:
        """The endpoint's current incarnation; empty while none is known."""
        return self._incarnation

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint has answered as the current incarnation."""
        return bool(self._incarnation) and (
            self._answered_as == self._incarnation
        )

    @property
    def is_room_known(self) -> bool:
        """Whether the endpoint's capacity may be relied on.

        The endpoint reported it to this process, or to the predecessor, which
        told an entry.
        """
        return self.heartbeat is not None and (
            self._stored is None or self._is_corroborated
        )

    @property
    def is_down(self) -> bool:
        """Whether the last renewal failed as if the endpoint were down."""
        return self._fault in _DOWN_FAULTS

    @property
    def token(self) -> int:
        """The fencing token of this agent; 0 before the first contact."""
        return self._token

    def clock_ms(self, now: float) -> int:
        """Return a lower bound of the endpoint's clock."""
        passed = (now - self._clock_at) * (1.0 - _timing.CLOCK_DRIFT)
        return self._clock_ms + int(passed * 1000.0)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Update the estimate of the endpoint's clock by a reading."""
        if clock_ms <= 0:
            return
        # An old estimate may be ahead of the clock, if endpoint and machine
        # were suspended. Leases by it would be too long.
        is_old = now - self._clock_at > self._timing.lease_s
        if is_old or clock_ms > self.clock_ms(now) or not self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now
        if not self._token:
            self._token = clock_ms

    def raise_token(self, clock_ms: int, now: float) -> None:
        """Raise the fencing token after the endpoint has seen a higher one.

        That token may be far above the clock if the endpoint restarted with
        a lower clock. Doubling exceeds it within a few calls. The token stays
        in the range of clocks, in case the endpoint refuses any token.
        """
        self.note_clock(clock_ms, now)
        raised = max(2 * self._token, self.clock_ms(now))
        self._token = min(raised, decoding.MAX_INTEGER)

    def receive_heartbeat(
        self, heartbeat: _agent_events.EndpointHeartbeat, now: float
    ) -> IncarnationChange:
        """Process a heartbeat.

        A heartbeat of another incarnation than the current one is either of
        its successor or a delayed one of its predecessor. It becomes the
        candidate, and the endpoint's next answer decides. Sequence numbers
        are compared within an incarnation only, since each starts at 1.

        :return: whether the incarnation changed
        """
        if self._is_former(heartbeat.incarnation):
            return IncarnationChange.NONE
        if not self._incarnation:
            return self._accept(heartbeat, now)
        if heartbeat.incarnation != self._incarnation:
            self._update_candidate(heartbeat, now)
        elif (
            self.heartbeat is None or heartbeat.number >= self.heartbeat.number
        ):
            self._update_heartbeat(heartbeat, now)
        return IncarnationChange.NONE

    def _update_heartbeat(
        self, heartbeat: _agent_events.EndpointHeartbeat, now: float
    ) -> None:
        self.heartbeat = heartbeat
        self._stored = None
        self._warm_at = now + heartbeat.cold_s
        self.note_clock(heartbeat.clock_ms, now)

    def restore(self, heartbeat: _agent_events.EndpointHeartbeat) -> bool:
        """Use a stored heartbeat, unless a newer one has come already.

        It may be outdated, so it only names the incarnation to call, and its
        capacity counts once an entry agrees with it.

        :return: whether it is used
        """
        if self._answered_as or self._is_former(heartbeat.incarnation):
            return False
        if self._incarnation:
            self._alternative = heartbeat
            return False
        self._use_stored(heartbeat)
        return True

    def _use_stored(self, heartbeat: _agent_events.EndpointHeartbeat) -> None:
        self.heartbeat = self._stored = heartbeat
        self._incarnation = heartbeat.incarnation
        self._is_corroborated = False
        self._corroborate()

    def note_recalled(self, entry: str, report: wire.RecalledReport) -> bool:
        """Process what the agent's predecessor reported to an entry.

        :return: whether the stored heartbeat is used in accordance with it
        """
        self._recalled.add(entry, report)
        return self._corroborate()

    def _corroborate(self) -> bool:
        """Restrict the stored heartbeat to what entries agree with."""
        if self.heartbeat is None or self._stored is None:
            return False
        heartbeat = self._recalled.corroborate(self._stored)
        if heartbeat is None:
            return False
        self.heartbeat = heartbeat
        self._is_corroborated = True
        return True

    def confirm(self) -> bool:
        """Record that the endpoint answered as the current incarnation.

        Answers to calls that named no incarnation may have come from a
        predecessor, whose clock and numbers of ends don't apply.

        :return: whether it is the first such answer
        """
        if not self._incarnation or self.is_confirmed:
            return False
        self._answered_as = self._incarnation
        self.acknowledged = 0
        self._lists_ends = False
        self._clock_ms = 0
        return True

    def handle_replacement(self, now: float) -> IncarnationChange:
        """Drop the current incarnation, since another id answered.

        The candidate succeeds it, unless both have the same id.

        :return: how the incarnation changed; not at all if it never answered,
            since the runs belong to another one then
        """
        replaced = self._incarnation
        if not replaced:
            return IncarnationChange.NONE
        self._note_replaced(replaced)
        self._incarnation = ""
        self.heartbeat = None
        alternative = self._alternative
        self._alternative = None
        candidate = self._pop_candidate()
        if candidate is not None and not _share_id(
            candidate.incarnation, replaced
        ):
            return self._accept(candidate, now)
        if not self._answered_as:
            if alternative and not self._is_former(alternative.incarnation):
                self._use_stored(alternative)
            return IncarnationChange.NONE
        self._reset()
        return IncarnationChange.REPLACED

    def note_start_time(self, born_ms: int, now: float) -> IncarnationChange:
        """Process the start time in an endpoint's answer.

        :param born_ms: Unix time in ms of the start of the endpoint that
            answered; 0 if it isn't reported
        :param now: monotonic seconds
        :return: whether the endpoint restarted since the last answer
        """
        if not self._incarnation or not born_ms:
            return IncarnationChange.NONE
        endpoint_id = _incarnations.endpoint_id_of(self._incarnation)
        answered_as = _incarnations.incarnation_of(endpoint_id, born_ms)
        if answered_as == self._incarnation:
            return IncarnationChange.NONE
        candidate = self._pop_candidate()
        if candidate is not None and candidate.incarnation == answered_as:
            return self._accept(candidate, now)
        self.heartbeat = None
        return self._succeed(answered_as)

    def replace_unresponsive(self, now: float) -> IncarnationChange:
        """Replace an unresponsive incarnation by the candidate, if any.

        The candidate may be a predecessor whose heartbeat came late, while
        answers are lost. So no runs are given up before their lease expired.

        :return: how the incarnation changed
        """
        waited = now - self._candidate_at > self._timing.lease_s
        if not waited or not self.all_leases_expired(now):
            return IncarnationChange.NONE
        heartbeat = self._pop_candidate()
        return (
            IncarnationChange.NONE
            if heartbeat is None
            else self._accept(heartbeat, now)
        )

    def _is_former(self, incarnation: str) -> bool:
        return incarnation in (self._shut_down_incarnation, *self._replaced)

    def _note_replaced(self, incarnation: str) -> None:
        self._replaced = [*self._replaced[-_REPLACED_KEPT:], incarnation]

    def _update_candidate(
        self, heartbeat: _agent_events.EndpointHeartbeat, now: float
    ) -> None:
        known = self._candidate
        if known is None or known.incarnation != heartbeat.incarnation:
            self._candidate_at = now
        elif heartbeat.number < known.number:
            return
        self._candidate = heartbeat

    def _pop_candidate(self) -> _agent_events.EndpointHeartbeat | None:
        """Return the candidate, if any, and clear it."""
        candidate = self._candidate
        self._candidate = None
        return candidate

    def _accept(
        self, heartbeat: _agent_events.EndpointHeartbeat, now: float
    ) -> IncarnationChange:
        change = self._succeed(heartbeat.incarnation)
        self._update_heartbeat(heartbeat, now)
        return change

    def _succeed(self, incarnation: str) -> IncarnationChange:
        """Make an incarnation the current one.

        :return: how it differs from the one that answered last
        """
        last = self._answered_as
        if self._incarnation:
            self._note_replaced(self._incarnation)
        self._incarnation = incarnation
        if last in ("", incarnation):
            return IncarnationChange.NONE
        if not _share_id(last, incarnation):
            self._reset()
            return IncarnationChange.REPLACED
        # The new one accepts delayed calls that were meant for the old one.
        # A higher fencing token makes it refuse their starts and
        # acknowledgements.
        token = self._token
        self._reset()
        self._token = token + 1 if token else 0
        return IncarnationChange.RESTARTED

    def _reset(self) -> None:
        """Reset what is known of the previous incarnation."""
        self._answered_as = ""
        self.acknowledged = 0
        self._lists_ends = False
        self.synced = False
        self._clock_ms = 0
        self._lease_until_ms = 0
        self._token = 0
        self._renewed_at = float("-inf")
        self._warm_at = float("-inf")

    def note_shutdown(self, incarnation: str) -> bool:
        """Process the announcement that an incarnation shuts down.

        :return: whether it was the current one
        """
        if self._incarnation != incarnation:
            return False
        self._shut_down_incarnation = incarnation
        self._incarnation = ""
        self._lists_ends = False
        self.heartbeat = None
        return True

    def extend_lease(self, now: float) -> int:
        """Extend the lease if that is allowed, and return its end.

        The caller sends the end to the endpoint, in milliseconds of the
        endpoint's clock.

        :param now: monotonic seconds
        """
        if self._may_extend(now):
            self._leased_at = now
            lease_ms = int(self._timing.lease_s * 1000.0)
            self._lease_until_ms = self.clock_ms(now) + lease_ms
        return self._lease_until_ms

    def renewal(self, now: float) -> _agent_events.Renewal:
        """Return the arguments of the next renewal call."""
        lease_until_ms = 0
        may_renew = self.synced and not self.is_down
        if self._token and may_renew and not self.is_unresponsive(now):
            lease_until_ms = self.extend_lease(now)
        is_reachable = self._fault is None and self.was_renewed_recently(now)
        return _agent_events.Renewal(
            self.incarnation,
            lease_until_ms,
            self._token,
            self._acknowledgement() if is_reachable else 0,
            self._wait_ms() if self.synced and is_reachable else 0,
            self._answer_times.limit_s,
            self._retry_s,
        )

    def _wait_ms(self) -> int:
        """Return how long the endpoint may hold the next answer, in ms."""
        if self.is_confirmed:
            return _WAIT_MS
        return 0 if self._incarnation else _UNIDENTIFIED_WAIT_MS

    def _acknowledgement(self) -> int:
        """Return up to which number the next renewal acknowledges ends.

        A restarted endpoint accepts what is meant for its predecessor, and
        any incarnation accepts what is addressed to none. Its own ends have
        the same numbers; acknowledged unread they would be lost, and their
        tasks run twice. So nothing is acknowledged but what the last answer
        listed, and only to the incarnation that listed it.
        """
        is_listed = self.is_confirmed and self._lists_ends
        return self.acknowledged if is_listed else 0

    def failed(self, fault: _agent_events.CallFault) -> None:
        """Record that a renewal failed."""
        self._fault = fault
        if fault is _agent_events.CallFault.DOWN:
            self._retry_s = min(_LONGEST_RETRY_S, 2.0 * self._retry_s)
        else:
            self._retry_s = _RETRY_S

    def renewed(
        self, sent_at: float, now: float, lists_ends: bool = False
    ) -> None:
        """Record a successful renewal.

        :param sent_at: when it was sent, in monotonic seconds
        :param now: monotonic seconds
        :param lists_ends: whether its answer listed ends
        """
        self._lists_ends = lists_ends
        beyond_s = now - sent_at - _WAIT_MS / 1000.0
        if beyond_s > 0.0:
            # An earlier answer was sent because a run ended, so it says
            # nothing about the latency.
            self._answer_times.note(beyond_s)
        self._renewed_at = max(self._renewed_at, sent_at)
        self._fault = None
        self._retry_s = _RETRY_S
        candidate = self._candidate
        if candidate is not None and sent_at > self._candidate_at:
            # The current incarnation still answers, so the candidate is a
            # predecessor.
            self._note_replaced(candidate.incarnation)
            self._candidate = None

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is still warming up."""
        return now < self._warm_at

    def was_renewed_recently(self, now: float) -> bool:
        """Return whether a renewal succeeded recently."""
        recent_s = _FRESH_SHARE * self._timing.lease_s
        return now - self._renewed_at < recent_s

    def was_renewed_since(self, at: float) -> bool:
        """Return whether a renewal that was sent after a time succeeded."""
        return self._renewed_at > at

    def is_unresponsive(self, now: float) -> bool:
        """Return whether no renewal succeeded for the time of a lease."""
        return now - self._renewed_at > self._timing.lease_s

    def all_leases_expired(self, now: float) -> bool:
        """Return whether all leases on runs have expired.

        No lease is sent while the endpoint is unresponsive, so the last
        extension expires last.
        """
        lease_s = self._timing.lease_s * (1.0 + _timing.CLOCK_DRIFT)
        last = self._leased_at + lease_s + _MARGIN_S
        return self.is_unresponsive(now) and now > last


def _share_id(first: str, second: str) -> bool:
    """Return whether two incarnations have the same endpoint id."""
    return _incarnations.endpoint_id_of(first) == _incarnations.endpoint_id_of(
        second
    )
