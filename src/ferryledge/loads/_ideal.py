"""One queue that knows every job's true size: what a load allows at best.

Not a strict bound: it takes jobs in the order of their latest start and
begins none that would be late, without looking ahead.
"""

from collections import abc
import heapq

from ferryledge.loads import _jobs
from ferryledge.loads import _outcomes

#: Seconds between looks at the queue: shorter than any task.
_STEP_S = 0.002


def serve(jobs: abc.Sequence[_jobs.Job], cores: float) -> _outcomes.Results:
    """Return what becomes of jobs on a pool without distance or faults.

    :param jobs: in the order of their arrival
    :param cores: of the pool
    """
    queue: list[tuple[float, int]] = []
    running: list[tuple[float, float]] = []
    free = cores
    ended: list[_outcomes.Ended] = []
    arrived, now = 0, 0.0
    while arrived < len(jobs) or queue:
        while arrived < len(jobs) and jobs[arrived].at <= now:
            latest = jobs[arrived].at + _slack_s(jobs[arrived])
            heapq.heappush(queue, (latest, arrived))
            arrived += 1
        while running and running[0][0] <= now:
            free += heapq.heappop(running)[1]
        while queue:
            latest, number = queue[0]
            job = jobs[number]
            room = job.tasks * job.kind.cpu_millis / 1000.0
            if now > latest:
                refused = _outcomes.JobEnd.REFUSED
                ended.append(_outcomes.Ended(job, refused, now - job.at))
            elif room <= free:
                free -= room
                heapq.heappush(running, (now + job.work_s, room))
                took_s = now + job.work_s - job.at
                in_time = _outcomes.JobEnd.IN_TIME
                ended.append(_outcomes.Ended(job, in_time, took_s))
            else:
                break
            heapq.heappop(queue)
        now += _STEP_S
    return _outcomes.Results(tuple(ended))


def _slack_s(job: _jobs.Job) -> float:
    """Return the seconds that a job may wait and still be in time."""
    return job.objective_s - job.work_s
