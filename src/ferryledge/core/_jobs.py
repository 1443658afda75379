"""The jobs that a scheduler holds."""

import dataclasses
import enum

from ferryledge import configlog
from ferryledge.core import _requests
from ferryledge import placement
from ferryledge import wire


class TicketUse(enum.Enum):
    """How far a job's ticket is used."""

    #: The job has no ticket.
    NONE = "none"
    #: The whole job was sent to the agent that minted the ticket.
    AT_ARBITER = "at_arbiter"
    #: The minting agent was asked and has not answered.
    ASKED = "asked"
    #: The minting agent let the job run anywhere.
    GRANTED = "granted"


@dataclasses.dataclass(slots=True)
class Job:
    """A job that this scheduler holds."""

    submission: str
    #: Name of the front that waits for the answer; empty is this entry.
    front: str
    message: wire.PlaceJob
    service: configlog.Service
    arrived_at: float
    waiting: placement.WaitingJob
    zones: frozenset[str] | None
    config_version: int
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)
    #: Sequence numbers of bound tasks, with their endpoints.
    bound: dict[int, str] = dataclasses.field(default_factory=dict)
    releases: int = 0
    #: Indices of tasks that were handed back to this entry's front.
    moved: set[int] = dataclasses.field(default_factory=set)
    ticket_use: TicketUse = TicketUse.NONE

    @property
    def size(self) -> int:
        """The number of tasks that are to run from here."""
        return len(self.message.tasks) - len(self.moved)

    @property
    def deadline_at(self) -> float:
        """When the client no longer needs it."""
        if not self.message.deadline_s:
            return float("inf")
        return self.arrived_at + self.message.deadline_s

    def task_tags(self) -> tuple[str, ...]:
        """Return what may be said of each task when the job fails."""
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
    """An answer for a job of this entry's own clients."""

    submission: str
    answer: _requests.JobAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class HandedBack:
    """Tasks that never started here, for another scheduler."""

    submission: str
    #: Their indices in the submission.
    indices: tuple[int, ...]
