"""A client's job and its answer, as the core sees them."""

import dataclasses

from ferryledge import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRequest:
    """One task of a job."""

    #: What the endpoint gets, as JSON text.
    payload: bytes
    #: Run time that the client declared, in seconds; 0 is unknown.
    declared_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as a client sends it, already checked for its form."""

    #: The client's own name for the request, unique within its workspace.
    request_id: str
    workspace: str
    service: str
    tasks: tuple[TaskRequest, ...]
    #: Seconds until the client no longer needs the answer; 0 is none.
    deadline_s: float = 0.0
    #: Larger goes earlier; a policy may replace it.
    urgency: float = 1.0
    #: Names of the places where the tasks may run; empty is anywhere.
    places: tuple[str, ...] = ()
    repeatable: bool = True
    #: Authorises an unrepeatable job; empty if there is none.
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """The whole answer to a job."""

    outcome: outcomes.JobOutcome
    #: The tag of each task's outcome, in order.
    task_tags: tuple[str, ...] = ()
    #: A ticket for the client's next unrepeatable job, if any.
    spare_ticket: str = ""
