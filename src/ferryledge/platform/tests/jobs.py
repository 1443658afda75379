"""A job as clients write it, and the messages that carry it on."""

from ferryledge.decoding.tests import odd_values
from ferryledge import leases
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
    job_class = job.job_class
    offered_class = wire.OfferedJobClass(
        job_class.name,
        job_class.service,
        job_class.priority,
        job_class.attempts,
        job_class.stretch,
        job_class.target_s,
        job_class.late_factor,
    )
    steps = tuple(
        wire.OfferedStep(
            step.count,
            step.need,
            step.estimate_s,
            step.depends_on,
            step.label,
            step.max_per_endpoint,
            step.near,
        )
        for step in job.steps
    )
    messages: list[wire.Message] = [
        wire.OfferJob(
            1,
            "d",
            "e",
            1,
            job.job,
            wire.pack_text(job.spec),
            offered_class,
            steps,
            0.0,
            job.deadline_s,
        )
    ]
    for step in job.steps:
        total = wire.Resources().plus(step.need, MAX_TASKS)
        messages += [
            wire.OrderRuns(1, job.job, job.spec, step.need, (), "e"),
            wire.InviteAgents(address, "desk", step.label, total, 1, ()),
        ]
    for message in messages:
        assert list(wire.Decoder().feed(wire.encode(message)))
