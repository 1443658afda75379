"""State of a job's tasks."""

from ferryledge import leases
from ferryledge.leases import _jobs
from ferryledge import wire


def _job() -> _jobs.Job:
    need = wire.Resources(100, 10, 0)
    steps = (
        leases.JobStep(2, need),
        leases.JobStep(1, need, depends_on=(0,)),
    )
    quick = leases.JobClass("quick", "desk")
    request = leases.LeasedJob("j", quick, "x", steps)
    return _jobs.Job(request, [1], 0.0, 0.1, _jobs.make_tasks(request))


def test_waiting_count_follows_task_states() -> None:
    job = _job()
    assert job.waiting == 3
    first, second = job.startable()
    job.set_state(first, _jobs.TaskState.BOUND)
    job.set_state(second, _jobs.TaskState.BOUND)
    assert (job.waiting, job.startable()) == (1, [])
    job.set_state(first, _jobs.TaskState.WAITING)
    assert (job.waiting, job.startable()) == (2, [first])
    job.set_state(first, _jobs.TaskState.DONE)
    job.set_state(second, _jobs.TaskState.DONE)
    (last,) = job.startable()
    job.set_state(last, _jobs.TaskState.DONE)
    assert (job.waiting, job.startable()) == (0, [])
