"""Models of the HTTP interface: parses request bodies, renders answers."""

import json
import typing

import msgspec
import pydantic

from ferryledge import core
from ferryledge import outcomes
from ferryledge import runtime

#: Maximum number of tasks in a job.
MAX_TASKS = 810
_MS_PER_S = 1000.0
#: Status of a refusal for which a retry is pointless.
_PERMANENT_REFUSAL_STATUS = 422

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=64)]
Label = typing.Annotated[
    str, pydantic.Field(pattern=r"^[\x21-\x2e\x30-\x7e]{1,64}$")
]


class TaskModel(pydantic.BaseModel):
    """One task of a job."""

    model_config = pydantic.ConfigDict(extra="forbid")

    #: Passed to the endpoint as the body of the call.
    payload: pydantic.JsonValue = None
    #: Expected run time in milliseconds; 0 if unknown.
    expected_ms: typing.Annotated[
        float, pydantic.Field(ge=0, le=3_600_000, allow_inf_nan=False)
    ] = 0.0


class JobModel(pydantic.BaseModel):
    """The body of ``POST /v1/jobs``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    #: The client's identifier of the request, unique within the workspace.
    request_id: Label
    #: The former name ``team`` is accepted too.
    workspace: Name = pydantic.Field(
        validation_alias=pydantic.AliasChoices("workspace", "team")
    )
    service: Name
    tasks: typing.Annotated[
        list[TaskModel], pydantic.Field(min_length=1, max_length=MAX_TASKS)
    ]
    #: Milliseconds until the client no longer needs the answer; 0 is no
    #: deadline.
    deadline_ms: typing.Annotated[
        float, pydantic.Field(ge=0, le=3_600_000, allow_inf_nan=False)
    ] = 0.0
    #: Jobs of higher urgency go first; a policy may replace the value.
    urgency: typing.Annotated[
        float, pydantic.Field(ge=0.01, le=100, allow_inf_nan=False)
    ] = 1.0
    #: Names of the places where the tasks may run; empty is anywhere.
    places: typing.Annotated[list[Name], pydantic.Field(max_length=16)] = []
    #: Whether a task may safely run more than once.
    repeatable: bool = True
    #: Authorises an unrepeatable job; empty if there is none.
    ticket: typing.Annotated[str, pydantic.Field(max_length=200)] = ""

    def to_request(self) -> core.JobRequest:
        """Convert to the core's request, with times in seconds."""
        return core.JobRequest(
            self.request_id,
            self.workspace,
            self.service,
            tuple(
                core.TaskRequest(
                    msgspec.json.encode(task.payload),
                    task.expected_ms / _MS_PER_S,
                )
                for task in self.tasks
            ),
            self.deadline_ms / _MS_PER_S,
            self.urgency,
            tuple(self.places),
            self.repeatable,
            self.ticket,
        )


class InvalidBodyError(Exception):
    """A request body is not a valid job.

    :param field: path of the invalid field, such as ``tasks.0.payload``
    :param message: why the field is invalid
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f"{field}: {message}")
        #: Path of the invalid field; ``body`` for the body as a whole.
        self.field = field
        #: Why the field is invalid.
        self.message = message


def parse_job(body: bytes) -> core.JobRequest:
    """Parse and validate the body of ``POST /v1/jobs``.

    :param body: JSON text
    :raises InvalidBodyError: if the body is not a valid job
    """
    try:
        return JobModel.model_validate_json(body).to_request()
    except pydantic.ValidationError as exc:
        first_error = exc.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first_error["loc"]) or "body"
        raise InvalidBodyError(field, first_error["msg"]) from exc
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        raise InvalidBodyError("tasks", str(exc)) from exc


#: Reasons that are answered with status 429, Too Many Requests.
_OVERLOAD_REASONS = frozenset(
    {
        outcomes.Reason.CAPACITY,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.POLICY,
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.QUOTA,
    }
)
#: Reasons that are answered with status 503, Service Unavailable.
_UNAVAILABLE_REASONS = frozenset(
    {
        outcomes.Reason.DRAINING,
        outcomes.Reason.NO_CONFIGURATION,
        outcomes.Reason.NO_ENDPOINT,
    }
)


def _refusal_status(reason: outcomes.Reason) -> int:
    if reason in _OVERLOAD_REASONS:
        return 429
    if reason in _UNAVAILABLE_REASONS:
        return 503
    if reason is outcomes.Reason.TICKET_USED:
        return 409
    return _PERMANENT_REFUSAL_STATUS


#: The field of the body that caused a refusal.
_FIELD_BY_REASON = {
    outcomes.Reason.UNKNOWN_SERVICE: "service",
    outcomes.Reason.UNKNOWN_WORKSPACE: "workspace",
    outcomes.Reason.IMPOSSIBLE: "places",
    outcomes.Reason.TICKET_USED: "request_id",
}


def _http_status(outcome: outcomes.JobOutcome) -> int:
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


def _outcome_members(outcome: outcomes.JobOutcome) -> dict[str, typing.Any]:
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
    field = _FIELD_BY_REASON.get(reason)
    return {
        **({"field": field} if field else {}),
        "ran": ran,
        "reason": reason,
        "step": origin.step,
        "peer": origin.peer,
        "detail": detail,
    }


def retry_after_s(outcome: outcomes.JobOutcome) -> float:
    """Return the seconds after which to retry; 0 if a retry is pointless."""
    match outcome:
        case (
            outcomes.Refused(retry_after_s=delay)
            | outcomes.FailedNotRun(retry_after_s=delay)
            | outcomes.InProgress(retry_after_s=delay)
        ):
            return delay
    return 0.0


def _render_tasks(answer: core.JobAnswer) -> bytes:
    # Results are JSON text already and are inserted as they are.
    match answer.outcome:
        case outcomes.Complete(results):
            encoded_tasks = [
                b'{"outcome":"complete","result":' + result + b"}"
                for result in results
            ]
        case _:
            encoded_tasks = [
                json.dumps({"outcome": tag}).encode()
                for tag in answer.task_tags
            ]
    return b"[" + b",".join(encoded_tasks) + b"]"


def render_answer(
    request_id: str, answer: core.JobAnswer, entry: str
) -> runtime.HttpResponse:
    """Return the HTTP response for an answer.

    :param request_id: the identifier that the client gave its request
    :param answer: the answer to render
    :param entry: name of the entry that answers
    """
    outcome = answer.outcome
    members = {
        "request_id": request_id,
        "outcome": outcomes.tag_of(outcome),
        **_outcome_members(outcome),
        "entry": entry,
    }
    headers: tuple[tuple[str, str], ...] = ()
    if answer.spare_ticket:
        members["spare_ticket"] = answer.spare_ticket
    delay = retry_after_s(outcome)
    if delay:
        members["retry_after_ms"] = round(delay * _MS_PER_S)
        headers = (("retry-after", str(max(1, round(delay)))),)
    text_without_tasks = json.dumps(members).encode()
    body = (
        text_without_tasks[:-1] + b', "tasks": ' + _render_tasks(answer) + b"}"
    )
    return runtime.HttpResponse(_http_status(outcome), body, headers)
