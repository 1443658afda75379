"""What an agent knows of its endpoint: its clock, its lease, its health."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _answer_times
from ferryledge.leases import _timing

#: Longest that a renewal's answer may wait for an end, in ms. Short enough
#: for several renewals within a lease.
_WAIT_MS = 120
#: Bounds in seconds on what an answer may take beside its wait. An end is
#: learned that much later when the connection has gone silent.
_LONGEST_SLACK_S = 0.15
_SHORTEST_SLACK_S = 0.04
#: Without a renewal for this share of a lease nothing new is started.
_FRESH_SHARE = 0.6
_MARGIN_S = 0.05
#: Replaced incarnations that are remembered beside the last one: a held-up
#: heartbeat is some seconds old, and a restart takes longer than one.
_REPLACED_KEPT = 15


class EndpointLink:
    """The state of the link between an agent and its endpoint.

    :param timing: the lease rule
    :param now: monotonic seconds
    """

    def __init__(self, timing: _timing.LeaseTiming, now: float) -> None:
        self._timing = timing
        #: The endpoint's last heartbeat.
        self.seen: _agent_events.EndpointSeen | None = None
        #: Whether what runs there is known.
        self.synced = False
        #: Ends up to this number have been taken in.
        self.acknowledged = 0
        self._clock_ms = 0
        self._clock_at = now
        self._token = 0
        self._renewed_at = float("-inf")
        self._answer_times = _answer_times.AnswerTimes(
            _LONGEST_SLACK_S, _SHORTEST_SLACK_S
        )
        self._leased_at = now
        self._last = ""
        #: The incarnation that said its last word here.
        self._left = ""
        #: Another incarnation that was heard of while one was known, and
        #: when.
        self._candidate: _agent_events.EndpointSeen | None = None
        self._candidate_at = now
        #: Incarnations that are known to have been replaced.
        self._replaced: list[str] = []

    @property
    def incarnation(self) -> str:
        """The endpoint's incarnation; empty while none is known."""
        return self.seen.incarnation if self.seen else ""

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
        if clock_ms > self.clock_ms(now) or not self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now
        if not self._token:
            self._token = clock_ms

    def raise_token(self, clock_ms: int, now: float) -> None:
        """Take a higher token after another agent's was seen there."""
        self.note_clock(clock_ms, now)
        self._token = max(self._token + 1, self.clock_ms(now))

    def see(self, seen: _agent_events.EndpointSeen, now: float) -> bool:
        """Take in a heartbeat.

        One of another incarnation than the known one may be of its
        successor, or a late one of its predecessor. The endpoint tells
        which: its next answer is the known one's, or refutes it.

        :return: whether the endpoint is another incarnation than before
        """
        known = self.seen
        if self._is_gone(seen.incarnation):
            return False
        if known is not None and known.incarnation == seen.incarnation:
            if seen.number >= known.number:
                self.seen = seen
                self.note_clock(seen.clock_ms, now)
            return False
        if known is not None:
            self._propose(seen, now)
            return False
        return self._take(seen, now)

    def recall(self, seen: _agent_events.EndpointSeen, now: float) -> bool:
        """Take in what was kept; a heartbeat that came first goes before.

        :return: whether it was taken in
        """
        if self.seen is not None:
            if self.incarnation != seen.incarnation:
                self._propose(seen, now)
            return False
        if self._is_gone(seen.incarnation):
            return False
        self.seen = seen
        self._last = seen.incarnation
        return True

    def refute(self, incarnation: str, now: float) -> bool:
        """Note that the endpoint is no longer an incarnation.

        :return: whether what is known here was true of that one
        """
        if not incarnation or self.incarnation != incarnation:
            return False
        self._note_replaced(incarnation)
        self.seen = None
        if not self._take_candidate(now):
            self._start_anew()
        return True

    def give_way(self, now: float) -> bool:
        """Let a successor take over from an incarnation that is silent.

        :return: whether it did
        """
        waited = now - self._candidate_at > self._timing.lease_s
        return waited and self.is_dark(now) and self._take_candidate(now)

    def _is_gone(self, incarnation: str) -> bool:
        return incarnation in (self._left, *self._replaced)

    def _note_replaced(self, incarnation: str) -> None:
        self._replaced = [*self._replaced[-_REPLACED_KEPT:], incarnation]

    def _propose(self, seen: _agent_events.EndpointSeen, now: float) -> None:
        if self._candidate is None or (
            self._candidate.incarnation != seen.incarnation
        ):
            self._candidate_at = now
        self._candidate = seen

    def _take_candidate(self, now: float) -> bool:
        seen = self._candidate
        self._candidate = None
        return seen is not None and self._take(seen, now)

    def _take(self, seen: _agent_events.EndpointSeen, now: float) -> bool:
        replaced = self._last not in ("", seen.incarnation)
        if self.seen is not None:
            self._note_replaced(self.incarnation)
        self.seen = seen
        self._last = seen.incarnation
        if replaced:
            self._start_anew()
        self.note_clock(seen.clock_ms, now)
        return replaced

    def _start_anew(self) -> None:
        """Forget what was true of the incarnation before."""
        self.acknowledged = 0
        self.synced = False
        self._clock_ms = 0
        self._token = 0
        self._renewed_at = float("-inf")

    def leave(self, incarnation: str) -> bool:
        """Take in the endpoint's last word.

        :return: whether it is the incarnation known here
        """
        if self.incarnation != incarnation:
            return False
        self._left = incarnation
        self.seen = None
        return True

    def lease_until_ms(self, now: float) -> int:
        """Return the end of a lease that is sent now."""
        self._leased_at = now
        return self.clock_ms(now) + int(self._timing.lease_s * 1000.0)

    def renewal(self, now: float) -> _agent_events.Renewal:
        """Return what the next renewal is to say."""
        lease_until_ms = 0
        if self._token and self.synced and not self.is_dark(now):
            lease_until_ms = self.lease_until_ms(now)
        return _agent_events.Renewal(
            self.incarnation,
            lease_until_ms,
            self._token,
            self.acknowledged,
            _WAIT_MS if self.synced else 0,
            self._answer_times.limit_s,
        )

    def renewed(self, sent_at: float, now: float) -> None:
        """Note that the endpoint took a renewal sent at that time."""
        beyond_s = now - sent_at - _WAIT_MS / 1000.0
        if beyond_s > 0.0:
            # One that came sooner brought an end, and tells nothing here.
            self._answer_times.note(beyond_s)
        self._renewed_at = max(self._renewed_at, sent_at)
        candidate = self._candidate
        if candidate is not None and sent_at > self._candidate_at:
            # The known incarnation answers still: the other came before it.
            self._note_replaced(candidate.incarnation)
            self._candidate = None

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
