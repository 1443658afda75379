"""What an agent knows of its endpoint: its clock, its lease, its health."""

import enum

from ferryledge.leases import _agent_events
from ferryledge.leases import _answer_times
from ferryledge.leases import _incarnations
from ferryledge.leases import _timing

#: Longest that a renewal's answer may wait for an end, in ms. Short enough
#: for several renewals within a lease.
_WAIT_MS = 120
#: Bounds in seconds on what an answer may take beside its wait. An end is
#: learned that much later when the connection has gone silent.
_LONGEST_SLACK_S = 0.15
_SHORTEST_SLACK_S = 0.04
#: Seconds after a renewal that failed, and the most of them: where nothing
#: listens each call is a new connection, and they come at growing distance.
_RETRY_S = 0.03
_LONGEST_RETRY_S = 0.25
#: Without a renewal for this share of a lease nothing new is started.
_FRESH_SHARE = 0.6
_MARGIN_S = 0.05
#: Replaced incarnations that are remembered beside the last one: a held-up
#: heartbeat is some seconds old, and a restart takes longer than one.
_REPLACED_KEPT = 15
#: Faults after which another start may answer the next call.
_GONE = (_agent_events.CallFault.DOWN, _agent_events.CallFault.BROKEN)


class Change(enum.Enum):
    """Whether the endpoint is another incarnation than before."""

    NONE = "none"
    #: It has another id and refuses calls for the one before.
    REPLACED = "replaced"
    #: It started again under its id and takes calls for the start before.
    RESTARTED = "restarted"


