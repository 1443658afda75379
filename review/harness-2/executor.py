"""A stand-in for an executor, by PROTOCOL.md (Running tasks)."""

import asyncio
import dataclasses
import json
import time

import record as record_module
import web

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
#: How long a stop takes; at most StopMs, 50 ms.
STOP_S = 0.02


@dataclasses.dataclass(slots=True)
class _Run:
    task: str
    run: int
    work_s: float
    began: float
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False


class Executor:
    """One executor machine, with one life at a time.

    The work of a task stands in its ``Spec``: ``{"work_s": 1.8}``.

    :param name: its machine's name
    :param address: where it takes calls
    :param agent: the ``ControlPlane`` address beside it
    :param backend: its service
    :param zone: its zone
    :param record: hears of starts and ends
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        agent: tuple[str, int],
        backend: str,
        zone: str,
        record: record_module.Record,
        cpu: int = 16000,
    ) -> None:
        self.name = name
        self._address = address
        self._agent = agent
        self._backend = backend
        self._zone = zone
        self._record = record
        self._cpu = cpu
        self._lives = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._handlers: set[asyncio.Task] = set()

    # Lives.

    async def start(self) -> None:
        """Begin a life: a new id, no runs, no fencing token seen."""
        self._lives += 1
        self.id = f"i-{self.name}-{self._lives}"
        self._base = time.monotonic() - 400.0 - 37.0 * self._lives
        self._seq = 0
        self._token = 0
        self._lease_until = 0
        self._lease_timer: asyncio.TimerHandle | None = None
        self.runs: dict[tuple[str, int], _Run] = {}
        self._ended: list[list] = []
        self._end_count = 0
        #: Highest run that was stopped or ended, by task.
        self._closed: dict[str, int] = {}
        self._changed = asyncio.Event()
        #: Set, and replaced, when a renewal extends the lease.
        self.lease_extended = asyncio.Event()
        self._server = await web.serve(*self._address, self._handle)
        self._record.note("executor", f"{self.id} is up")
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """End this life at once, with all that runs."""
        self._record.note("executor", f"{self.id} crashes")
        assert self._server is not None and self._beats is not None
        self._beats.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self._record.ended(self.id, run.task, run.run, "crash")
        self.runs.clear()
        self._server.close()
        for task in list(self._handlers):
            task.cancel()

    # Heartbeats.

    async def _send_heartbeats(self) -> None:
        due = time.monotonic()
        while True:
            self._seq += 1
            answer = await web.call(
                self._agent,
                "POST",
                f"/instances/{self.id}/heartbeat",
                self._heartbeat(),
            )
            status = answer.status if answer else "no answer"
            self._record.note("heartbeat", f"{self.id} {self._seq}: {status}")
            due += HEARTBEAT_S
            await asyncio.sleep(max(0.05, due - time.monotonic()))

    def _heartbeat(self) -> dict:
        return {
            "Backend": self._backend,
            "Address": f"{self._address[0]}:{self._address[1]}",
            "Zone": self._zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdMs": 0,
            "Capacity": {"Cpu": self._cpu, "MemMb": 65536, "Gpu": 0},
            "Labels": ["a", "r1-1"],
            "ClockMs": self._clock_ms(),
            "Seq": self._seq,
        }

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._base) * 1000)

    # Calls.

    async def _handle(self, request: web.Request) -> web.Response:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)
        expected = request.headers.get("expect-instance", self.id)
        if expected != self.id:
            return web.Response.of(421)
        fields = request.json()
        if fields.get("FencingToken", 0) < self._token:
            return self._refuse("fence")
        self._token = fields.get("FencingToken", 0)
        match request.path:
            case "/run-start":
                return self._start_run(fields)
            case "/run-stop":
                return self._stop_run(fields)
            case "/hold":
                return await self._hold(fields)
        return web.Response.of(404)

    def _refuse(self, reason: str) -> web.Response:
        value = {"ClockMs": self._clock_ms(), "Reason": reason}
        return web.Response.of(409, value)

    def _extend(self, deadline_ms: int) -> None:
        limit = self._clock_ms() + HOLD_MAX_MS
        self._lease_until = max(self._lease_until, min(deadline_ms, limit))
        if self._lease_timer is None:
            self._plan_lapse()

    def _plan_lapse(self) -> None:
        left_s = max(0.001, (self._lease_until - self._clock_ms()) / 1000.0)
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        self._lease_timer = None
        if self._clock_ms() < self._lease_until:
            self._plan_lapse()
            return
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _start_run(self, fields: dict) -> web.Response:
        if fields["DeadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(fields["DeadlineMs"])
        key = fields["Task"], fields["Run"]
        if key not in self.runs:
            if fields["Run"] <= self._closed.get(fields["Task"], 0):
                return self._refuse("old")
            spec = json.loads(fields["Spec"])
            run = _Run(*key, spec["work_s"], time.monotonic())
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.work_s, self._end, run, "done")
            self.runs[key] = run
            self._record.started(self.id, *key)
        return web.Response.of(200, {"ClockMs": self._clock_ms()})

    def _stop_run(self, fields: dict) -> web.Response:
        task, number = fields["Task"], fields["Run"]
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, run, "stopped")
        return web.Response.of(200, {"ClockMs": self._clock_ms()})

    def _end(self, run: _Run, how: str) -> None:
        if self.runs.pop((run.task, run.run), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, ""])
        self._record.ended(self.id, run.task, run.run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _hold(self, fields: dict) -> web.Response:
        if "DeadlineMs" in fields:
            self._extend(fields["DeadlineMs"])
            self.lease_extended.set()
            self.lease_extended = asyncio.Event()
        acked = fields.get("AckedUpto", 0)
        self._ended = [row for row in self._ended if row[0] > acked]
        wait_s = fields.get("WaitMs", 0) / 1000.0
        if wait_s and not self._ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            share = min(1.0, (now - run.began) / max(run.work_s, 0.001))
            running.append([run.task, run.run, "", int(100 * share)])
        value = {
            "ClockMs": self._clock_ms(),
            "Running": running,
            "Ended": self._ended[:500],
        }
        return web.Response.of(200, value)
