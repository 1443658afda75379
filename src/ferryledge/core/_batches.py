"""Tasks of one start message that an agent has not fully reported."""

import dataclasses

from ferryledge import wire


@dataclasses.dataclass(slots=True)
class Batch:
    """Tasks of one job that arrived in one start message."""

    #: Scheduler that sent the tasks.
    owner: str
    submission: str
    #: Whether each task is reported as it finishes.
    report_each: bool
    #: Number of tasks that have not ended yet.
    left: int
    #: Ticket under which the agent runs the job; empty if none.
    ticket: str = ""
    #: Bodies of ended tasks, by index; kept only for jobs with tickets.
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)
    #: Finished tasks that are not reported yet.
    held: list[wire.FinishedTask] = dataclasses.field(default_factory=list)
    #: Whether a task failed.
    failed: bool = False
    #: Tasks that never reached the endpoint.
    unstarted: int = 0
