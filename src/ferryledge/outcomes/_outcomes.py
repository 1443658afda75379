"""The outcomes of jobs and tasks, as data classes to ``match`` on.

"Not run" is claimed only with proof: the work was never sent, or the agent
that held it said that it never started and never will.
"""

import enum

import msgspec


class Step(enum.StrEnum):
    """The step of a request at which an outcome arose."""

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
    #: A run's endpoint became slow, or its lease was given up.
    MOVE = "move"
    LEASE = "lease"
    #: What a process believes of its peers and endpoints.
    HEALTH = "health"


class Reason(enum.StrEnum):
    """Why a request was not completed."""

    AGENT_LOST = "agent_lost"
    CANCELLED = "cancelled"
    CAPACITY = "capacity"
    DEADLINE = "deadline"
    DRAINING = "draining"
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
    #: Its value is what clients and earlier versions know it by.
    UNKNOWN_WORKSPACE = "unknown_team"


class Origin(msgspec.Struct, frozen=True):
    """Where an outcome arose."""

    #: The step at which it arose.
    step: Step
    #: The process that caused it: its name, or empty for this process.
    peer: str = ""


class Complete(msgspec.Struct, frozen=True):
    """Every task ran once and its result is here."""

    #: The tasks' results as JSON text, in the order of the tasks.
    results: tuple[bytes, ...]


class Refused(msgspec.Struct, frozen=True):
    """Nothing ran; the request may be sent again after the delay."""

    reason: Reason
    origin: Origin
    #: Seconds after which to come back; 0 if coming back is useless.
    retry_after_s: float
    detail: str = ""


class FailedNotRun(msgspec.Struct, frozen=True):
    """The request was accepted, then failed; none of it started."""

    reason: Reason
    origin: Origin
    #: Seconds after which to come back; 0 if coming back is useless.
    retry_after_s: float = 0.0
    detail: str = ""


class FailedMayHaveRun(msgspec.Struct, frozen=True):
    """The request failed and some of it ran, or may have run."""

    reason: Reason
    origin: Origin
    detail: str = ""


class InProgress(msgspec.Struct, frozen=True):
    """An earlier submission under the same ticket is still running."""

    retry_after_s: float


class TicketRequired(msgspec.Struct, frozen=True):
    """An unrepeatable request came without a ticket; nothing ran."""

    #: The ticket to send the request again with.
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
    """Return the outcome's tag as it stands in answers and logs."""
    return _TAGS[type(outcome)]
