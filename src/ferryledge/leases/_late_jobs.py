"""Decides which waiting jobs are late when the load exceeds the capacity.

If jobs were placed by their latest start alone, all of them would become late
at about the same time during a burst. Instead, where a job would be late, the
largest job up to it is put back behind all jobs that can be in time, provided
that its answer is still of use then. This follows the Moore-Hodgson algorithm,
which minimizes the number of late jobs.
"""

from collections import abc
import heapq

import msgspec

from ferryledge.leases import _forecast

_IN_TIME = _forecast.Prospect.IN_TIME
#: Most candidates that are considered for each job to put back.
_MAX_CANDIDATES = 4
#: Most jobs that are put back for one job.
_MAX_PUT_BACK = 4


class Waiting(msgspec.Struct, frozen=True):
    """A job without ordered runs."""

    number: int
    demand: _forecast.Demand
    #: Whether it is never put back for other jobs.
    is_scheduled_retry: bool = False


def review(
    now: float,
    forecaster: _forecast.Forecaster,
    jobs: abc.Iterable[Waiting],
    ahead: float,
    largest_late: bool = True,
) -> dict[int, _forecast.Forecast]:
    """Return the forecasts of the waiting jobs of a service, by number.

    :param now: monotonic seconds
    :param forecaster: the forecaster for the service
    :param jobs: the jobs in the order of their turns
    :param ahead: core-seconds of started jobs, which are placed first
    :param largest_late: whether another job may be put back for a job that
        would be late
    """
    forecasts: dict[int, _forecast.Forecast] = {}
    late: list[Waiting] = []
    queue = _InTime(now, forecaster, ahead)
    for job in jobs:
        queue.add(job)
        late += queue.make_room(job, largest_late)
        forecasts[job.number] = queue.forecast(job)
    late.sort(key=lambda job: job.demand.useful_start_by)
    work = queue.work
    for job in late:
        forecast = forecaster.late(job.demand, work)
        forecasts[job.number] = forecast
        if forecast.prospect is _forecast.Prospect.LATE:
            work += job.demand.work
    return forecasts


class _InTime:
    """The jobs that can be in time, with a heap of the largest ones.

    :param now: monotonic seconds
    :param forecaster: the forecaster for their service
    :param work: core-seconds of work that is placed before them
    """

    def __init__(
        self, now: float, forecaster: _forecast.Forecaster, work: float
    ) -> None:
        self._now = now
        self._forecaster = forecaster
        self._largest: list[tuple[float, int, Waiting]] = []
        #: Core-seconds of these jobs and of the work before them.
        self.work = work

    def add(self, job: Waiting) -> None:
        """Add a job behind the others."""
        self.work += job.demand.work
        if not job.is_scheduled_retry:
            heapq.heappush(self._largest, _heap_entry(job))

    def forecast(self, job: Waiting) -> _forecast.Forecast:
        """Return the forecast of the job that was added last."""
        return self._forecaster.forecast_on_time(
            job.demand, self.work - job.demand.work
        )

    def make_room(self, job: Waiting, largest_late: bool) -> list[Waiting]:
        """Remove jobs until the last one is in time, and return them.

        :param job: the job that was added last
        :param largest_late: whether other jobs may be put back for it
        :return: the jobs to put back; only the job itself if putting others
            back does not help
        """
        deferred: list[Waiting] = []
        may_put_back = largest_late and self._now <= job.demand.start_by
        while self.forecast(job).prospect is not _IN_TIME:
            candidate = self._find_to_put_back() if may_put_back else None
            is_limit_reached = len(deferred) == _MAX_PUT_BACK
            if candidate is None or candidate is job or is_limit_reached:
                for other in deferred:
                    self.add(other)
                self._remove(job)
                return [job]
            self._remove(candidate)
            deferred.append(candidate)
        return deferred

    def _remove(self, job: Waiting) -> None:
        if not job.is_scheduled_retry:
            self._largest.remove(_heap_entry(job))
            heapq.heapify(self._largest)
        self.work -= job.demand.work

    def _find_to_put_back(self) -> Waiting | None:
        """Return the largest job whose late answer would still be of use."""
        late = _forecast.Prospect.LATE
        for _, _, job in heapq.nsmallest(_MAX_CANDIDATES, self._largest):
            forecast = self._forecaster.late(job.demand, self.work)
            if forecast.prospect is late:
                return job
        return None


def _heap_entry(job: Waiting) -> tuple[float, int, Waiting]:
    """Return a heap entry that sorts jobs by work, the largest first."""
    return (-job.demand.work, job.number, job)
