"""What an agent knows of its endpoint: its clock, its lease, its health."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _timing

#: Longest that a renewal's answer may wait for an end, in ms. Short enough
#: for several renewals within a lease.
_WAIT_MS = 120
#: Without a renewal for this share of a lease nothing new is started.
_FRESH_SHARE = 0.6
_MARGIN_S = 0.05


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
        self._leased_at = now
        self._last = ""
        self._left = ""
        self._recalled = False

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

        :return: whether the endpoint is another incarnation than before
        """
        known = self.seen
        if seen.incarnation == self._left:
            return False
        self._recalled = False
        if known is not None and known.incarnation == seen.incarnation:
            if seen.number >= known.number:
                self.seen = seen
                self.note_clock(seen.clock_ms, now)
            return False
        replaced = bool(self._last)
        self.seen = seen
        self._last = seen.incarnation
        if replaced:
            self._start_anew()
        self.note_clock(seen.clock_ms, now)
        return replaced

    def recall(self, seen: _agent_events.EndpointSeen) -> bool:
        """Take in what was kept; a heartbeat that came first goes before.

        :return: whether it was taken in
        """
        if self.seen is not None or self._last:
            return False
        self.seen = seen
        self._last = seen.incarnation
        self._recalled = True
        return True

    def refute(self, incarnation: str) -> None:
        """Drop what was recalled: another incarnation answered."""
        if self._recalled and self.incarnation == incarnation:
            self.seen = None
            self._recalled = False

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
        )

    def renewed(self, sent_at: float) -> None:
        """Note that the endpoint took a renewal sent at that time."""
        self._renewed_at = max(self._renewed_at, sent_at)

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
