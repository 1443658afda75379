"""The client's interface: validated bodies in, JSON text out."""

import json
import typing

import msgspec
import pydantic

from ferryledge import core
from ferryledge import outcomes
from ferryledge import runtime

MAX_TASKS = 810
_MS = 1000.0
_NEVER_STATUS = 422

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=64)]
Label = typing.Annotated[
    str, pydantic.Field(pattern=r"^[\x21-\x2e\x30-\x7e]{1,64}$")
]


class TaskModel(pydantic.BaseModel):
    """One task of a job."""

    model_config = pydantic.ConfigDict(extra="forbid")

    payload: pydantic.JsonValue = None
    #: Expected run time in milliseconds.
    expected_ms: typing.Annotated[
        float, pydantic.Field(ge=0, le=3_600_000, allow_inf_nan=False)
    ] = 0.0


class JobModel(pydantic.BaseModel):
    """The body of ``POST /v1/jobs``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    request_id: Label
    #: ``team`` is its earlier name.
    workspace: Name = pydantic.Field(
        validation_alias=pydantic.AliasChoices("workspace", "team")
    )
    service: Name
    tasks: typing.Annotated[
        list[TaskModel], pydantic.Field(min_length=1, max_length=MAX_TASKS)
    ]
    deadline_ms: typing.Annotated[
        float, pydantic.Field(ge=0, le=3_600_000, allow_inf_nan=False)
    ] = 0.0
    urgency: typing.Annotated[
        float, pydantic.Field(ge=0.01, le=100, allow_inf_nan=False)
    ] = 1.0
    places: typing.Annotated[list[Name], pydantic.Field(max_length=16)] = []
    repeatable: bool = True
    ticket: typing.Annotated[str, pydantic.Field(max_length=200)] = ""

    def to_request(self) -> core.JobRequest:
        """Return the job as the core sees it."""
        return core.JobRequest(
            self.request_id,
            self.workspace,
            self.service,
            tuple(
                core.TaskRequest(
                    msgspec.json.encode(task.payload),
                    task.expected_ms / _MS,
                )
                for task in self.tasks
            ),
            self.deadline_ms / _MS,
            self.urgency,
            tuple(self.places),
            self.repeatable,
            self.ticket,
        )


class InvalidBodyError(Exception):
    """The body does not fit the model.

    :param field: the path of the field that is wrong
    :param message: what is allowed
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f"{field}: {message}")
        #: The path of the field that is wrong.
        self.field = field
        #: What is allowed.
        self.message = message


def parse_job(body: bytes) -> core.JobRequest:
    """Return the job that a body holds.

    :raises InvalidBodyError: if it holds none
    """
    try:
        return JobModel.model_validate_json(body).to_request()
    except pydantic.ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        raise InvalidBodyError(field, first["msg"]) from exc
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        raise InvalidBodyError("tasks", str(exc)) from exc


_BUSY_REASONS = frozenset(
    {
        outcomes.Reason.CAPACITY,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.POLICY,
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.QUOTA,
    }
)
_OUTAGE_REASONS = frozenset(
    {
        outcomes.Reason.DRAINING,
        outcomes.Reason.NO_CONFIGURATION,
        outcomes.Reason.NO_ENDPOINT,
    }
)


def _refusal_status(reason: outcomes.Reason) -> int:
    if reason in _BUSY_REASONS:
        return 429
    if reason in _OUTAGE_REASONS:
        return 503
    if reason is outcomes.Reason.TICKET_USED:
        return 409
    return _NEVER_STATUS


#: The field of the body that a refusal is about.
_FIELDS = {
    outcomes.Reason.UNKNOWN_SERVICE: "service",
    outcomes.Reason.UNKNOWN_WORKSPACE: "workspace",
    outcomes.Reason.IMPOSSIBLE: "places",
    outcomes.Reason.TICKET_USED: "request_id",
}


def _status(outcome: outcomes.JobOutcome) -> int:
    match outcome:
        case outcomes.Complete():
            return 200
        case outcomes.Refused(reason):
            return _refusal_status(reason)
        case outcomes.FailedNotRun():
            return 503
        case outcomes.FailedMayHaveRun():
            return 500
        case outcomes.InProgress():
            return 409
        case outcomes.TicketRequired():
            return 428


def _fields(outcome: outcomes.JobOutcome) -> dict[str, typing.Any]:
    match outcome:
        case outcomes.Complete():
            return {"ran": "yes"}
        case outcomes.InProgress():
            return {"ran": "maybe"}
        case outcomes.TicketRequired(ticket):
            return {"ran": "no", "ticket": ticket}
        case outcomes.FailedMayHaveRun(reason, origin, detail):
            ran = "maybe"
        case outcomes.FailedNotRun(reason, origin, _, detail):
            ran = "no"
        case outcomes.Refused(reason, origin, _, detail):
            ran = "no"
    field = _FIELDS.get(reason)
    return {
        **({"field": field} if field else {}),
        "ran": ran,
        "reason": reason,
        "step": origin.step,
        "peer": origin.peer,
        "detail": detail,
    }


def retry_after_s(outcome: outcomes.JobOutcome) -> float:
    """Return when to come back, in seconds; 0 is never."""
    match outcome:
        case (
            outcomes.Refused(retry_after_s=delay)
            | outcomes.FailedNotRun(retry_after_s=delay)
            | outcomes.InProgress(retry_after_s=delay)
        ):
            return delay
    return 0.0


def _tasks(answer: core.JobAnswer) -> bytes:
    match answer.outcome:
        case outcomes.Complete(results):
            parts = [
                b'{"outcome":"complete","result":' + result + b"}"
                for result in results
            ]
        case _:
            parts = [
                json.dumps({"outcome": tag}).encode()
                for tag in answer.task_tags
            ]
    return b"[" + b",".join(parts) + b"]"


def render_answer(
    request_id: str, answer: core.JobAnswer, entry: str
) -> runtime.HttpResponse:
    """Return the HTTP response that carries an answer.

    :param request_id: the client's own name for the request
    :param answer: the answer
    :param entry: name of the entry that answers
    """
    outcome = answer.outcome
    head = {
        "request_id": request_id,
        "outcome": outcomes.tag_of(outcome),
        **_fields(outcome),
        "entry": entry,
    }
    headers: tuple[tuple[str, str], ...] = ()
    if answer.spare_ticket:
        head["spare_ticket"] = answer.spare_ticket
    delay = retry_after_s(outcome)
    if delay:
        head["retry_after_ms"] = round(delay * _MS)
        headers = (("retry-after", str(max(1, round(delay)))),)
    text = json.dumps(head).encode()
    body = text[:-1] + b', "tasks": ' + _tasks(answer) + b"}"
    return runtime.HttpResponse(_status(outcome), body, headers)
