"""Jobs of a scheduler, and the results it passes to its own front."""

import dataclasses
import enum

from ferryledge import configlog
from ferryledge.core import _requests
from ferryledge import placement
from ferryledge import wire


class TicketUse(enum.Enum):
    """State of a job's ticket."""

    #: The job has no ticket.
    NONE = "none"
    #: All tasks were sent to the agent that issued the ticket.
    AT_ARBITER = "at_arbiter"
    #: The issuing agent was asked for permission; no answer yet.
    PENDING = "asked"
    #: The issuing agent allowed the job to run on any endpoint.
    GRANTED = "granted"


@dataclasses.dataclass(slots=True)
class Job:
    """A job that is not answered yet."""

    submission: str
    #: Front that waits for the answer; empty for this entry.
    front: str
    message: wire.PlaceJob
    service: configlog.Service
    #: Monotonic seconds at which the job was admitted.
    arrived_at: float
    waiting: placement.WaitingJob
    #: Zones in which the job may run; ``None`` for all.
    zones: frozenset[str] | None
    config_version: int
    #: Results of finished tasks, by index.
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)
    #: Endpoints of bound tasks, by sequence number.
    bound: dict[int, str] = dataclasses.field(default_factory=dict)
    #: Number of times that agents released a task of the job.
    releases: int = 0
    #: Indices of tasks that were returned to this entry's front.
    moved: set[int] = dataclasses.field(default_factory=set)
    ticket_use: TicketUse = TicketUse.NONE

    @property
    def size(self) -> int:
        """Number of tasks that this scheduler must run."""
        return len(self.message.tasks) - len(self.moved)

    @property
    def deadline_at(self) -> float:
        """Monotonic seconds of the deadline; infinite if there is none."""
        if not self.message.deadline_s:
            return float("inf")
        return self.arrived_at + self.message.deadline_s

    def task_tags(self) -> tuple[str, ...]:
        """Return the state of each task for the answer of a failed job."""
        unstarted = set(self.waiting.tasks)
        tags = []
        for index in range(len(self.message.tasks)):
            if index in self.results:
                tags.append("complete")
            elif index in unstarted or index in self.moved:
                tags.append("failed_not_run")
            else:
                tags.append("failed_may_have_run")
        return tuple(tags)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """Answer to a job whose front is this entry."""

    submission: str
    answer: _requests.JobAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnedTasks:
    """Tasks that never started, to be placed by another scheduler."""

    submission: str
    #: Indices of the tasks in the submission.
    indices: tuple[int, ...]
