"""A stand-in for an executor beside an agent."""

import asyncio
from collections import abc
import dataclasses
import json
import time

from harness import http

_HOLD_MAX_MS = 1000
_STOP_S = 0.03
_TICK_S = 0.005
_LISTED_ENDS = 500
_MAX_WAIT_MS = 2000
_HEARTBEAT_S = 1.5
#: Seconds between heartbeats while none is acknowledged.
_RETRY_S = 0.2


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    cpu: int
    work_s: float
    started_at: float
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        return min(99, int(100 * (now - self.started_at) / self.work_s))


OnEvent = abc.Callable[[str, str, dict[str, object]], None]


class Executor:
    """Runs tasks as long as its lease lasts.

    The text of a job's ``Spec`` is JSON; ``ms`` lists the milliseconds that a
    task of each step works, and ``cpu`` what each takes.

    :param name: name in the record
    :param service: name of the service
    :param address: host and port to listen on
    :param control: host and port of the agent's ControlPlane
    :param zone: its zone
    :param cpu: its room in thousandths of a core
    :param on_event: called with "start" or "end", the task, and details
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        cpu: int,
        on_event: OnEvent,
    ) -> None:
        self.name = name
        self.instance = f"i-{name}-1"
        self.state = "ready"
        self._service = service
        self._address = address
        self._control = control
        self._zone = zone
        self._cpu = cpu
        self._on_event = on_event
        self._born = time.monotonic() - 100.0
        self._runs: dict[str, _Run] = {}
        self._ended: list[list[object]] = []
        self._ends = 0
        self._closed: dict[str, int] = {}
        self._token = 0
        self._lease_ms = 0
        self._seq = 0
        self._changed = asyncio.Event()

    @property
    def running(self) -> list[str]:
        """The tasks that are at work."""
        return list(self._runs)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born) * 1000.0)

    async def run(self) -> None:
        """Serve calls, work and send heartbeats until cancelled."""
        server = await http.serve(self._handle, *self._address)
        async with server, asyncio.TaskGroup() as group:
            group.create_task(self._work())
            group.create_task(self._beat())

    async def _work(self) -> None:
        while True:
            now = time.monotonic()
            lapsed = self._clock_ms() > self._lease_ms
            for run in list(self._runs.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.started_at + run.work_s:
                    self._end(run, "done")
            await asyncio.sleep(_TICK_S)

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task]
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._close(run.task, run.number)
        self._on_event(
            "end", run.task, {"at": self.name, "run": run.number, "how": how}
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _close(self, task: str, number: int) -> None:
        self._closed[task] = max(self._closed.get(task, 0), number)

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            body = {
                "Backend": self._service,
                "Address": f"{self._address[0]}:{self._address[1]}",
                "Zone": self._zone,
                "Version": "v1",
                "Slots": 8,
                "State": self.state,
                "ColdMs": 0,
                "Capacity": {"Cpu": self._cpu, "MemMb": 65536, "Gpu": 0},
                "Labels": ["a", "r1-1"],
                "ClockMs": self._clock_ms(),
                "Seq": self._seq,
            }
            path = f"/instances/{self.instance}/heartbeat"
            wait_s = _RETRY_S
            try:
                answer = await http.call(
                    *self._control, "POST", path, body, timeout_s=1.0
                )
                if answer.status // 100 == 2:
                    wait_s = _HEARTBEAT_S
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(wait_s)

    async def _handle(self, request: http.Request) -> http.Response:
        clock = {"ClockMs": self._clock_ms()}
        expected = request.headers.get("expect-instance", self.instance)
        if expected != self.instance:
            return http.Response.json(421, clock)
        fields = request.json()
        token = fields.get("FencingToken", 0)
        if token < self._token:
            return http.Response.json(409, {**clock, "Reason": "fence"})
        self._token = token
        match request.path:
            case "/run-start":
                return self._start(fields, clock)
            case "/run-stop":
                return self._stop(fields, clock)
            case "/hold":
                return await self._hold(fields)
        return http.Response.json(404, clock)

    def _extend(self, deadline_ms: int) -> None:
        longest = self._clock_ms() + _HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def _start(
        self, fields: dict[str, object], clock: dict[str, int]
    ) -> http.Response:
        task, number = str(fields["Task"]), int(str(fields["Run"]))
        deadline_ms = int(str(fields["DeadlineMs"]))
        if deadline_ms <= self._clock_ms():
            return http.Response.json(409, {**clock, "Reason": "late"})
        self._extend(deadline_ms)
        run = self._runs.get(task)
        if run is not None and run.number == number:
            return http.Response.json(200, clock)
        if run is not None or number <= self._closed.get(task, 0):
            return http.Response.json(409, {**clock, "Reason": "old"})
        spec = json.loads(str(fields["Spec"]))
        step = int(task.split(".")[2])
        run = _Run(
            task,
            number,
            spec["cpu"],
            spec["ms"][step] / 1000.0,
            time.monotonic(),
        )
        self._runs[task] = run
        self._on_event(
            "start",
            task,
            {"at": self.name, "run": number, "spec": fields["Spec"]},
        )
        return http.Response.json(200, clock)

    def _stop(
        self, fields: dict[str, object], clock: dict[str, int]
    ) -> http.Response:
        task, number = str(fields["Task"]), int(str(fields["Run"]))
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + _STOP_S
        self._close(task, number)
        return http.Response.json(200, clock)

    async def _hold(self, fields: dict[str, object]) -> http.Response:
        if "DeadlineMs" in fields:
            self._extend(int(str(fields["DeadlineMs"])))
        acked = int(str(fields.get("AckedUpto", 0)))
        self._ended = [row for row in self._ended if int(str(row[0])) > acked]
        wait_ms = min(_MAX_WAIT_MS, int(str(fields.get("WaitMs", 0))))
        until = time.monotonic() + wait_ms / 1000.0
        while not self._ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self._changed.wait(), until - time.monotonic()
                )
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), run.cpu]
            for run in self._runs.values()
        ]
        return http.Response.json(
            200,
            {
                "ClockMs": self._clock_ms(),
                "Running": running,
                "Ended": self._ended[:_LISTED_ENDS],
            },
        )
