"""A stand-in for an endpoint that speaks the platform's protocol."""

from collections import abc
import contextlib
import enum
import json
import random
import typing

import anyio

from ferryledge import leases
from ferryledge import net
from ferryledge.platform.standin import _connections
from ferryledge import standin
from ferryledge import wire

#: Seconds between updates of the running tasks.
_PROGRESS_INTERVAL_S = 0.01
_HEARTBEAT_INTERVAL_S = 0.5
_HEARTBEAT_TIMEOUT_S = 1.0

_START_STATUS = {
    leases.StartResult.STARTED: (200, ""),
    leases.StartResult.FENCED: (409, "fence"),
    leases.StartResult.RUN_NUMBER: (409, "old"),
    leases.StartResult.LATE: (409, "late"),
    leases.StartResult.REPLACED: (421, ""),
}


class RunNotice(enum.StrEnum):
    """What an agent told the endpoint about a run."""

    #: The agent ordered a stop of an active run.
    STOP_ORDERED = "stop ordered"
    #: The agent ordered that, but the endpoint doesn't carry it out.
    STOP_IGNORED = "stop ignored"
    #: The agent acknowledged the end of the run.
    ACKNOWLEDGED = "acknowledged"


OnRunNotice = abc.Callable[[RunNotice, leases.RunKey, str], None]


def _ignore(what: RunNotice, key: leases.RunKey, endpoint: str) -> None:
    """Do nothing, as nobody listens."""


def _parse_run_key(task: str, run: int) -> leases.RunKey:
    job, _, step, index = task.rsplit(".", 3)
    return leases.RunKey(job, int(step), int(index), run)


def _task_name(key: leases.RunKey) -> str:
    return f"{key.job}.0.{key.step}.{key.index}"


