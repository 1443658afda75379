"""Which waiting jobs are to be in time, which late, and which are in vain.

It answers a wave or a burst above the room. By the latest start alone all
jobs that wait become late at about the same time. So, where one would be
late, the job with the most work that goes before it, or itself, is put behind
all that can be in time (Moore's rule: the fewest jobs are late), as long as
its own answer is still of use then: long jobs can wait until a crest has
passed.
"""

from collections import abc
import heapq

import msgspec

from ferryledge.leases import _forecast

_IN_TIME = _forecast.Prospect.IN_TIME
#: Jobs that are looked at for one that is put back.
_MOST_LOOKS = 4
#: Most jobs that are put back for one.
_MOST_PUT_BACK = 4


class Waiting(msgspec.Struct, frozen=True):
    """A job that nothing was ordered for."""

    number: int
    demand: _forecast.Demand
    #: Whether it is not put back for others.
    is_scheduled_retry: bool = False


def review(
    now: float,
    forecaster: _forecast.Forecaster,
    jobs: abc.Iterable[Waiting],
    ahead: float,
    largest_late: bool = True,
) -> dict[int, _forecast.Forecast]:
    """Return the forecasts of waiting jobs, by their numbers.

    :param now: monotonic seconds
    :param forecaster: of their service
    :param jobs: in the order of their turns
    :param ahead: core-seconds of begun jobs, which go first
    :param largest_late: whether another job may be late for one that would be
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
        told = forecaster.late(job.demand, work)
        forecasts[job.number] = told
        if told.prospect is _forecast.Prospect.LATE:
            work += job.demand.work
    return forecasts


class _InTime:
    """Jobs that are to be in time, with the largest one at hand.

    :param now: monotonic seconds
    :param forecaster: of their service
    :param work: core-seconds that go before them
    """

    def __init__(
        self, now: float, forecaster: _forecast.Forecaster, work: float
    ) -> None:
        self._now = now
        self._forecaster = forecaster
        self._largest: list[tuple[float, int, Waiting]] = []
        #: Core-seconds of all of them and of what goes before them.
        self.work = work

    def add(self, job: Waiting) -> None:
        """Take in a job."""
        self.work += job.demand.work
        if not job.is_scheduled_retry:
            heapq.heappush(self._largest, _entry(job))

    def forecast(self, job: Waiting) -> _forecast.Forecast:
        """Return the forecast of the job that was added last."""
        return self._forecaster.forecast_on_time(
            job.demand, self.work - job.demand.work
        )

    def make_room(self, job: Waiting, largest_late: bool) -> list[Waiting]:
        """Take out the jobs that are late so that one is in time.

        :param job: the one that was added last
        :param largest_late: whether it may be others
        :return: itself if others would not help
        """
        deferred: list[Waiting] = []
        may_be_others = largest_late and self._now <= job.demand.start_by
        while self.forecast(job).prospect is not _IN_TIME:
            chosen = self._next_late() if may_be_others else None
            is_enough = len(deferred) == _MOST_PUT_BACK
            if chosen is None or chosen is job or is_enough:
                for other in deferred:
                    self.add(other)
                self._take_out(job)
                return [job]
            self._take_out(chosen)
            deferred.append(chosen)
        return deferred

    def _take_out(self, job: Waiting) -> None:
        if not job.is_scheduled_retry:
            self._largest.remove(_entry(job))
            heapq.heapify(self._largest)
        self.work -= job.demand.work

    def _next_late(self) -> Waiting | None:
        """Return the largest job whose answer is of use if it is late."""
        late = _forecast.Prospect.LATE
        for _, _, job in heapq.nsmallest(_MOST_LOOKS, self._largest):
            told = self._forecaster.late(job.demand, self.work)
            if told.prospect is late:
                return job
        return None


def _entry(job: Waiting) -> tuple[float, int, Waiting]:
    """Return what sorts jobs by their work, the largest first."""
    return (-job.demand.work, job.number, job)
