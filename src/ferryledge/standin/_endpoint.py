"""A stand-in endpoint whose tasks sleep, fail or hang on request."""

import dataclasses
import json
import typing

import anyio
import pydantic

from ferryledge import runtime
from ferryledge.standin import _journal

_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointBehaviour:
    """Behaviour of all tasks of an endpoint, on top of their payloads."""

    #: Every task fails immediately.
    fail_all: bool = False
    #: No task returns.
    hang_all: bool = False
    #: Factor applied to the duration of every task.
    slowdown: float = 1.0


class TaskPayload(pydantic.BaseModel):
    """The fields of a payload that control the task; others are ignored."""

    model_config = pydantic.ConfigDict(extra="allow")

    #: Duration of the task in milliseconds.
    sleep_ms: float = 0.0
    fail: bool = False
    hang: bool = False
    #: Returned in the result.
    echo: pydantic.JsonValue = None


class StandinEndpoint:
    """Serves tasks over HTTP and keeps a journal of every start.

    :param name: the endpoint's name in the journal
    :param journal: records the starts
    """

    def __init__(self, name: str, journal: _journal.StartJournal) -> None:
        self._name = name
        self._journal = journal
        self._behaviour = EndpointBehaviour()
        self._running = 0
        self._peak_running = 0

    @property
    def peak_running(self) -> int:
        """Highest number of tasks that ran concurrently."""
        return self._peak_running

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        """Set the behaviour of tasks that start from now on."""
        self._behaviour = behaviour

    async def handle(self, request: runtime.Request) -> runtime.HttpResponse:
        """Handle one HTTP request."""
        match request.method, request.parts:
            case "POST", ("v1", "tasks", _):
                return await self._handle_task(request)
            case "PUT", ("control",):
                settings = json.loads(await request.body())
                self.set_behaviour(EndpointBehaviour(**settings))
                return runtime.HttpResponse.json(200, {})
            case "GET", ("journal",):
                entries = [
                    dataclasses.asdict(start)
                    for start in self._journal.entries
                ]
                return runtime.HttpResponse.json(200, entries)
        return runtime.HttpResponse.json(404, {"error": "no such page"})

    async def _handle_task(
        self, request: runtime.Request
    ) -> runtime.HttpResponse:
        body = await request.body()
        self._journal.record(
            _journal.StartEntry(
                self._name,
                request.header("x-ferryledge-submission"),
                int(request.header("x-ferryledge-task") or -1),
                request.header("x-ferryledge-label"),
                body[:200].decode(errors="replace"),
            )
        )
        self._running += 1
        self._peak_running = max(self._peak_running, self._running)
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
        await anyio.sleep(payload.sleep_ms / _MS_PER_S * behaviour.slowdown)
        result: dict[str, typing.Any] = {
            "endpoint": self._name,
            "echo": payload.echo,
        }
        return runtime.HttpResponse.json(200, result)
