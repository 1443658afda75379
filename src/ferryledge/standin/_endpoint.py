"""An endpoint whose tasks sleep, fail, hang or answer late as told."""

import dataclasses
import json
import typing

import anyio
import pydantic

from ferryledge import runtime
from ferryledge.standin import _journal

_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointBehaviour:
    """How all tasks of an endpoint behave, beyond what payloads ask."""

    #: Every task fails at once.
    fail_all: bool = False
    #: No task ends.
    hang_all: bool = False
    #: Tasks take that many times as long.
    slowdown: float = 1.0


class TaskPayload(pydantic.BaseModel):
    """What a task's payload may ask for."""

    model_config = pydantic.ConfigDict(extra="allow")

    #: Milliseconds that the task takes.
    sleep_ms: float = 0.0
    fail: bool = False
    hang: bool = False
    #: Returned as the result.
    echo: pydantic.JsonValue = None


class StandinEndpoint:
    """Serves tasks over HTTP and keeps a journal of every start.

    :param name: the endpoint's name in the journal
    :param journal: where starts are recorded
    """

    def __init__(self, name: str, journal: _journal.StartJournal) -> None:
        self._name = name
        self._journal = journal
        self._behaviour = EndpointBehaviour()
        self._running = 0
        self._most_running = 0

    @property
    def most_running(self) -> int:
        """Most tasks that ran at once."""
        return self._most_running

    def behave(self, behaviour: EndpointBehaviour) -> None:
        """Change how tasks behave from now on."""
        self._behaviour = behaviour

    async def handle(self, request: runtime.Request) -> runtime.HttpResponse:
        """Answer one HTTP request."""
        match request.method, request.parts:
            case "POST", ("v1", "tasks", _):
                return await self._task(request)
            case "PUT", ("control",):
                told = json.loads(await request.body())
                self.behave(EndpointBehaviour(**told))
                return runtime.HttpResponse.json(200, {})
            case "GET", ("journal",):
                entries = [
                    dataclasses.asdict(one) for one in self._journal.entries
                ]
                return runtime.HttpResponse.json(200, entries)
        return runtime.HttpResponse.json(404, {"error": "no such page"})

    async def _task(self, request: runtime.Request) -> runtime.HttpResponse:
        body = await request.body()
        self._journal.note(
            _journal.StartEntry(
                self._name,
                request.header("x-ferryledge-submission"),
                int(request.header("x-ferryledge-task") or -1),
                request.header("x-ferryledge-label"),
                body[:200].decode(errors="replace"),
            )
        )
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        try:
            return await self._run(body)
        finally:
            self._running -= 1

    async def _run(self, body: bytes) -> runtime.HttpResponse:
        try:
            payload = TaskPayload.model_validate_json(body)
        except pydantic.ValidationError:
            return runtime.HttpResponse.json(400, {"error": "payload"})
        behaviour = self._behaviour
        if behaviour.fail_all or payload.fail:
            return runtime.HttpResponse.json(500, {"error": "told to fail"})
        if behaviour.hang_all or payload.hang:
            await anyio.sleep_forever()
        await anyio.sleep(payload.sleep_ms / _MS * behaviour.slowdown)
        result: dict[str, typing.Any] = {
            "endpoint": self._name,
            "echo": payload.echo,
        }
        return runtime.HttpResponse.json(200, result)
