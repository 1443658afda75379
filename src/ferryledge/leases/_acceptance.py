"""Decides whether an agent accepts an order of runs."""

from ferryledge.leases import _cordons
from ferryledge.leases import _endpoint
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _timing
from ferryledge import wire

#: The time until shutdown is reported in steps of this many seconds.
_TIME_STEP_S = 0.5
_NEVER = float("inf")


class Acceptance:
    """Admits or refuses orders by the state of the agent and its endpoint.

    :param link: what is known of the endpoint and its lease
    :param runs: the runs at the endpoint
    :param owners: the entries and their grants
    :param cordons: the availability zones that accept no new work
    :param zone: availability zone of the agent
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
        """Whether this process is shutting down."""
        return self._drain_until < _NEVER

    @property
    def free(self) -> wire.Resources:
        """Capacity of the endpoint that no run occupies."""
        heartbeat = self._link.heartbeat
        if heartbeat is None:
            return wire.Resources()
        return heartbeat.capacity.minus(self._runs.held)

    def drain(self, until: float) -> None:
        """Accept only runs that end before this process shuts down.

        :param until: time of the shutdown, in monotonic seconds
        """
        self._drain_until = until

    def refusal(
        self, now: float, owner: _owners.Owner, order: wire.OrderRuns
    ) -> wire.RunReleaseReason | None:
        """Return why an order is refused; none if it isn't.

        Capacity isn't checked here, but for each run.
        """
        if order.expected_s * _timing.RUN_MARGIN > self._time_left(now):
            return wire.RunReleaseReason.LEAVING
        if order.endpoint != self._link.incarnation:
            return wire.RunReleaseReason.ENDPOINT
        if self._cordons.covers(self._zone):
            # The entry may be partitioned and not know of the cordon.
            return wire.RunReleaseReason.CORDONED
        if not self.is_open(now):
            return wire.RunReleaseReason.LEAVING
        if not self._owners.has_grant(owner, now):
            return wire.RunReleaseReason.NO_ANSWER
        if owner.detects_duplicates and self._is_duplicate(
            now, owner, order.job
        ):
            return wire.RunReleaseReason.DUPLICATE
        return None

    def _is_duplicate(
        self, now: float, owner: _owners.Owner, job: str
    ) -> bool:
        """Return whether another entry still wants its runs of a job here.

        Runs that are being stopped, or whose grant has expired, don't count:
        their entry has given up the job or is lost.
        """
        return any(
            row.owner != owner.incarnation
            and row.state is not _runs.RunState.STOPPING
            and self._owners.is_granted(row.owner, now)
            for row in self._runs.of_job(job)
        )

    def is_open(self, now: float) -> bool:
        """Return whether new runs are accepted at all."""
        heartbeat = self._link.heartbeat
        if (
            heartbeat is None
            or heartbeat.draining
            or self._time_left(now) <= 0.0
        ):
            return False
        if self._cordons.covers(self._zone):
            return False
        if not self._link.is_confirmed or not self._link.is_room_known:
            return False
        if not self._link.synced:
            return False
        if not self._link.was_renewed_recently(now):
            return False
        if self._link.is_down:
            # Another incarnation may be running when an order arrives.
            return False
        # Runs without an owner occupy an amount that isn't known.
        return not self._runs.has_owner("")

    def remaining_s(self, now: float) -> float:
        """Return seconds until agent or endpoint stops; 0 is unlimited."""
        heartbeat = self._link.heartbeat
        endpoint_s = heartbeat.remaining_s if heartbeat is not None else 0.0
        left = self._time_left(now)
        if left == _NEVER:
            return endpoint_s
        return min(left, endpoint_s or left)

    def _time_left(self, now: float) -> float:
        """Return seconds until this process shuts down, in whole steps."""
        if not self.leaving:
            return _NEVER
        steps = int((self._drain_until - now) / _TIME_STEP_S)
        return steps * _TIME_STEP_S
