"""Runs an agent on the platform.

Connects the agent's core, :class:`ferryledge.leases.LeaseAgent`, to the
endpoint over HTTP, to entries over streams, and to the store.
"""

import anyio
from anyio import abc as anyio_abc
import loguru
import msgspec

from ferryledge.hosted import _config_reader
from ferryledge.hosted import _endpoint_record
from ferryledge.hosted import _listening
from ferryledge.hosted import _members
from ferryledge.hosted import _metrics
from ferryledge.hosted import _reload
from ferryledge.hosted import _unreadable
from ferryledge import leases
from ferryledge import logs
from ferryledge import net
from ferryledge import platform
from ferryledge import wire

_DRAIN_POLL_S = 0.02
#: Seconds before the platform's SIGKILL at which this process ends.
_KILL_MARGIN_S = 0.5
#: Minimum seconds between renewals; runs that end within them are reported in
#: one answer.
_RENEW_PAUSE_S = 0.004
#: Seconds to wait for the store before seeds are dialled, which spares the few
#: seeds a handshake with every agent.
_SEED_DELAY_S = 0.3
#: Seconds between reads of the store while no entry is connected.
_REDISCOVER_S = 3.0


class HostedAgent:
    """One agent process.

    :param settings: checked settings
    :param keys: the accepted shared keys for streams
    :param listeners: sockets that are already open; defaults to none
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
        self._registry = _metrics.Registry("agent")
        self._unreadable = _unreadable.UnreadableValues(self._registry)
        self._endpoint_record = _endpoint_record.EndpointRecord(
            self._store,
            settings.node,
            settings.store.partitions,
            self._unreadable.note_record,
        )
        self._group: anyio_abc.TaskGroup | None = None
        #: Set by the endpoint's next heartbeat.
        self._heartbeat_received = anyio.Event()
        #: Whether the store has returned any entry.
        self._entries_known = False

    def unfinished(self) -> str:
        """Describe the unfinished work, for the log."""
        return "running tasks"

    def reload(self) -> None:
        """Reload the settings; invalid ones change nothing."""
        self._settings = _reload.reload_settings(self._settings, self._store)

    async def run(self, drain: anyio.Event) -> None:
        """Serve until the event is set, then wait for open runs and return.

        :param drain: set when the process is to stop
        """
        settings = self._settings
        timing = leases.LeaseTiming.within(
            settings.max_lease_s, settings.max_stop_s
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
            self._core, self._perform, self._write_notes, self._core.tick_by
        )
        self._mesh = net.Mesh(self._keys, self._hello, self._on_event)
        self._config_reader = _config_reader.ConfigReader(
            self._store, settings, self._mesh.send
        )
        self._dialler = _members.Dialler(self._mesh)
        self._calls = platform.EndpointCalls(
            settings.endpoint, self._driver.now, self._unreadable.note_answer
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
            group.start_soon(self._restore_endpoint)
            group.start_soon(self._endpoint_record.run)
            group.start_soon(self._discover_entries)
            group.start_soon(self._config_reader.run)
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
        if not self._config_reader.handle(event):
            self._driver.post(event)

    async def _finish(self) -> None:
        grace_s = self._settings.bounds.grace_s - _KILL_MARGIN_S
        until = self._driver.now() + grace_s
        self._driver.post(leases.AgentDrain(until))
        with anyio.move_on_after(grace_s):
            while not self._core.idle:
                await anyio.sleep(_DRAIN_POLL_S)
        loguru.logger.info("agent stopped", step="drain")

    async def _restore_endpoint(self) -> None:
        heartbeat = await self._endpoint_record.load()
        if heartbeat is not None:
            self._driver.post(leases.EndpointRestored(heartbeat))

    async def _discover_entries(self) -> None:
        assert self._group is not None
        self._group.start_soon(self._dial_seeds)
        while True:
            address = self._settings.store.address
            await _members.read_once(
                address, self._on_entries, self._unreadable.note_record
            )
            await anyio.sleep(_REDISCOVER_S)
            while self._mesh.names():
                await anyio.sleep(_REDISCOVER_S)

    async def _dial_seeds(self) -> None:
        """Dial the seeds unless the store returns an entry soon."""
        settings = self._settings
        assert self._group is not None
        await anyio.sleep(_SEED_DELAY_S)
        if not self._entries_known:
            self._dialler.dial_seeds(
                self._group,
                _members.seed_hosts(settings),
                settings.stream_port,
            )

    def _on_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        self._entries_known = self._entries_known or bool(entries)
        self._driver.post(leases.EntriesFound(entries))

    # The endpoint.

    async def _renew(self) -> None:
        """Renew the endpoint's lease until cancelled."""
        while True:
            renewal = self._core.renewal(self._driver.now())
            answer = await self._calls.renew(renewal)
            self._driver.post(answer)
            if isinstance(answer, leases.LeaseNotRenewed):
                with anyio.move_on_after(renewal.retry_s):
                    await self._heartbeat_received.wait()
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
            "unencodable_messages",
            "Messages that were lost with their stream",
            lambda: self._mesh.unencodable,
        )
        gauge(
            "config_entries",
            "Entries that configurations are read for",
            lambda: self._config_reader.entries,
        )
        gauge(
            "slowness_ratio",
            "How many times as long runs take as they should",
            lambda: core.slowness,
        )

    def _write_notes(self) -> None:
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
            case leases.SaveEndpoint(heartbeat):
                self._endpoint_record.save(heartbeat)
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
                self._mesh.cancel_reopen(peer)
            case leases.DialEntries(entries):
                self._dialler.forget_seeds()
                self._dialler.dial(group, entries)
            case leases.DisconnectEntry(name):
                self._dialler.drop(name)

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
                event = platform.parse_deregister(endpoint_id, body)
                self._driver.post(event)
                return net.HttpResponse.json(200, {})
        return net.HttpResponse.json(404, {"error": "no such page"})

    def _heartbeat(self, endpoint_id: str, body: bytes) -> net.HttpResponse:
        try:
            heartbeat = platform.parse_heartbeat(endpoint_id, body)
        except platform.HeartbeatError as exc:
            loguru.logger.warning("{}", exc, step="heartbeat")
            return net.HttpResponse.json(400, {"error": str(exc)})
        self._driver.post(heartbeat)
        self._heartbeat_received.set()
        self._heartbeat_received = anyio.Event()
        return net.HttpResponse.json(200, {})
