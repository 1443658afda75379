"""Admission control: early refusal of jobs that would miss deadlines."""

import dataclasses

from ferryledge import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a job would find on admission."""

    #: Usable slots.
    slots: int
    #: Waiting tasks.
    waiting_tasks: int
    #: Expected run time of the tasks ahead of the job, in seconds.
    work_before_s: float
    #: Expected time of the job on idle endpoints, in seconds.
    ideal_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The job is admitted to the queue."""

    #: Expected wait in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The job is refused."""

    reason: outcomes.Reason
    #: Seconds after which a retry may be admitted.
    retry_after_s: float


def admit(
    load: Load,
    tasks: int,
    deadline_s: float,
    max_waiting_tasks: int,
    guards: bool,
) -> Admit | Refuse:
    """Decide whether a job is admitted.

    The limit on waiting tasks always applies, the deadline only if
    ``guards`` is set.

    :param load: the load that the job would find
    :param tasks: the job's number of tasks
    :param deadline_s: seconds until the job's deadline; 0 is no deadline
    :param max_waiting_tasks: maximum number of tasks that may wait
    :param guards: whether to refuse jobs that would miss their deadline
    """
    wait_s = load.work_before_s / max(1, load.slots)
    if load.waiting_tasks + tasks > max_waiting_tasks:
        return Refuse(outcomes.Reason.QUEUE_FULL, max(0.1, wait_s))
    late_s = wait_s + load.ideal_s - deadline_s
    if guards and deadline_s and late_s > 0:
        return Refuse(outcomes.Reason.DEADLINE, max(0.1, late_s))
    return Admit(wait_s)
