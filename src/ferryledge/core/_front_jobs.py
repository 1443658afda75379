"""The jobs of an entry's clients, and their parts at schedulers."""

import dataclasses
import hashlib

from ferryledge.core import _reach
from ferryledge.core import _requests

#: Seconds after a job's deadline by which it must be answered.
_DEADLINE_MARGIN_S = 0.25


@dataclasses.dataclass(slots=True)
class Part:
    """Tasks of a job that one scheduler holds."""

    submission: str
    #: Name and incarnation of the scheduler; empty for this entry.
    scheduler: str
    incarnation: str
    #: Places in the job of the part's tasks.
    indices: tuple[int, ...]
    #: The agents that the scheduler may use.
    group: _reach.Group
    #: Positions in ``indices`` of tasks that were taken back.
    moved: set[int] = dataclasses.field(default_factory=set)

    def remaining(self) -> tuple[int, ...]:
        """Return the places in the job of the tasks still in the part."""
        return tuple(
            index
            for position, index in enumerate(self.indices)
            if position not in self.moved
        )


@dataclasses.dataclass(slots=True)
class FrontJob:
    """A client's job."""

    request: _requests.JobRequest
    digest: str
    tokens: list[int]
    arrived_at: float
    parts: dict[str, Part] = dataclasses.field(default_factory=dict)
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> str:
        """The job's name in traces."""
        return f"{self.request.workspace}/{self.request.request_id}"

    @property
    def deadline_at(self) -> float:
        """When it must be answered at the latest."""
        if not self.request.deadline_s:
            return float("inf")
        wait = self.request.deadline_s + _DEADLINE_MARGIN_S
        return self.arrived_at + wait


class JobTable:
    """All jobs of an entry's clients, by name and by part."""

    def __init__(self) -> None:
        #: By the job's workspace and its client's name for it.
        self.jobs: dict[tuple[str, str], FrontJob] = {}
        #: By the submissions of their parts.
        self.by_part: dict[str, FrontJob] = {}
        #: Number of the last submission.
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
    """Return a short digest of what a request asks for."""
    hasher = hashlib.blake2b(digest_size=12)
    hasher.update(f"{request.workspace}|{request.service}".encode())
    for task in request.tasks:
        hasher.update(len(task.payload).to_bytes(8, "big"))
        hasher.update(task.payload)
    return hasher.hexdigest()
