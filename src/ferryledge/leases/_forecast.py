"""Forecasts when a waiting job starts and whether its answer will be useful.

During overload, jobs that can still meet their objective go first and late
jobs get the capacity that is left. A job whose answer would be useless is
known early, so that its client can be refused and turn to another entry.

The forecast is a fluid model: each core does one core-second of work per
second, and new arrivals add to the work ahead.
"""

import bisect
import enum
import itertools

import msgspec

from ferryledge.leases import _arrivals

#: Resolution and horizon of a forecast in seconds. The load beyond the horizon
#: is not predictable.
_STEP_S = 0.1
_REACH_S = 8.0
_STEPS = round(_REACH_S / _STEP_S)
_NEVER = float("inf")


class Prospect(enum.Enum):
    """Expected result of keeping a job."""

    #: The answer is likely to come within the objective.
    IN_TIME = "in time"
    #: The answer is likely to miss the objective, but to be useful.
    LATE = "late"
    #: The answer would come too late to be useful.
    TOO_LATE = "in vain"


class Forecast(msgspec.Struct, frozen=True):
    """Forecast for a job."""

    #: Seconds until the last waiting task starts; infinite if never.
    room_in_s: float
    #: Seconds until the answer.
    answer_in_s: float
    prospect: Prospect


class Demand(msgspec.Struct, frozen=True):
    """Input of a forecast for a job; times are in monotonic seconds."""

    #: Expected core-seconds of the waiting tasks.
    work: float
    #: Expected run time of the longest task, in seconds.
    run_s: float
    #: Latest start that is likely to meet the objective.
    start_by: float
    #: Until when an answer is useful.
    useful_until: float

    @property
    def useful_start_by(self) -> float:
        """Latest start whose answer is likely to be useful."""
        return self.useful_until - self.run_s


class CapacityChange(msgspec.Struct, frozen=True):
    """A future change of capacity."""

    #: Seconds from now.
    in_s: float
    #: Number of cores; negative for a loss.
    cores: float


class AvailableCapacity(msgspec.Struct, frozen=True):
    """Capacity that is available to the jobs of one entry."""

    #: Cores in the long run.
    cores: float
    #: Idle cores now.
    free: float = 0.0
    #: Changes that are known in advance.
    changes: tuple[CapacityChange, ...] = ()
    #: Seconds that an order waits for the network link of the entry.
    link_wait_s: float = 0.0

    def cores_in(self, in_s: float) -> float:
        """Return the number of cores after some seconds.

        :param in_s: seconds from now
        """
        changed = sum(
            change.cores for change in self.changes if change.in_s <= in_s
        )
        return max(0.0, self.cores + changed)


class Forecaster:
    """Forecasts the jobs of one service at one point in time.

    :param now: monotonic seconds
    :param capacity: capacity that is available to the jobs
    :param inflow: expected arrivals of work
    """

    def __init__(
        self, now: float, capacity: AvailableCapacity, inflow: _arrivals.Inflow
    ) -> None:
        self._now = now
        self._capacity = capacity
        #: Expected arrivals of work.
        self.inflow = inflow
        steps = [number * _STEP_S for number in range(_STEPS)]
        #: Core-seconds done by each step with the whole capacity.
        self._total = _cumulative_work(
            [capacity.cores_in(in_s) for in_s in steps]
        )
        #: The same with the capacity that expected arrivals leave.
        self._spare = _cumulative_work(
            [
                max(0.0, capacity.cores_in(in_s) - inflow.cores(in_s))
                for in_s in steps
            ]
        )

    @property
    def cores(self) -> float:
        """Number of cores that are available now."""
        return self._capacity.cores_in(0.0)

    def forecast_on_time(self, demand: Demand, ahead: float) -> Forecast:
        """Return the forecast of a job that is ranked by its objective.

        A job that would miss its objective is forecast as a deferred one.

        :param demand: input for the job
        :param ahead: core-seconds of waiting work that starts before it
        """
        arriving = self.inflow.overtaking_work(demand.start_by - self._now)
        room_in_s = self._start_delay(self._total, demand, ahead + arriving)
        if self._now + room_in_s <= demand.start_by:
            return self._make(demand, room_in_s, Prospect.IN_TIME)
        return self.forecast_deferred(demand, ahead)

    def forecast_deferred(self, demand: Demand, ahead: float) -> Forecast:
        """Return the forecast of a job behind all jobs that can be on time.

        :param demand: input for the job
        :param ahead: core-seconds of waiting work that starts before it
        """
        room_in_s = self._start_delay(self._spare, demand, ahead)
        # A job that fits the idle cores may start at once: the work ahead of
        # it may be waiting for other endpoints.
        wait_s = 0.0 if self._fits(demand) else room_in_s
        if self._now + wait_s <= demand.useful_start_by:
            return self._make(demand, room_in_s, Prospect.LATE)
        return self._make(demand, room_in_s, Prospect.TOO_LATE)

    def queueing_delay(self, ahead: float, work: float) -> float:
        """Return the seconds until additional work has started.

        :param ahead: core-seconds of waiting work
        :param work: core-seconds of the additional work behind it
        """
        return _completion_s(self._spare, ahead + work)

    def _fits(self, demand: Demand) -> bool:
        """Return whether all waiting tasks of a job fit the idle cores."""
        return demand.work <= self._capacity.free * demand.run_s

    def _start_delay(
        self, cumulative: list[float], demand: Demand, ahead: float
    ) -> float:
        """Return the seconds until the last waiting task of a job starts.

        Work that fits the idle cores starts at once.
        """
        at_once = self._capacity.free * demand.run_s
        work = max(0.0, ahead + demand.work - at_once)
        return _completion_s(cumulative, work) + self._capacity.link_wait_s

    def _make(
        self, demand: Demand, room_in_s: float, prospect: Prospect
    ) -> Forecast:
        return Forecast(room_in_s, room_in_s + demand.run_s, prospect)


def _cumulative_work(cores: list[float]) -> list[float]:
    """Return the core-seconds that are done by each step of the forecast.

    :param cores: available cores at each step
    """
    done = (count * _STEP_S for count in cores)
    return list(itertools.accumulate(done, initial=0.0))


def _completion_s(cumulative: list[float], work: float) -> float:
    """Return the seconds until an amount of work is done.

    :param cumulative: core-seconds that are done by each step
    :param work: core-seconds
    :return: infinite if it is not done within the horizon
    """
    if work <= 0.0:
        return 0.0
    step = bisect.bisect_left(cumulative, work)
    if step == len(cumulative):
        return _NEVER
    part = (work - cumulative[step - 1]) / (
        cumulative[step] - cumulative[step - 1]
    )
    return (step - 1 + part) * _STEP_S