class EndpointServer:
    """Serves a simulated endpoint and sends heartbeats to its agent.

    :param service: name of the service whose tasks the endpoint runs
    :param host: IP address to listen on
    :param port: port to listen on
    :param agent_url: base URL of the agent
    :param model: the simulated endpoint
    :param rng: selects the calls that are delayed
    :param on_notice: called with what the agent tells of a run, the run's
        key and the endpoint's name
    """

    def __init__(
        self,
        service: str,
        host: str,
        port: int,
        agent_url: str,
        model: standin.LeasedEndpoint,
        rng: random.Random,
        on_notice: OnRunNotice = _ignore,
    ) -> None:
        self.model = model
        #: Share of the calls that are executed late and answered only after
        #: their timeout.
        self.late_orders = 0.0
        #: Whether stops are neither carried out nor answered in time.
        self.ignores_stops = False
        #: Number of accepted renewals that extended the lease.
        self.renewals = 0
        self._service = service
        self._host = host
        self._port = port
        self._caller = net.HttpClient(agent_url, 1)
        self._rng = rng
        self._on_notice = on_notice
        self._app = _connections.SilentConnections(net.asgi_app(self.handle))
        #: Start time of the endpoint, and when the agent first answered a
        #: heartbeat of this start that reported draining.
        self._drain_reported: tuple[int, float] | None = None

    @property
    def draining_for_s(self) -> float:
        """Seconds since draining was reported to the agent; 0 if it wasn't."""
        if self._drain_reported is None or not self.model.draining:
            return 0.0
        born_ms, reported_at = self._drain_reported
        if born_ms != self.model.born_ms:
            return 0.0
        return anyio.current_time() - reported_at

    async def run(self) -> None:
        """Serve calls and send heartbeats until cancelled."""
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            await group.start(
                net.serve_http,
                self._app,
                self._host,
                self._port,
                stop,
            )
            group.start_soon(self._progress)
            group.start_soon(self._send_heartbeats)

    def silence(self) -> None:
        """Answer nothing on the open connections; new ones work."""
        self._app.silence()

    async def _progress(self) -> None:
        while True:
            self.model.advance(anyio.current_time())
            await anyio.sleep(_PROGRESS_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.model.up:
                with contextlib.suppress(net.CallError):
                    await self._send_heartbeat()
            await anyio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self) -> None:
        model = self.model
        capacity = model.capacity
        body: dict[str, object] = {
            "Backend": self._service,
            "Address": f"{self._host}:{self._port}",
            "Zone": "north",
            "Version": "v1",
            "Slots": 8,
            "ColdMs": 0,
            "State": "draining" if model.draining else "ready",
            "Capacity": {
                "Cpu": capacity.cpu_millis,
                "MemMb": capacity.memory_mb,
                "Gpu": capacity.gpus,
            },
            "Labels": [],
            "ClockMs": model.clock_ms(anyio.current_time()),
            "Seq": model.next_heartbeat(),
            "born": model.born_ms,
        }
        draining, born_ms = model.draining, model.born_ms
        response = await self._caller.call(
            "POST",
            f"/instances/{model.endpoint_id}/heartbeat",
            json.dumps(body).encode(),
            answer_s=_HEARTBEAT_TIMEOUT_S,
        )
        if not draining:
            self._drain_reported = None
        elif response.status == 200 and not self.draining_for_s:
            self._drain_reported = (born_ms, anyio.current_time())

    async def handle(self, request: net.Request) -> net.HttpResponse:
        """Answer a call from the agent."""
        fields = json.loads(await request.body())
        if not self.model.up:
            await anyio.sleep(_HEARTBEAT_TIMEOUT_S)
            return net.HttpResponse.json(503, {})
        incarnation = request.header("expect-instance")
        if self._rng.random() < self.late_orders:
            await anyio.sleep(self._rng.uniform(1.0, 4.0))
            self._execute(request.path, fields, incarnation)
            await anyio.sleep(_HEARTBEAT_TIMEOUT_S)
        if request.path == "/run-stop" and self.ignores_stops:
            key = _parse_run_key(fields["Task"], fields["Run"])
            if key in self.model.runs:
                self._on_notice(RunNotice.STOP_IGNORED, key, self.model.name)
            await anyio.sleep(_HEARTBEAT_TIMEOUT_S)
            return net.HttpResponse.json(503, {})
        if request.path == "/hold":
            return await self._renew(fields, incarnation)
        return self._execute(request.path, fields, incarnation)

    def _execute(
        self,
        path: str,
        fields: abc.Mapping[str, typing.Any],
        incarnation: str,
    ) -> net.HttpResponse:
        now = anyio.current_time()
        clock = {"ClockMs": self.model.clock_ms(now)}
        if path == "/hold":
            return net.HttpResponse.json(200, clock)
        key = _parse_run_key(fields["Task"], fields["Run"])
        token = fields["FencingToken"]
        if path == "/run-stop":
            if key in self.model.runs:
                self._on_notice(RunNotice.STOP_ORDERED, key, self.model.name)
            stop = leases.StopRun(key, incarnation, token)
            done = self.model.stop(now, stop)
            return net.HttpResponse.json(200 if done else 409, clock)
        start = leases.StartRun(
            key, fields["Spec"], incarnation, fields["DeadlineMs"], token
        )
        status, reason = _START_STATUS[self.model.start(now, start)]
        return net.HttpResponse.json(status, {**clock, "Reason": reason})

    async def _renew(
        self, fields: abc.Mapping[str, typing.Any], incarnation: str
    ) -> net.HttpResponse:
        now = anyio.current_time()
        born_ms = self.model.born_ms
        renewal = leases.Renewal(
            incarnation,
            fields.get("DeadlineMs", 0),
            fields["FencingToken"],
            fields["AckedUpto"],
            0,
        )
        listed = self.model.ended
        answer = self.model.renew(now, now, renewal)
        for end in listed:
            if end not in self.model.ended:
                self._on_notice(
                    RunNotice.ACKNOWLEDGED, end.key, self.model.name
                )
        if renewal.lease_until_ms and isinstance(answer, leases.LeaseRenewed):
            self.renewals += 1
        wait_until = now + fields.get("WaitMs", 0) / 1000.0
        while (
            isinstance(answer, leases.LeaseRenewed)
            and not answer.ended
            and anyio.current_time() < wait_until
        ):
            await anyio.sleep(_PROGRESS_INTERVAL_S)
            listing = leases.Renewal(
                incarnation, 0, renewal.token, renewal.acknowledged, 0
            )
            if not self._is_same_start(born_ms):
                # The endpoint went down during the call, so its caller must
                # get no answer in time.
                await anyio.sleep(_HEARTBEAT_TIMEOUT_S)
                return net.HttpResponse.json(503, {})
            answer = self.model.renew(anyio.current_time(), now, listing)
        return _render_answer(answer)

    def _is_same_start(self, born_ms: int) -> bool:
        """Return whether the endpoint is up and has not restarted."""
        return self.model.up and self.model.born_ms == born_ms


def _render_answer(
    answer: leases.LeaseRenewed | leases.LeaseNotRenewed,
) -> net.HttpResponse:
    match answer:
        case leases.LeaseNotRenewed(leases.CallFault.REPLACED):
            return net.HttpResponse.json(421, {})
        case leases.LeaseNotRenewed(_, _, clock_ms):
            return net.HttpResponse.json(
                409, {"ClockMs": clock_ms, "Reason": "fence"}
            )
    running = [
        [_task_name(run.key), run.key.run, "", int((run.done or 0.0) * 100), 0]
        for run in answer.running
    ]
    ended = [
        [end.number, _task_name(end.key), end.key.run, str(end.how), ""]
        for end in answer.ended
    ]
    return net.HttpResponse.json(
        200,
        {
            "ClockMs": answer.clock_ms,
            "Running": running,
            "Ended": ended,
            "born": answer.born_ms,
        },
    )


def need_of(spec: str) -> wire.Resources:
    """Return the resources of a task from its job's JSON spec."""
    fields = json.loads(spec)
    return wire.Resources(fields["cpu"], fields["memory"], 0)
