"""A job as clients write it, and the messages that carry it on."""

from ferryledge.decoding.tests import odd_values
from ferryledge import leases
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge import wire

MAX_TASKS = 810
STEP = {
    "Count": 2, "Cpu": 500, "MemMb": 64, "Gpu": 0, "EstimateMs": 100,
    "DependsOn": [], "Requires": "a", "Affinity": "r1", "AntiAffinity": 1,
    "TargetMs": 5, "MayMiss": 1,
}  # fmt: skip
JOB = {
    "Spec": "x", "BestEffort": True, "RepeatCount": 0,
    "Steps": [STEP, {**STEP, "DependsOn": [0]}],
}  # fmt: skip
JOBS = odd_values.variants(JOB)


def encode_job(job: leases.LeasedJob) -> None:
    """Encode the messages that carry a job's values to other processes."""
    address = wire.EntryAddress("e", "10.0.0.1", 1)
    held = _jobs.Job(job, [1], 0.0, 0.1, _jobs.make_tasks(job))
    offer = _outgoing_handovers.Offer(1, held, "e", "e-1", 0.0)
    messages: list[wire.Message] = [
        _outgoing_handovers._make_offer(0.0, offer, "d", 1)
    ]
    for step in job.steps:
        total = wire.Resources().plus(step.need, MAX_TASKS)
        messages += [
            wire.OrderRuns(1, job.job, job.spec, step.need, (), "e"),
            wire.InviteAgents(address, "desk", step.label, total, 1, ()),
        ]
    for message in messages:
        assert list(wire.Decoder().feed(wire.encode(message)))
