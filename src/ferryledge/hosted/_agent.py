"""The agent's shell on the platform: heartbeats, orders, renewals."""

import anyio
from anyio import abc as anyio_abc
import loguru
import msgspec

from ferryledge.hosted import _config_reader
from ferryledge.hosted import _listening
from ferryledge.hosted import _members
from ferryledge.hosted import _memory
from ferryledge.hosted import _metrics
from ferryledge.hosted import _reload
from ferryledge import leases
from ferryledge import logs
from ferryledge import net
from ferryledge import platform
from ferryledge import wire

_DRAIN_POLL_S = 0.02
#: Seconds before the platform's kill at which this process ends.
_KILL_MARGIN_S = 0.5
#: Seconds between renewals at the least: ends within it share an answer.
_RENEW_PAUSE_S = 0.004
#: Seconds that the store has for its answer before seeds are dialled: they
#: are few, and each agent that dials one takes a handshake of it.
_STORE_FIRST_S = 0.3
#: Seconds between looks at the store while no entry is connected.
_LOOK_AGAIN_S = 3.0


class HostedAgent:
    """One agent process.

    :param settings: checked settings
    :param keys: the accepted shared keys for streams
    :param listeners: the sockets that listen already; none is no socket
    """

    def __init__(
        self,
        settings: platform.Settings,
        keys: tuple[str, ...],
        listeners: _listening.Listeners | None = None,
    ) -> None:
        self._settings = settings
        self._listeners = listeners or _listening.Listeners()
        self._keys = keys
        self._store = platform.StoreClient(settings.store.address)
        self._memory = _memory.EndpointMemory(
            self._store, settings.node, settings.store.partitions
        )
        self._group: anyio_abc.TaskGroup | None = None
        #: Set by the endpoint's next heartbeat.
        self._heard = anyio.Event()
        #: Whether some entry is known.
        self._found = False

    def unfinished(self) -> str:
        """Return what is in flight, for the log."""
        return "running tasks"

    def reload(self) -> None:
        """Take over changed settings; wrong ones change nothing."""
        self._settings = _reload.reload_settings(self._settings, self._store)

    async def run(self, drain: anyio.Event) -> None:
        """Serve until the event is set and the runs have ended."""
        settings = self._settings
        self._registry = _metrics.Registry("agent")
        timing = leases.LeaseTiming.within(
            settings.longest_lease_s, settings.stop_s
        )
        self._core = leases.LeaseAgent(
            settings.node,
            net.new_incarnation(),
            settings.zone,
            anyio.current_time(),
            timing,
            meter=_metrics.AgentMetrics(self._registry),
        )
        self._log = logs.DecisionLog()
        self._driver = net.Driver(
            self._core, self._perform, self._ticked, self._core.tick_by
        )
        self._mesh = net.Mesh(self._keys, self._hello, self._on_event)
        self._reader = _config_reader.ConfigReader(
            self._store, settings, self._mesh.send
        )
        self._dialler = _members.Dialler(self._mesh)
        self._calls = platform.EndpointCalls(
            settings.endpoint, self._driver.now
        )
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            self._group = group
            host, port = platform.split_address(
                settings.listen_addrs.control_plane
            )
            await group.start(
                net.serve_http,
                net.asgi_app(self._handle),
                host,
                port,
                stop,
                None,
                self._listeners.take((host, port)),
            )
            self._add_gauges()
            group.start_soon(self._registry.serve, settings.stream_host)
            group.start_soon(self._driver.run)
            group.start_soon(self._renew)
            group.start_soon(self._recall_endpoint)
            group.start_soon(self._memory.run)
            group.start_soon(self._find_entries)
            group.start_soon(self._reader.run)
            loguru.logger.info("agent ready", step="join")
            await drain.wait()
            await self._finish()
            group.cancel_scope.cancel()

    def _hello(self) -> wire.Hello:
        narrow = leases.is_narrow_link(self._settings.link_bytes_per_s)
        return msgspec.structs.replace(
            self._core.hello(), reads_configs=not narrow
        )

    def _on_event(self, event: wire.StreamEvent) -> None:
        if not self._reader.take(event):
            self._driver.post(event)

    async def _finish(self) -> None:
        grace_s = self._settings.bounds.grace_s - _KILL_MARGIN_S
        until = self._driver.now() + grace_s
        self._driver.post(leases.AgentDrain(until))
        with anyio.move_on_after(grace_s):
            while not self._core.idle:
                await anyio.sleep(_DRAIN_POLL_S)
        loguru.logger.info("agent stopped", step="drain")

    async def _recall_endpoint(self) -> None:
        seen = await self._memory.recall()
        if seen is not None:
            self._driver.post(leases.EndpointRestored(seen))

    async def _find_entries(self) -> None:
        assert self._group is not None
        self._group.start_soon(self._dial_seeds)
        while True:
            address = self._settings.store.address
            await _members.read_once(address, self._on_found)
            await anyio.sleep(_LOOK_AGAIN_S)
            while self._mesh.names():
                await anyio.sleep(_LOOK_AGAIN_S)

    async def _dial_seeds(self) -> None:
        """Dial the seeds if the store tells of no entry soon."""
        settings = self._settings
        assert self._group is not None
        await anyio.sleep(_STORE_FIRST_S)
        if not self._found:
            hosts = [platform.split_address(one)[0] for one in settings.seeds]
            self._dialler.dial_seeds(self._group, hosts, settings.stream_port)

    def _on_found(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        self._found = self._found or bool(entries)
        self._driver.post(leases.EntriesFound(entries))

    # The endpoint.

    async def _renew(self) -> None:
        """Renew the endpoint's lease for ever."""
        while True:
            renewal = self._core.renewal(self._driver.now())
            answer = await self._calls.renew(renewal)
            self._driver.post(answer)
            if isinstance(answer, leases.LeaseNotRenewed):
                with anyio.move_on_after(renewal.retry_s):
                    await self._heard.wait()
            else:
                await anyio.sleep(_RENEW_PAUSE_S)

    def _add_gauges(self) -> None:
        gauge = self._registry.gauge
        core = self._core
        gauge(
            "runs", "Runs that the endpoint may hold", lambda: len(core.runs)
        )
        gauge(
            "held_cpu_millis",
            "Thousandths of a core that runs take",
            lambda: core.runs.held.cpu_millis,
        )
        gauge(
            "config_entries",
            "Entries that configurations are read for",
            lambda: self._reader.entries,
        )
        gauge(
            "slowness_ratio",
            "How many times as long runs take as they should",
            lambda: core.slowness,
        )

    def _ticked(self) -> None:
        self._log.write(self._driver.now(), self._core.pop_notes())

    def _perform(self, action: leases.AgentAction) -> None:
        assert self._group is not None
        match action:
            case leases.SendMessage(peer, message):
                self._mesh.send(peer, message)
            case leases.StartRun():
                self._group.start_soon(self._start, action)
            case leases.StopRun():
                self._group.start_soon(self._stop, action)
            case leases.ListRuns(renewal):
                self._group.start_soon(self._list_runs, renewal)
            case leases.SaveEndpoint(seen):
                self._memory.remember(seen)
            case _:
                self._change_streams(self._group, action)

    def _change_streams(
        self, group: anyio_abc.TaskGroup, action: leases.AgentAction
    ) -> None:
        match action:
            case leases.CloseStream(peer):
                self._mesh.close(peer)
            case leases.ReopenStream(peer):
                group.start_soon(self._mesh.reopen, peer)
            case leases.CancelReopen(peer):
                self._mesh.keep(peer)
            case leases.DialEntries(entries):
                self._dialler.forget_seeds()
                self._dialler.dial(group, entries)
            case leases.DisconnectEntry(name):
                self._dialler.leave(name)

    async def _start(self, order: leases.StartRun) -> None:
        self._driver.post(await self._calls.start(order))

    async def _list_runs(self, renewal: leases.Renewal) -> None:
        self._driver.post(await self._calls.list_runs(renewal))

    async def _stop(self, order: leases.StopRun) -> None:
        self._driver.post(await self._calls.stop(order))

    async def _handle(self, request: net.Request) -> net.HttpResponse:
        match request.method, request.parts:
            case "POST", ("instances", endpoint_id, "heartbeat"):
                return self._heartbeat(endpoint_id, await request.body())
            case "POST", ("instances", endpoint_id, "deregister"):
                body = await request.body()
                left = platform.parse_deregister(endpoint_id, body)
                self._driver.post(left)
                return net.HttpResponse.json(200, {})
        return net.HttpResponse.json(404, {"error": "no such page"})

    def _heartbeat(self, endpoint_id: str, body: bytes) -> net.HttpResponse:
        try:
            seen = platform.parse_heartbeat(endpoint_id, body)
        except platform.HeartbeatError as exc:
            loguru.logger.warning("{}", exc, step="heartbeat")
            return net.HttpResponse.json(400, {"error": str(exc)})
        self._driver.post(seen)
        self._heard.set()
        self._heard = anyio.Event()
        return net.HttpResponse.json(200, {})
