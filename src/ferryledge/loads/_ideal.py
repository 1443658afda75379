"""One queue that knows every job's true size: what a load allows at best.

Not a strict bound: it takes jobs in the order of their latest start and
begins none that would be late, without looking ahead.
"""

from collections import abc
import heapq
import itertools

from ferryledge.loads import _jobs
from ferryledge.loads import _outcomes

#: Seconds between looks at the queue: shorter than any task.
_STEP_S = 0.002


def serve(jobs: abc.Sequence[_jobs.Job], cores: float) -> _outcomes.Results:
    """Return what becomes of jobs on a pool without distance or faults.

    :param jobs: in the order of their arrival
    :param cores: of the pool
    """
    queue = _Queue(cores)
    arrived, now = 0, 0.0
    while arrived < len(jobs) or queue.waits:
        while arrived < len(jobs) and jobs[arrived].at <= now:
            queue.add(jobs[arrived])
            arrived += 1
        queue.step(now)
        now += _STEP_S
    return _outcomes.Results(tuple(queue.ended))


class _Queue:
    """Jobs that wait, by their latest start, and the room that others take.

    :param cores: of the pool
    """

    def __init__(self, cores: float) -> None:
        self._free = cores
        self._count = itertools.count()
        self._waiting: list[tuple[float, int, _jobs.Job]] = []
        #: When running jobs end, with the cores that each takes.
        self._running: list[tuple[float, float]] = []
        self.ended: list[_outcomes.Ended] = []

    @property
    def waits(self) -> bool:
        """Whether a job waits."""
        return bool(self._waiting)

    def add(self, job: _jobs.Job) -> None:
        """Let a job wait."""
        latest = job.at + _slack_s(job)
        heapq.heappush(self._waiting, (latest, next(self._count), job))

    def step(self, now: float) -> None:
        """Free what has ended, and begin or refuse what comes first."""
        while self._running and self._running[0][0] <= now:
            self._free += heapq.heappop(self._running)[1]
        while self._waiting and self._decide(now):
            heapq.heappop(self._waiting)

    def _decide(self, now: float) -> bool:
        """Return whether the first job was begun or refused."""
        latest, _, job = self._waiting[0]
        if now > latest:
            self._end(job, _outcomes.JobEnd.REFUSED, now)
            return True
        room = job.tasks * job.kind.cpu_millis / 1000.0
        if room > self._free:
            return False
        self._free -= room
        ends_at = now + job.work_s
        heapq.heappush(self._running, (ends_at, room))
        self._end(job, _outcomes.JobEnd.IN_TIME, ends_at)
        return True

    def _end(self, job: _jobs.Job, end: _outcomes.JobEnd, at: float) -> None:
        self.ended.append(_outcomes.Ended(job, end, at - job.at))


def _slack_s(job: _jobs.Job) -> float:
    """Return the seconds that a job may wait and still be in time."""
    return job.objective_s - job.work_s