class EndpointLink:
    """The state of the link between an agent and its endpoint.

    :param timing: the lease rule
    :param now: monotonic seconds
    """

    def __init__(self, timing: _timing.LeaseTiming, now: float) -> None:
        self._timing = timing
        #: The last heartbeat of the incarnation that is known.
        self.seen: _agent_events.EndpointHeartbeat | None = None
        #: Whether what runs there is known.
        self.synced = False
        #: Ends up to this number have been taken in.
        self.acknowledged = 0
        self._clock_ms = 0
        self._clock_at = now
        self._token = 0
        self._renewed_at = float("-inf")
        #: Until when it is slow from its start.
        self._warm_at = float("-inf")
        self._answer_times = _answer_times.AnswerTimes(
            _LONGEST_SLACK_S, _SHORTEST_SLACK_S
        )
        self._leased_at = now
        #: Why the last renewal brought no list; none if it brought one.
        self._fault: _agent_events.CallFault | None = None
        #: Seconds to wait after the next renewal if it fails too.
        self._retry_s = _RETRY_S
        #: The incarnation that calls are meant for, and the last such.
        self._incarnation = ""
        self._last = ""
        #: The incarnation that said its last word here.
        self._left = ""
        #: Another incarnation that was heard of while one was known, and
        #: when.
        self._candidate: _agent_events.EndpointHeartbeat | None = None
        self._candidate_at = now
        #: Incarnations that are known to have been replaced.
        self._replaced: list[str] = []

    @property
    def incarnation(self) -> str:
        """The endpoint's incarnation; empty while none is known."""
        return self._incarnation

    @property
    def is_down(self) -> bool:
        """Whether the endpoint seemed gone when it was called last."""
        return self._fault in _GONE

    @property
    def token(self) -> int:
        """The fencing token of this agent; 0 before the first contact."""
        return self._token

    def clock_ms(self, now: float) -> int:
        """Return the endpoint's clock, never ahead of it."""
        passed = (now - self._clock_at) * (1.0 - _timing.CLOCK_DRIFT)
        return self._clock_ms + int(passed * 1000.0)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Take in a reading of the endpoint's clock."""
        if clock_ms <= 0:
            return
        # The machine may have been suspended with its endpoint: what is known
        # of its clock is ahead then, and leases would be too long.
        is_old = now - self._clock_at > self._timing.lease_s
        if is_old or clock_ms > self.clock_ms(now) or not self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now
        if not self._token:
            self._token = clock_ms

    def raise_token(self, clock_ms: int, now: float) -> None:
        """Take a higher token after another agent's was seen there.

        That may be far above the clock, if the endpoint started again while
        the other agent went on: doubling gets above it in a few calls.
        """
        self.note_clock(clock_ms, now)
        self._token = max(2 * self._token, self.clock_ms(now))

    def see(self, seen: _agent_events.EndpointHeartbeat, now: float) -> Change:
        """Take in a heartbeat.

        One of another incarnation than the known one may be of its
        successor, or a late one of its predecessor. The endpoint tells
        which: its next answer is the known one's, or refutes it. Numbers
        are compared within an incarnation alone, each counts from 1.

        :return: whether the endpoint is another than before
        """
        if self._is_gone(seen.incarnation):
            return Change.NONE
        if not self._incarnation:
            return self._take(seen, now)
        if seen.incarnation != self._incarnation:
            self._propose(seen, now)
        elif self.seen is None or seen.number >= self.seen.number:
            self._note(seen, now)
        return Change.NONE

    def _note(self, seen: _agent_events.EndpointHeartbeat, now: float) -> None:
        self.seen = seen
        self._warm_at = now + seen.cold_s
        self.note_clock(seen.clock_ms, now)

    def recall(
        self, seen: _agent_events.EndpointHeartbeat, now: float
    ) -> bool:
        """Take in what was kept; a heartbeat that came first goes before.

        :return: whether it was taken in
        """
        if self._is_gone(seen.incarnation):
            return False
        if self._incarnation:
            if self._incarnation != seen.incarnation:
                self._propose(seen, now)
            return False
        self.seen = seen
        self._incarnation = self._last = seen.incarnation
        return True

    def refute(self, now: float) -> Change:
        """Note that an endpoint with another id answered.

        :return: whether what is known here was true of the one before
        """
        refuted = self._incarnation
        if not refuted:
            return Change.NONE
        self._note_replaced(refuted)
        self._incarnation = ""
        self.seen = None
        candidate = self._pop_candidate()
        if candidate is not None and not _share_id(
            candidate.incarnation, refuted
        ):
            return self._take(candidate, now)
        self._start_anew()
        return Change.REPLACED

    def answered(self, born_ms: int, now: float) -> Change:
        """Note when the endpoint that listed what it runs was started.

        :param born_ms: Unix time in ms; 0 if it doesn't tell
        :param now: monotonic seconds
        :return: whether it started again since the last list
        """
        if not self._incarnation or not born_ms:
            return Change.NONE
        endpoint_id = _incarnations.endpoint_id_of(self._incarnation)
        answered_as = _incarnations.incarnation_of(endpoint_id, born_ms)
        if answered_as == self._incarnation:
            return Change.NONE
        candidate = self._pop_candidate()
        if candidate is not None and candidate.incarnation == answered_as:
            return self._take(candidate, now)
        self.seen = None
        return self._succeed(answered_as)

    def give_way(self, now: float) -> Change:
        """Let a successor take over from an incarnation that is silent.

        :return: whether it did
        """
        waited = now - self._candidate_at > self._timing.lease_s
        if not waited or not self.is_dark(now):
            return Change.NONE
        seen = self._pop_candidate()
        return Change.NONE if seen is None else self._take(seen, now)

    def _is_gone(self, incarnation: str) -> bool:
        return incarnation in (self._left, *self._replaced)

    def _note_replaced(self, incarnation: str) -> None:
        self._replaced = [*self._replaced[-_REPLACED_KEPT:], incarnation]

    def _propose(
        self, seen: _agent_events.EndpointHeartbeat, now: float
    ) -> None:
        known = self._candidate
        if known is None or known.incarnation != seen.incarnation:
            self._candidate_at = now
        elif seen.number < known.number:
            return
        self._candidate = seen

    def _pop_candidate(self) -> _agent_events.EndpointHeartbeat | None:
        """Return the proposed successor, if any, and forget it."""
        candidate = self._candidate
        self._candidate = None
        return candidate

    def _take(
        self, seen: _agent_events.EndpointHeartbeat, now: float
    ) -> Change:
        change = self._succeed(seen.incarnation)
        self._note(seen, now)
        return change

    def _succeed(self, incarnation: str) -> Change:
        """Let an incarnation take the place of the last one."""
        last = self._last
        if self._incarnation:
            self._note_replaced(self._incarnation)
        self._incarnation = self._last = incarnation
        if last in ("", incarnation):
            return Change.NONE
        if not _share_id(last, incarnation):
            self._start_anew()
            return Change.REPLACED
        # It takes calls for the start before, also late ones: a higher token
        # keeps out their orders, and the ends that they confirm.
        token = self._token
        self._start_anew()
        self._token = token + 1 if token else 0
        return Change.RESTARTED

    def _start_anew(self) -> None:
        """Forget what was true of the incarnation before."""
        self.acknowledged = 0
        self.synced = False
        self._clock_ms = 0
        self._token = 0
        self._renewed_at = float("-inf")
        self._warm_at = float("-inf")

    def leave(self, incarnation: str) -> bool:
        """Take in the endpoint's last word.

        :return: whether it is the incarnation known here
        """
        if self._incarnation != incarnation:
            return False
        self._left = incarnation
        self._incarnation = ""
        self.seen = None
        return True

    def lease_until_ms(self, now: float) -> int:
        """Return the end of a lease that is sent now."""
        self._leased_at = now
        return self.clock_ms(now) + int(self._timing.lease_s * 1000.0)

    def renewal(self, now: float) -> _agent_events.Renewal:
        """Return what the next renewal is to say."""
        lease_until_ms = 0
        is_sure = self.synced and not self.is_down
        if self._token and is_sure and not self.is_dark(now):
            lease_until_ms = self.lease_until_ms(now)
        # Another start may answer, with ends that bear the same numbers:
        # confirmed unseen they would be lost, and their tasks run twice.
        is_known = self._fault is None and self.is_fresh(now)
        return _agent_events.Renewal(
            self.incarnation,
            lease_until_ms,
            self._token,
            self.acknowledged if is_known else 0,
            _WAIT_MS if self.synced and is_known else 0,
            self._answer_times.limit_s,
            self._retry_s,
        )

    def failed(self, fault: _agent_events.CallFault) -> None:
        """Note that a renewal brought no list."""
        self._fault = fault
        if fault is _agent_events.CallFault.DOWN:
            self._retry_s = min(_LONGEST_RETRY_S, 2.0 * self._retry_s)
        else:
            self._retry_s = _RETRY_S

    def renewed(self, sent_at: float, now: float) -> None:
        """Note that the endpoint took a renewal sent at that time."""
        beyond_s = now - sent_at - _WAIT_MS / 1000.0
        if beyond_s > 0.0:
            # One that came sooner brought an end, and tells nothing here.
            self._answer_times.note(beyond_s)
        self._renewed_at = max(self._renewed_at, sent_at)
        self._fault = None
        self._retry_s = _RETRY_S
        candidate = self._candidate
        if candidate is not None and sent_at > self._candidate_at:
            # The known incarnation answers still: the other came before it.
            self._note_replaced(candidate.incarnation)
            self._candidate = None

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is still slow from its start."""
        return now < self._warm_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the endpoint answered lately."""
        lately = _FRESH_SHARE * self._timing.lease_s
        return now - self._renewed_at < lately

    def is_dark(self, now: float) -> bool:
        """Return whether renewals failed for a whole lease."""
        return now - self._renewed_at > self._timing.lease_s

    def is_over(self, now: float) -> bool:
        """Return whether all that ran there must have lapsed.

        While the endpoint is dark no lease is sent, so the last one that
        may have arrived bounds them all.
        """
        lease_s = self._timing.lease_s * (1.0 + _timing.CLOCK_DRIFT)
        last = self._leased_at + lease_s + _MARGIN_S
        return self.is_dark(now) and now > last


def _share_id(one: str, other: str) -> bool:
    """Return whether two incarnations take the same calls."""
    return _incarnations.endpoint_id_of(one) == _incarnations.endpoint_id_of(
        other
    )
