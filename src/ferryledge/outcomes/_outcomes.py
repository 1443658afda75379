"""The outcomes of jobs and tasks, as structs to ``match`` on.

An outcome states "not run" only if the work was never sent, or if its agent
confirmed that it didn't start and never will.
"""

import enum

import msgspec


class Step(enum.StrEnum):
    """The processing step at which an outcome arose."""

    SUBMIT = "submit"
    ADMIT = "admit"
    PLACE = "place"
    SEND = "send"
    START = "start"
    RUN = "run"
    RESULT = "result"
    ANSWER = "answer"
    CANCEL = "cancel"
    AUTHORISE = "authorise"
    DRAIN = "drain"
    #: Moving a run whose endpoint is slow or whose lease was given up.
    MOVE = "move"
    LEASE = "lease"
    #: Detection of failed or slow peers and endpoints.
    HEALTH = "health"


class Reason(enum.StrEnum):
    """Why a request was not completed."""

    AGENT_LOST = "agent_lost"
    CANCELLED = "cancelled"
    CAPACITY = "capacity"
    DEADLINE = "deadline"
    DRAINING = "draining"
    #: Another entry runs the job, which its client submitted there as well.
    DUPLICATE = "duplicate"
    ENDPOINT_ERROR = "endpoint_error"
    ENTRY_LOST = "entry_lost"
    IMPOSSIBLE = "impossible"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    POLICY = "policy"
    POLICY_ERROR = "policy_error"
    QUEUE_FULL = "queue_full"
    QUOTA = "quota"
    TASK_FAILED = "task_failed"
    TICKET_LOST = "ticket_lost"
    TICKET_USED = "ticket_used"
    TIMEOUT = "timeout"
    UNKNOWN_SERVICE = "unknown_service"
    #: The value is the earlier name, which clients still match.
    UNKNOWN_WORKSPACE = "unknown_team"


class Origin(msgspec.Struct, frozen=True):
    """The origin of an outcome."""

    #: The step at which the outcome arose.
    step: Step
    #: Name of the process that caused it; empty for this process.
    peer: str = ""


class Complete(msgspec.Struct, frozen=True):
    """Every task ran once."""

    #: The tasks' results as JSON text, in the order of the tasks.
    results: tuple[bytes, ...]


class Refused(msgspec.Struct, frozen=True):
    """The request was refused before any of it ran."""

    reason: Reason
    origin: Origin
    #: Seconds after which to retry; 0 if a retry is pointless.
    retry_after_s: float
    detail: str = ""


class FailedNotRun(msgspec.Struct, frozen=True):
    """The request was accepted but failed before any of it started."""

    reason: Reason
    origin: Origin
    #: Seconds after which to retry; 0 if a retry is pointless.
    retry_after_s: float = 0.0
    detail: str = ""


class FailedMayHaveRun(msgspec.Struct, frozen=True):
    """The request failed; some of it ran or may have run."""

    reason: Reason
    origin: Origin
    detail: str = ""


class InProgress(msgspec.Struct, frozen=True):
    """An earlier submission under the same ticket is still running."""

    #: Seconds after which to retry.
    retry_after_s: float


class TicketRequired(msgspec.Struct, frozen=True):
    """An unrepeatable request had no ticket, so nothing ran."""

    #: The ticket to repeat the request with.
    ticket: str


TaskOutcome = Complete | FailedNotRun | FailedMayHaveRun
JobOutcome = (
    Complete
    | Refused
    | FailedNotRun
    | FailedMayHaveRun
    | InProgress
    | TicketRequired
)

_TAGS: dict[type, str] = {
    Complete: "complete",
    Refused: "refused",
    FailedNotRun: "failed_not_run",
    FailedMayHaveRun: "failed_may_have_run",
    InProgress: "in_progress",
    TicketRequired: "ticket_required",
}


def tag_of(outcome: JobOutcome) -> str:
    """Return the outcome's tag, as used in answers and logs."""
    return _TAGS[type(outcome)]
