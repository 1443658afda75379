"""A simulated endpoint whose runs are held by a lease.

It reads no clock of its own: the caller passes the current time to each
call that depends on it.
"""

from collections import abc
import dataclasses

from ferryledge import leases
from ferryledge import wire

#: Longest lease that the endpoint accepts, in ms of its clock.
MAX_LEASE_MS = 1000
#: Seconds from an order to stop until the run ends.
STOP_DURATION_S = 0.03
#: Readings of the steady clock at successive starts, in seconds. A restart
#: may set the clock back or ahead.
_INITIAL_CLOCKS_S = (100.0, 5000.0, 1.0)


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """A run that has started and not ended."""

    key: leases.RunKey
    need: wire.Resources
    #: Seconds of work that remain at full speed.
    left_s: float
    #: Seconds of work of the whole run at full speed.
    work_s: float
    #: Virtual time at which an ordered stop takes effect.
    stops_at: float | None = None


class LeasedEndpoint:
    """Simulates an endpoint that runs tasks under one lease.

    All runs end when the lease expires.

    :param name: the endpoint's name
    :param capacity: resources of the endpoint
    :param now: virtual seconds
    :param need_of: returns the resources that a run takes
    :param work_of: returns the seconds that a run takes at full speed on the
        named endpoint, and whether it succeeds
    :param on_run_event: called with "start" or "end", the run's key and the
        endpoint's name
    :param clock_rate: seconds of the endpoint's clock per virtual second
    """

    def __init__(
        self,
        name: str,
        capacity: wire.Resources,
        now: float,
        need_of: abc.Callable[[leases.RunKey], wire.Resources],
        work_of: abc.Callable[[leases.RunKey, str], tuple[float, bool]],
        on_run_event: abc.Callable[[str, leases.RunKey, str], None],
        clock_rate: float = 1.0,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.endpoint_id = f"{name}-1"
        self.up = True
        #: Seconds of work done per virtual second.
        self.speed = 1.0
        self.draining = False
        self._start_count = 1
        self._need_of = need_of
        self._work_of = work_of
        self._on_run_event = on_run_event
        self._clock_rate = clock_rate
        self._begin_incarnation(now)
        self._clear_runs()

    @property
    def incarnation(self) -> str:
        """Name of the current incarnation."""
        return leases.incarnation_of(self.endpoint_id, self.born_ms)

    def _begin_incarnation(self, now: float) -> None:
        """Reset the clock, the start time and the heartbeat count."""
        self._advanced_to = now
        initial_s = _INITIAL_CLOCKS_S[
            (self._start_count - 1) % len(_INITIAL_CLOCKS_S)
        ]
        self._offset_s = initial_s - now * self._clock_rate
        #: Stands for the Unix time of the start in ms; differs at each start.
        self.born_ms = int(now * 1000.0) + self._start_count
        #: Heartbeats sent since the start.
        self.heartbeats = 0

    def _clear_runs(self) -> None:
        self.runs: dict[leases.RunKey, ActiveRun] = {}
        self.ended: list[leases.ListedEnd] = []
        self._end_count = 0
        self._acknowledged = 0
        self._highest_token = 0
        self._lease_until_ms = 0
        #: Highest run number that ended or was ordered to stop, by task.
        self._last_closed_runs: dict[tuple[str, int, int], int] = {}

    def clock_ms(self, now: float) -> int:
        """Return the reading of the endpoint's steady clock."""
        return int((self._offset_s + now * self._clock_rate) * 1000.0)

    @property
    def used(self) -> wire.Resources:
        """Resources taken by the active runs."""
        used = wire.Resources()
        for run in self.runs.values():
            used = used.plus(run.need)
        return used

    def crash(self) -> None:
        """End all runs; the endpoint stays down until :meth:`restart`."""
        for key in list(self.runs):
            self._on_run_event("end", key, self.name)
        self.up = False
        self._clear_runs()

    def restart(self, now: float, same_id: bool = False) -> None:
        """Start as a new incarnation.

        :param now: virtual seconds
        :param same_id: whether the endpoint keeps its id
        """
        self._start_count += 1
        if not same_id:
            self.endpoint_id = f"{self.name}-{self._start_count}"
        self._begin_incarnation(now)
        self.up = True
        self.draining = False

    def next_heartbeat(self) -> int:
        """Return the number of the next heartbeat."""
        self.heartbeats += 1
        return self.heartbeats

    def _is_addressed(self, incarnation: str) -> bool:
        """Return whether a call is for this endpoint.

        Only ids are compared, not start times. An empty id matches.
        """
        endpoint_id = leases.endpoint_id_of(incarnation)
        return endpoint_id in ("", self.endpoint_id)

    def advance(self, now: float) -> None:
        """Advance the simulation to a time.

        Runs progress and end, and all of them end if the lease expires.

        :param now: virtual seconds
        """
        if not self.runs:
            self._advanced_to = max(self._advanced_to, now)
        while self.up and self._advanced_to < now:
            step_end = min(now, self._advanced_to + 0.005)
            elapsed_s = step_end - self._advanced_to
            self._advanced_to = step_end
            if self.runs and self.clock_ms(step_end) > self._lease_until_ms:
                for key in list(self.runs):
                    self._end(key, wire.RunOutcome.LAPSED)
                continue
            for run in list(self.runs.values()):
                run.left_s -= elapsed_s * self.speed
                if run.stops_at is not None and run.stops_at <= step_end:
                    self._end(run.key, wire.RunOutcome.STOPPED)
                elif run.left_s <= 0:
                    _, ok = self._work_of(run.key, self.name)
                    how = (
                        wire.RunOutcome.DONE if ok else wire.RunOutcome.FAILED
                    )
                    self._end(run.key, how)

    def _end(self, key: leases.RunKey, how: wire.RunOutcome) -> None:
        del self.runs[key]
        self._end_count += 1
        self.ended.append(leases.ListedEnd(self._end_count, key, how))
        task = (key.job, key.step, key.index)
        self._last_closed_runs[task] = max(
            self._last_closed_runs.get(task, 0), key.run
        )
        self._on_run_event("end", key, self.name)

    def _extend_lease(self, now: float, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms(now) + MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def start(self, now: float, order: leases.StartRun) -> leases.StartResult:
        """Execute an order to start a run."""
        self.advance(now)
        result = leases.StartResult
        key = order.key
        if not self._is_addressed(order.incarnation):
            return result.REPLACED
        if order.token < self._highest_token:
            return result.FENCED
        self._highest_token = order.token
        if order.lease_until_ms <= self.clock_ms(now):
            return result.LATE
        self._extend_lease(now, order.lease_until_ms)
        if key in self.runs:
            return result.STARTED
        if key.run <= self._last_closed_runs.get(
            (key.job, key.step, key.index), 0
        ):
            return result.RUN_NUMBER
        work_s, _ = self._work_of(key, self.name)
        need = self._need_of(key)
        self.runs[key] = ActiveRun(key, need, work_s, work_s)
        self._on_run_event("start", key, self.name)
        return result.STARTED

    def stop(self, now: float, order: leases.StopRun) -> bool:
        """Execute an order to stop a run.

        :returns: whether the order was accepted
        """
        self.advance(now)
        if not self._is_addressed(order.incarnation):
            return False
        if order.token < self._highest_token:
            return False
        self._highest_token = order.token
        key = order.key
        task = (key.job, key.step, key.index)
        run = self.runs.get(key)
        if run is not None and run.stops_at is None:
            run.stops_at = now + STOP_DURATION_S
        self._last_closed_runs[task] = max(
            self._last_closed_runs.get(task, 0), key.run
        )
        return True

    def renew(
        self, now: float, sent_at: float, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """Renew the lease and list the active and the ended runs.

        :param now: virtual seconds
        :param sent_at: time at which the agent sent it, returned in the result
        :param renewal: the renewal
        """
        self.advance(now)
        clock = self.clock_ms(now)
        fault = leases.CallFault
        incarnation = renewal.incarnation
        if not self._is_addressed(incarnation):
            return leases.LeaseNotRenewed(fault.REPLACED, incarnation)
        if renewal.token < self._highest_token:
            return leases.LeaseNotRenewed(fault.FENCED, incarnation, clock)
        self._highest_token = renewal.token
        if renewal.lease_until_ms:
            self._extend_lease(now, renewal.lease_until_ms)
        self._acknowledged = max(self._acknowledged, renewal.acknowledged)
        self.ended = [
            end for end in self.ended if end.number > self._acknowledged
        ]
        running = tuple(
            # Progress is rounded down to a percent.
            leases.ListedRun(
                run.key, int(100 * (1 - run.left_s / run.work_s)) / 100
            )
            for run in self.runs.values()
        )
        return leases.LeaseRenewed(
            sent_at,
            incarnation,
            clock,
            running,
            tuple(self.ended),
            self.born_ms,
        )
