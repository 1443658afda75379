"""Jobs as a client writes them, and replies as it reads them."""

import dataclasses
import json
import typing

Json = typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One task."""

    #: What the endpoint gets; anything that JSON can hold.
    payload: Json
    #: Expected run time in milliseconds; 0 is unknown.
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Tasks whose results are wanted all together."""

    workspace: str
    service: str
    tasks: tuple[Task, ...]
    #: Unique within the workspace; empty lets the client name it.
    request_id: str = ""
    #: Milliseconds until the answer is of no use; 0 is never.
    deadline_ms: float = 0.0
    #: Larger goes earlier.
    urgency: float = 1.0
    #: Names of places; empty is anywhere.
    places: tuple[str, ...] = ()
    #: Whether the same request may run twice.
    repeatable: bool = True

    def to_json(self, request_id: str, ticket: str) -> bytes:
        """Return the body of the request."""
        body = dataclasses.asdict(self)
        body["request_id"] = request_id
        body["ticket"] = ticket
        return json.dumps(body).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What became of a job, as the entry told."""

    #: HTTP status; 0 if no entry could be reached.
    status: int
    #: ``complete``, ``refused``, ``failed_not_run``,
    #: ``failed_may_have_run``, ``in_progress``, ``ticket_required``,
    #: or ``lost`` if no whole answer came.
    outcome: str
    #: ``yes``, ``no`` or ``maybe``.
    ran: str
    reason: str = ""
    retry_after_s: float = 0.0
    ticket: str = ""
    entry: str = ""
    #: A ticket for the next unrepeatable job.
    spare_ticket: str = ""
    #: The tasks' results, if complete.
    results: tuple[Json, ...] = ()
    #: Attempts that were made.
    attempts: int = 1

    @property
    def complete(self) -> bool:
        """Whether every task ran and every result is here."""
        return self.outcome == "complete"

    @classmethod
    def parse(cls, status: int, content: bytes) -> "Reply":
        """Return the reply that an HTTP answer holds.

        :raises ValueError: if it holds none
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
