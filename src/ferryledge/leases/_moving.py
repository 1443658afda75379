"""Which runs on a slow endpoint are worth starting again elsewhere."""

import math

from ferryledge.leases import _jobs
from ferryledge.leases import _pool
from ferryledge import wire

#: Most times that one task is moved.
_MOST_MOVES = 2
#: Seconds that a stop and a new order take together.
_MOVE_S = 0.08
#: A run takes longer than expected by more than so many deviations one time in
#: ten: what stands still beyond that hangs, whatever its endpoint says.
_LIKELY_DEVIATIONS = 1.28
#: A new run must take less than this share of what is left of the old one.
_WORTH_SHARE = 0.85


def is_worth_moving(
    now: float,
    job: _jobs.Job,
    task: _jobs.Task,
    late: wire.LateRun,
    pool: _pool.Pool,
) -> bool:
    """Return whether a run should be stopped and started elsewhere.

    :param now: monotonic seconds
    :param job: the task's job
    :param task: the task
    :param late: what its agent tells of the run
    :param pool: the agents
    """
    if task.stopping or task.moves >= _MOST_MOVES or job.closed:
        return False
    if late.left_s is None and _may_be_large(now, job, task, pool):
        return False
    normal_s = late.normal_s
    if normal_s is None:
        normal_s = job.expected_s
    again_s = normal_s + _MOVE_S
    if late.left_s is not None and again_s > _WORTH_SHARE * late.left_s:
        return False
    if late.left_s is not None and now + late.left_s < job.objective_at:
        return False
    return _has_room(now, job, task, pool)


def _may_be_large(
    now: float, job: _jobs.Job, task: _jobs.Task, pool: _pool.Pool
) -> bool:
    """Return whether a run without progress may only be a large one.

    On a slow endpoint all runs stand still, and none needs that doubt.
    """
    row = pool.find(task.agent)
    if row is None or row.slow:
        return False
    longest_s = job.expected_s * math.exp(_LIKELY_DEVIATIONS * job.spread)
    return now - task.ordered_at < longest_s


def _has_room(
    now: float, job: _jobs.Job, task: _jobs.Task, pool: _pool.Pool
) -> bool:
    need = job.request.steps[task.step].need
    return any(
        row.name != task.agent
        and row.usable(now)
        and not row.slow
        and row.state.service == job.request.job_class.service
        and need.fits_in(row.state.capacity)
        for row in pool
    )
