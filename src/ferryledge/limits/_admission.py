"""Admission: refuse at once what would be answered too late."""

import dataclasses

from ferryledge import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a job would meet if it were admitted."""

    #: Slots that can be used.
    slots: int
    #: Tasks that wait.
    waiting_tasks: int
    #: Expected run time in seconds of the tasks that go before it.
    work_before_s: float
    #: Expected time of the job itself on free endpoints, in seconds.
    ideal_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The job may wait; its expected wait in seconds."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The job is refused; when coming back makes sense, in seconds."""

    reason: outcomes.Reason
    retry_after_s: float


def admit(
    load: Load,
    tasks: int,
    deadline_s: float,
    max_waiting_tasks: int,
    guards: bool,
) -> Admit | Refuse:
    """Decide whether a job is admitted.

    The bound on waiting tasks always holds; the deadline counts only with
    guards on.

    :param load: what the job would meet
    :param tasks: its number of tasks
    :param deadline_s: seconds until it is of no use; 0 is never
    :param max_waiting_tasks: most tasks that may wait
    :param guards: whether to refuse by expected wait
    """
    wait_s = load.work_before_s / max(1, load.slots)
    if load.waiting_tasks + tasks > max_waiting_tasks:
        return Refuse(outcomes.Reason.QUEUE_FULL, max(0.1, wait_s))
    late_s = wait_s + load.ideal_s - deadline_s
    if guards and deadline_s and late_s > 0:
        return Refuse(outcomes.Reason.DEADLINE, max(0.1, late_s))
    return Admit(wait_s)
