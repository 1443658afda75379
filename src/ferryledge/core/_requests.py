"""A client's job request and its answer."""

import dataclasses

from ferryledge import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRequest:
    """One task of a job."""

    #: JSON text that is passed to the endpoint.
    payload: bytes
    #: Run time that the client declared, in seconds; 0 if unknown.
    declared_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A client's job, after its format has been validated."""

    #: Chosen by the client; unique within its workspace.
    request_id: str
    workspace: str
    service: str
    tasks: tuple[TaskRequest, ...]
    #: Seconds until the client no longer needs the answer; 0 if unlimited.
    deadline_s: float = 0.0
    #: More urgent jobs run earlier; a policy may replace the value.
    urgency: float = 1.0
    #: Names of the places where the tasks may run; empty for no restriction.
    places: tuple[str, ...] = ()
    #: Whether the tasks may safely run more than once.
    repeatable: bool = True
    #: Authorises an unrepeatable job; empty if the client has none.
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer to a job."""

    outcome: outcomes.JobOutcome
    #: The tag of each task's outcome, in the order of the tasks.
    task_tags: tuple[str, ...] = ()
    #: A ticket for the client's next unrepeatable job; empty if none.
    spare_ticket: str = ""
