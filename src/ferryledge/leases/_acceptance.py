"""Whether an agent takes new runs, and how much room it has for them."""

from ferryledge.leases import _cordons
from ferryledge.leases import _endpoint
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _timing
from ferryledge import wire

#: Steps in which the time left is told, in seconds.
_TIME_STEP_S = 0.5
_NEVER = float("inf")


class Acceptance:
    """What an agent promises about its endpoint.

    :param link: the link to the endpoint
    :param runs: what the endpoint holds
    :param owners: the entries
    :param cordons: the availability zones that take no new work
    :param zone: its own
    """

    def __init__(
        self,
        link: _endpoint.EndpointLink,
        runs: _runs.RunTable,
        owners: _owners.OwnerTable,
        cordons: _cordons.Cordons,
        zone: str,
    ) -> None:
        self._link = link
        self._runs = runs
        self._owners = owners
        self._cordons = cordons
        self._zone = zone
        self._drain_until = _NEVER

    @property
    def leaving(self) -> bool:
        """Whether this process is to end."""
        return self._drain_until < _NEVER

    @property
    def free(self) -> wire.Resources:
        """Room that no run holds."""
        seen = self._link.seen
        if seen is None:
            return wire.Resources()
        return seen.capacity.minus(self._runs.held)

    def drain(self, until: float) -> None:
        """Take only what ends before this process does.

        :param until: when that is, in monotonic seconds
        """
        self._drain_until = until

    def refusal(
        self, now: float, owner: _owners.Owner, order: wire.OrderRuns
    ) -> wire.NotStarted | None:
        """Return why none of an order's runs is started; none if some may."""
        if order.expected_s * _timing.RUN_MARGIN > self._time_left(now):
            return wire.NotStarted.LEAVING
        if order.endpoint != self._link.incarnation:
            return wire.NotStarted.ENDPOINT
        if self._cordons.covers(self._zone):
            # Its entry may be cut off from all that could tell it.
            return wire.NotStarted.CORDONED
        if not self.is_open(now):
            return wire.NotStarted.LEAVING
        if not self._owners.has_grant(owner, now):
            return wire.NotStarted.NO_ANSWER
        return None

    def is_open(self, now: float) -> bool:
        """Return whether new runs are taken at all."""
        seen = self._link.seen
        if seen is None or seen.draining or self._time_left(now) <= 0.0:
            return False
        if self._cordons.covers(self._zone):
            return False
        if not self._link.synced or not self._link.is_fresh(now):
            return False
        if self._link.is_down:
            # It may have started again by the time that an order arrives.
            return False
        return not self._runs.has_owner("")

    def remaining_s(self, now: float) -> float:
        """Return the seconds that are left here; 0 is unlimited."""
        seen = self._link.seen
        endpoint_s = seen.remaining_s if seen is not None else 0.0
        left = self._time_left(now)
        if left == _NEVER:
            return endpoint_s
        return min(left, endpoint_s or left)

    def _time_left(self, now: float) -> float:
        """Return the seconds until this process ends, in whole steps."""
        if not self.leaving:
            return _NEVER
        steps = int((self._drain_until - now) / _TIME_STEP_S)
        return steps * _TIME_STEP_S
