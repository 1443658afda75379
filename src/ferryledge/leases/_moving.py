"""Decides which late runs are stopped and started again elsewhere."""

import math

from ferryledge.leases import _jobs
from ferryledge.leases import _pool
from ferryledge import wire

#: Most moves of a task.
_MAX_MOVES = 2
#: Seconds that stopping a run and ordering another one take.
_MOVE_S = 0.08
#: Standard deviations above the expected run time (log-normal) within which
#: nine of ten runs end; a run without progress after that hangs.
_LIKELY_DEVIATIONS = 1.28
#: Largest ratio of the time of a new run to the remaining time of the old one.
_MAX_RATIO = 0.85


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
    :param late: the report of its agent on the late run
    :param pool: the agents that this entry knows
    """
    if task.stopping or task.moves >= _MAX_MOVES or job.closed:
        return False
    if late.left_s is None and _may_be_large(now, job, task, pool):
        return False
    normal_s = late.normal_s
    if normal_s is None:
        normal_s = job.expected_s
    new_run_s = normal_s + _MOVE_S
    if late.left_s is not None and new_run_s > _MAX_RATIO * late.left_s:
        return False
    if late.left_s is not None and now + late.left_s < job.objective_at:
        return False
    return _fits_elsewhere(now, job, task, pool)


def _may_be_large(
    now: float, job: _jobs.Job, task: _jobs.Task, pool: _pool.Pool
) -> bool:
    """Return whether a run without progress may just be a large one.

    On a slow endpoint the endpoint itself explains the lack of progress.
    """
    row = pool.find(task.agent)
    if row is None or row.slow:
        return False
    longest_s = job.expected_s * math.exp(_LIKELY_DEVIATIONS * job.spread)
    return now - task.ordered_at < longest_s


def _fits_elsewhere(
    now: float, job: _jobs.Job, task: _jobs.Task, pool: _pool.Pool
) -> bool:
    """Return whether another usable endpoint could run a task."""
    need = job.request.steps[task.step].need
    return any(
        row.name != task.agent
        and row.usable(now)
        and not row.slow
        and row.state.service == job.request.job_class.service
        and need.fits_in(row.state.capacity)
        for row in pool
    )
