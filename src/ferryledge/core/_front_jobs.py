"""The jobs of an entry's clients, and the parts that schedulers hold."""

import dataclasses
import hashlib

from ferryledge.core import _reachable_agents
from ferryledge.core import _requests

#: Seconds past its deadline at which an unanswered job fails.
_DEADLINE_MARGIN_S = 0.25


@dataclasses.dataclass(slots=True)
class Part:
    """The tasks of a job that are assigned to one scheduler."""

    submission: str
    #: Name and incarnation of the scheduler; empty for this entry.
    scheduler: str
    incarnation: str
    #: Indices in the job of the part's tasks.
    indices: tuple[int, ...]
    #: The agents that the scheduler may use.
    group: _reachable_agents.Group
    #: Positions in ``indices`` of tasks that were removed from the part.
    removed: set[int] = dataclasses.field(default_factory=set)

    def remaining(self) -> tuple[int, ...]:
        """Return the indices in the job of the tasks still in the part."""
        return tuple(
            index
            for position, index in enumerate(self.indices)
            if position not in self.removed
        )


@dataclasses.dataclass(slots=True)
class FrontJob:
    """A client's job that is not answered yet.

    The front is the entry that took the job from the client and submits it.
    """

    request: _requests.JobRequest
    #: Digest of the request, to compare repeated requests.
    digest: str
    #: The clients' calls that wait for the answer.
    tokens: list[int]
    #: Monotonic seconds.
    arrived_at: float
    #: By submission.
    parts: dict[str, Part] = dataclasses.field(default_factory=dict)
    #: Results received so far, by the task's index.
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> str:
        """The job's name in traces."""
        return f"{self.request.workspace}/{self.request.request_id}"

    @property
    def deadline_at(self) -> float:
        """When the job fails if unanswered, in monotonic seconds."""
        if not self.request.deadline_s:
            return float("inf")
        wait_s = self.request.deadline_s + _DEADLINE_MARGIN_S
        return self.arrived_at + wait_s


class JobTable:
    """The open jobs of an entry's clients, by name and by part."""

    def __init__(self) -> None:
        #: By workspace and request ID.
        self.jobs: dict[tuple[str, str], FrontJob] = {}
        #: By the submission of each of their parts.
        self.by_part: dict[str, FrontJob] = {}
        #: Number of the most recent submission.
        self.counter = 0

    def parts_at(self, scheduler: str) -> list[Part]:
        """Return the parts that a scheduler holds."""
        return [
            part
            for job in self.jobs.values()
            for part in job.parts.values()
            if part.scheduler == scheduler
        ]

    def drop_part(self, submission: str) -> None:
        """Remove a part from its job."""
        job = self.by_part.pop(submission, None)
        if job is not None:
            del job.parts[submission]


def digest_of(request: _requests.JobRequest) -> str:
    """Return a digest of the workspace, the service and the payloads."""
    hasher = hashlib.blake2b(digest_size=12)
    hasher.update(f"{request.workspace}|{request.service}".encode())
    for task in request.tasks:
        hasher.update(len(task.payload).to_bytes(8, "big"))
        hasher.update(task.payload)
    return hasher.hexdigest()
