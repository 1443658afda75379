"""Jobs that a client sends and replies that it receives."""

import dataclasses
import json
import typing

Json = typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """Task of a job."""

    #: JSON value that is passed to the endpoint.
    payload: Json
    #: Expected run time in milliseconds; 0 if unknown.
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Tasks that are submitted and answered together."""

    workspace: str
    service: str
    tasks: tuple[Task, ...]
    #: Unique within the workspace; the client generates one if empty.
    request_id: str = ""
    #: Milliseconds after which the answer is useless; 0 for no deadline.
    deadline_ms: float = 0.0
    #: Jobs of a larger urgency run earlier.
    urgency: float = 1.0
    #: Names of the places where the job may run; empty for all.
    places: tuple[str, ...] = ()
    #: Whether the job may run more than once.
    repeatable: bool = True

    def to_json(self, request_id: str, ticket: str) -> bytes:
        """Return the body of the HTTP request.

        :param request_id: the job's request ID
        :param ticket: ticket of an unrepeatable job; may be empty
        """
        body = dataclasses.asdict(self)
        body["request_id"] = request_id
        body["ticket"] = ticket
        return json.dumps(body).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a job as the entry reports it."""

    #: HTTP status; 0 if no complete reply arrived.
    status: int
    #: ``complete``, ``refused``, ``failed_not_run``,
    #: ``failed_may_have_run``, ``in_progress``, ``ticket_required``,
    #: ``invalid`` for a rejected request, or ``lost`` if no complete reply
    #: arrived.
    outcome: str
    #: Whether the job ran: ``yes``, ``no`` or ``maybe``.
    ran: str
    reason: str = ""
    retry_after_s: float = 0.0
    ticket: str = ""
    entry: str = ""
    #: Ticket that a later unrepeatable job can use; may be empty.
    spare_ticket: str = ""
    #: Results of the tasks that have one.
    results: tuple[Json, ...] = ()
    #: Number of attempts made.
    attempts: int = 1

    @property
    def complete(self) -> bool:
        """Whether every task ran and returned its result."""
        return self.outcome == "complete"

    @classmethod
    def parse(cls, status: int, content: bytes) -> "Reply":
        """Parse an HTTP response.

        :param status: the HTTP status
        :param content: the body
        :raises ValueError: if the body is not JSON
        """
        body = json.loads(content)
        if "outcome" not in body:
            error = f"{body.get('field', '')}: {body.get('error', '')}"
            return cls(status, "invalid", "no", reason=error)
        return cls(
            status=status,
            outcome=body["outcome"],
            ran=body["ran"],
            reason=body.get("reason", ""),
            retry_after_s=body.get("retry_after_ms", 0) / 1000.0,
            ticket=body.get("ticket", ""),
            entry=body.get("entry", ""),
            spare_ticket=body.get("spare_ticket", ""),
            results=tuple(
                task["result"] for task in body["tasks"] if "result" in task
            ),
        )
