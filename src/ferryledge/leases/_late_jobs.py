"""Decides which waiting jobs are late when the load exceeds the capacity.

If jobs were placed by their latest start alone, all of them would become late
at about the same time during a burst. Instead, where a job would be late, the
largest job up to it is deferred behind all jobs that can still be on time,
provided that its answer is of use then. This follows the Moore-Hodgson
algorithm, which minimizes the number of late jobs.
"""

from collections import abc
import heapq

import msgspec

from ferryledge.leases import _forecast

_IN_TIME = _forecast.Prospect.IN_TIME
#: Most candidates that are considered for each job to defer.
_MAX_CANDIDATES = 4
#: Most jobs that are deferred for one job.
_MAX_DEFERRED = 4


class WaitingJob(msgspec.Struct, frozen=True):
    """A waiting job that was not dispatched yet."""

    number: int
    demand: _forecast.Demand
    #: Whether it is a retry at a scheduled time, which is not deferred.
    is_scheduled_retry: bool = False


def forecast_jobs(
    now: float,
    forecaster: _forecast.Forecaster,
    jobs: abc.Iterable[WaitingJob],
    ahead: float,
    largest_late: bool = True,
) -> dict[int, _forecast.Forecast]:
    """Return the forecasts of the waiting jobs of a service, by number.

    :param now: monotonic seconds
    :param forecaster: the forecaster for the service
    :param jobs: the jobs in the order of their virtual deadlines
    :param ahead: core-seconds of dispatched jobs, which are placed first
    :param largest_late: whether other jobs may be deferred for a job that
        would be late
    """
    forecasts: dict[int, _forecast.Forecast] = {}
    late: list[WaitingJob] = []
    queue = _OnTimeQueue(now, forecaster, ahead)
    for job in jobs:
        queue.add(job)
        late += queue.defer_late(job, largest_late)
        forecasts[job.number] = queue.forecast(job)
    late.sort(key=lambda job: job.demand.useful_start_by)
    work = queue.work
    for job in late:
        forecast = forecaster.forecast_deferred(job.demand, work)
        forecasts[job.number] = forecast
        if forecast.prospect is _forecast.Prospect.LATE:
            work += job.demand.work
    return forecasts


class _OnTimeQueue:
    """The jobs that can be on time, with a heap of the largest ones.

    :param now: monotonic seconds
    :param forecaster: the forecaster for their service
    :param work: core-seconds of work that is placed before them
    """

    def __init__(
        self, now: float, forecaster: _forecast.Forecaster, work: float
    ) -> None:
        self._now = now
        self._forecaster = forecaster
        self._largest: list[tuple[float, int, WaitingJob]] = []
        #: Core-seconds of these jobs and of the work before them.
        self.work = work

    def add(self, job: WaitingJob) -> None:
        """Add a job behind the others."""
        self.work += job.demand.work
        if not job.is_scheduled_retry:
            heapq.heappush(self._largest, _heap_entry(job))

    def forecast(self, job: WaitingJob) -> _forecast.Forecast:
        """Return the forecast of the job that was added last."""
        return self._forecaster.forecast_on_time(
            job.demand, self.work - job.demand.work
        )

    def defer_late(
        self, job: WaitingJob, largest_late: bool
    ) -> list[WaitingJob]:
        """Remove jobs until the last one is on time, and return them.

        :param job: the job that was added last
        :param largest_late: whether other jobs may be deferred for it
        :return: the jobs to defer; only the job itself if deferring others
            does not help
        """
        deferred: list[WaitingJob] = []
        may_defer_others = largest_late and self._now <= job.demand.start_by
        while self.forecast(job).prospect is not _IN_TIME:
            candidate = self._find_to_defer() if may_defer_others else None
            is_limit_reached = len(deferred) == _MAX_DEFERRED
            if candidate is None or candidate is job or is_limit_reached:
                for other in deferred:
                    self.add(other)
                self._remove(job)
                return [job]
            self._remove(candidate)
            deferred.append(candidate)
        return deferred

    def _remove(self, job: WaitingJob) -> None:
        if not job.is_scheduled_retry:
            self._largest.remove(_heap_entry(job))
            heapq.heapify(self._largest)
        self.work -= job.demand.work

    def _find_to_defer(self) -> WaitingJob | None:
        """Return the largest job whose late answer would still be of use."""
        late = _forecast.Prospect.LATE
        for _, _, job in heapq.nsmallest(_MAX_CANDIDATES, self._largest):
            forecast = self._forecaster.forecast_deferred(
                job.demand, self.work
            )
            if forecast.prospect is late:
                return job
        return None


def _heap_entry(job: WaitingJob) -> tuple[float, int, WaitingJob]:
    """Return a heap entry that sorts jobs by work, the largest first."""
    return (-job.demand.work, job.number, job)
