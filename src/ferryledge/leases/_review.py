"""Which waiting jobs are to be in time, which late, and which are in vain.

It answers a wave or a burst above the room. By the latest start alone all
jobs that wait become late at about the same time. So, where one would be
late, the job with the most work that goes before it, or itself, is put behind
all that can be in time (Moore's rule: the fewest jobs are late), as long as
its own answer is still of use then: long jobs can wait until a crest has
passed.
"""

from collections import abc
import dataclasses
import heapq

from ferryledge.leases import _forecast

#: Jobs that are looked at for one that is put back: the largest ones.
_MOST_LOOKS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A job that nothing was ordered for."""

    number: int
    need: _forecast.Need


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
        told = forecaster.in_time(job.need, queue.work)
        forecasts[job.number] = told
        queue.add(job)
        if told.prospect is not _forecast.Prospect.IN_TIME:
            put_back = queue.put_back(job, largest_late)
            late.append(put_back)
            ahead = queue.work - job.need.work
            forecasts[job.number] = forecaster.in_time(job.need, ahead)
    late.sort(key=lambda job: job.need.last_start)
    work = queue.work
    for job in late:
        told = forecaster.late(job.need, work)
        forecasts[job.number] = told
        if told.prospect is _forecast.Prospect.LATE:
            work += job.need.work
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
        self.work += job.need.work
        heapq.heappush(self._largest, (-job.need.work, job.number, job))

    def put_back(self, job: Waiting, largest_late: bool) -> Waiting:
        """Take out the job that is late for one that would be.

        :param job: the one that was added last
        :param largest_late: whether it may be another one
        """
        chosen = job
        if largest_late and self._now <= job.need.start_by:
            chosen = self._largest_that_can_wait() or job
        self._largest.remove((-chosen.need.work, chosen.number, chosen))
        heapq.heapify(self._largest)
        self.work -= chosen.need.work
        return chosen

    def _largest_that_can_wait(self) -> Waiting | None:
        """Return the largest job whose answer is of use if it is late."""
        late = _forecast.Prospect.LATE
        for _, _, job in heapq.nsmallest(_MOST_LOOKS, self._largest):
            told = self._forecaster.late(job.need, self.work)
            if told.prospect is late:
                return job
        return None
