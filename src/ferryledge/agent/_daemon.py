"""The agent process: connects the agent's core to the network.

The core takes all decisions. This module passes it the events of its peers
and of the endpoint, and carries out the actions that it returns.
"""

import typing

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge.agent import _endpoint
from ferryledge.agent import _settings
from ferryledge import core
from ferryledge import runtime

_DRAIN_POLL_S = 0.02
#: Seconds between the last message and the close of the streams, so that peers
#: can read it.
_FLUSH_DELAY_S = 0.1
#: Longest wait in seconds until the entries have read that this agent drains.
#: An entry that takes longer counts as lost.
_KNOWN_AFTER_S = 10.0
#: The task's owner and its sequence number there.
_TaskKey = tuple[str, int]


class Agent:
    """Runs tasks on one endpoint for the entries that connect.

    :param settings: validated settings
    :param metrics: registry for the agent's metrics; without one, ``/metrics``
        is not served
    """

    def __init__(
        self,
        settings: _settings.AgentSettings,
        metrics: runtime.Metrics | None = None,
    ) -> None:
        self._settings = settings
        identity = core.Identity(
            settings.name,
            runtime.new_incarnation(),
            settings.zone,
            settings.region,
        )
        options = core.AgentOptions(
            slots=settings.slots,
            connections=settings.connections,
            memory_mb=settings.memory_mb,
            ticket_life_s=settings.ticket_life_s,
            result_retention_s=settings.result_retention_s,
        )
        self._core = core.AgentCore(identity, options)
        self._driver = runtime.Driver(self._core, self._perform)
        self._mesh = runtime.Mesh(
            settings.keys, self._core.hello, self._driver.post
        )
        self._endpoint = _endpoint.EndpointClient(
            settings.endpoint_url, settings.connections
        )
        self._metrics = metrics
        #: Calls of the endpoint, including those that did not reach it.
        self._call_count = 0
        self._calls: dict[_TaskKey, anyio.CancelScope] = {}
        self._group: anyio_abc.TaskGroup | None = None
        #: Bound TCP port for peers; 0 until :meth:`run` listens on it.
        self.peer_port = 0
        #: Bound TCP port for HTTP; 0 until :meth:`run` listens on it.
        self.http_port = 0
        if metrics is not None:
            self._add_gauges(metrics)

    @property
    def mesh(self) -> runtime.Mesh:
        """The streams to other processes."""
        return self._mesh

    def unfinished(self) -> str:
        """Describe the unfinished work, for the log."""
        return f"{self._core.running} tasks"

    async def run(
        self,
        drain: anyio.Event,
        *,
        task_status: anyio_abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until the event is set, then drain and return.

        :param drain: set to stop taking tasks
        :param task_status: reports that both ports are bound
        """
        settings = self._settings
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._driver.run)
            self.peer_port = await group.start(
                self._mesh.listen, settings.host, settings.peer_port
            )
            self.http_port = await group.start(
                runtime.serve_http,
                runtime.asgi_app(self._handle),
                settings.host,
                settings.http_port,
                stop,
            )
            loguru.logger.info(
                "agent ready",
                step="join",
                peer_port=self.peer_port,
                http_port=self.http_port,
            )
            task_status.started()
            await drain.wait()
            await self._drain()
            stop.set()
            group.cancel_scope.cancel()
        await self._endpoint.close()

    async def _drain(self) -> None:
        """Refuse new tasks and wait up to ``drain_s`` for running ones."""
        self._driver.post(core.DrainRequested())
        with anyio.move_on_after(self._settings.drain_s):
            # An order may be in flight from an entry that does not know yet.
            all_know = await self._wait_until_known()
            # Clients may still use the tickets that this agent arbitrates.
            await anyio.sleep(self._settings.ticket_linger_s)
            while self._is_busy():
                await anyio.sleep(_DRAIN_POLL_S)
            if all_know:
                # Others may have connected since.
                await self._wait_until_known()
            # The last results are on the streams by then.
            await anyio.sleep(_DRAIN_POLL_S)
            while self._mesh.unsent:
                await anyio.sleep(_DRAIN_POLL_S)
        await anyio.sleep(_FLUSH_DELAY_S)
        loguru.logger.info("agent stopped", step="drain")

    async def _wait_until_known(self) -> bool:
        """Wait until all connected entries know that this agent drains.

        :return: whether they do; false if one takes too long
        """
        with anyio.move_on_after(_KNOWN_AFTER_S):
            while not self._core.is_drain_known:
                await anyio.sleep(_DRAIN_POLL_S)
        return self._core.is_drain_known

    def _is_busy(self) -> bool:
        return (
            bool(self._core.tickets_in_use)
            or self._core.awaits_schedulers
            or not self._core.idle
            or bool(self._calls)
        )

    def _perform(self, action: core.Action) -> None:
        match action:
            case core.Send(peer, message):
                self._mesh.send(peer, message)
            case core.RunTask():
                assert self._group is not None
                self._group.start_soon(self._run_task, action)
            case core.StopTask(owner, seq):
                scope = self._calls.get((owner, seq))
                if scope is not None:
                    scope.cancel()
            case _:
                raise TypeError(f"unsupported action of an agent: {action!r}")

    async def _run_task(self, task: core.RunTask) -> None:
        key = (task.owner, task.seq)
        started = anyio.current_time()
        result = _endpoint.TaskResult(False, b"stopped")
        self._call_count += 1
        with anyio.CancelScope() as scope:
            self._calls[key] = scope
            result = await self._endpoint.run(task)
        del self._calls[key]
        if not result.ok:
            loguru.logger.info(
                "task failed: {}",
                result.body.decode(errors="replace"),
                step="run",
                peer=self._settings.endpoint_url,
                job=task.submission,
                task=task.index,
            )
        self._driver.post(
            core.TaskEnded(
                task.owner,
                task.seq,
                result.ok,
                result.body,
                anyio.current_time() - started,
                result.started,
            )
        )

    async def _handle(self, request: runtime.Request) -> runtime.HttpResponse:
        match request.method, request.parts:
            case "GET", ("health", "live"):
                return runtime.HttpResponse.json(200, {"live": True})
            case "GET", ("health", "ready"):
                ready = not self._core.draining
                return runtime.HttpResponse.json(
                    200 if ready else 503, {"ready": ready}
                )
            case "GET", ("v1", "status"):
                return runtime.HttpResponse.json(200, self._status())
            case "GET", ("metrics",) if self._metrics is not None:
                return runtime.HttpResponse(
                    200, self._metrics.render(), content_type="text/plain"
                )
        return runtime.HttpResponse.json(404, {"error": "no such page"})

    def _status(self) -> dict[str, typing.Any]:
        hello = self._core.hello()
        return {
            "name": hello.name,
            "incarnation": hello.incarnation,
            "role": hello.role,
            "zone": hello.zone,
            "slots": hello.slots,
            "running": self._core.running,
            "started": self._call_count,
            "leaving": hello.leaving,
            "config_version": hello.config_version,
        }

    def _add_gauges(self, metrics: runtime.Metrics) -> None:
        metrics.gauge(
            "tasks_running",
            "Tasks that run now.",
            lambda: float(self._core.running),
        )
        metrics.gauge(
            "tasks_started",
            "Tasks started since the process began.",
            lambda: float(self._call_count),
        )
        metrics.gauge(
            "streams_refused",
            "Streams refused for lack of a key.",
            lambda: float(self._mesh.refused),
        )
        metrics.gauge(
            "messages_sent",
            "Messages sent to entries.",
            lambda: float(self._mesh.messages_sent),
        )
