"""Runs an entry on the platform.

Connects the entry's core, :class:`ferryledge.leases.LeaseEntry`, to clients
over HTTP, to other processes over streams, and to the store.
"""

import itertools
import random

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge.hosted import _config_decoder
from ferryledge.hosted import _config_pace
from ferryledge.hosted import _entry_config
from ferryledge.hosted import _first_answer
from ferryledge.hosted import _job_queries
from ferryledge.hosted import _listening
from ferryledge.hosted import _members
from ferryledge.hosted import _metrics
from ferryledge.hosted import _reload
from ferryledge.hosted import _unreadable
from ferryledge import leases
from ferryledge import logs
from ferryledge import net
from ferryledge import outcomes
from ferryledge import platform
from ferryledge import wire

_DRAIN_POLL_S = 0.02
#: Seconds after SIGTERM in which new connections may still arrive: the
#: platform's load balancer checks readiness once a second and stops sending
#: after two failed checks.
_CONNECTION_LINGER_S = 2.5
#: Seconds before the platform's SIGKILL at which this process ends.
_KILL_MARGIN_S = 0.6
#: Seconds at the end for sending pending answers.
_FLUSH_S = 0.1
#: Seconds that a request waits for the first configuration before it is
#: refused; a later refusal would count as late. Most starts have it sooner.
_CONFIG_WAIT_S = 0.6
#: Seconds after which a refused client may retry.
_RETRY_S = 1.0


class _PendingRequest:
    """A client's request that waits for its job's outcome."""

    def __init__(self) -> None:
        self.ready = anyio.Event()
        self.outcome: outcomes.JobOutcome | None = None


class HostedEntry:
    """One entry process.

    :param settings: checked settings
    :param keys: the accepted shared keys for streams
    :param handovers: whether entries hand jobs over to each other
    :param listeners: sockets that are already open; defaults to none
    """

    def __init__(
        self,
        settings: platform.Settings,
        keys: tuple[str, ...],
        handovers: bool = True,
        listeners: _listening.Listeners | None = None,
    ) -> None:
        self._settings = settings
        self._listeners = listeners or _listening.Listeners()
        self._registry = _metrics.Registry("entry")
        self._unreadable = _unreadable.UnreadableValues(self._registry)
        decoder = _config_decoder.ConfigDecoder()
        self._core = leases.LeaseEntry(
            settings.node,
            net.new_incarnation(),
            settings.zone,
            random.Random(settings.node),
            leases.LeaseTiming.within(
                settings.max_lease_s, settings.max_stop_s
            ),
            remote_factor=settings.bounds.far_x,
            meter=_metrics.EntryMetrics(self._registry),
            link_bytes_per_s=settings.link_bytes_per_s,
            rules=leases.EntryRules(hands_on=handovers),
            accepts_config=decoder.accepts,
        )
        self._log = logs.DecisionLog()
        self._driver = net.Driver(
            self._core, self._perform, self._write_notes, self._core.tick_by
        )
        self._mesh = net.Mesh(keys, self._core.hello, self._driver.post)
        self._dialler = _members.Dialler(self._mesh, settings.node)
        window_bytes = _config_pace.window_bytes(settings.link_bytes_per_s)
        self._store = platform.StoreClient(
            settings.store.address, window_bytes
        )
        self._config = _entry_config.EntryConfig(
            settings,
            self._store,
            self._core,
            self._driver.post,
            self._registry,
            decoder,
        )
        self._group: anyio_abc.TaskGroup | None = None
        self._tokens = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._queries = _job_queries.JobQueries(
            self._driver, self._tokens, self._registry
        )
        #: Whether new connections are directed to other entries.
        self._draining = False
        #: Whether new jobs are refused.
        self._refusing = False

    def unfinished(self) -> str:
        """Describe the unfinished work, for the log."""
        return f"{self._core.open_jobs} jobs of clients"

    def reload(self) -> None:
        """Reload the settings; invalid ones change nothing."""
        self._settings = _reload.reload_settings(self._settings, self._store)

    async def run(self, drain: anyio.Event) -> None:
        """Serve until the event is set, then answer open jobs and return.

        :param drain: set when the process is to stop
        """
        settings = self._settings
        # Never set: the servers end when the task group is cancelled.
        stop = anyio.Event()
        release = anyio.Event()
        own = wire.EntryAddress(
            settings.node, settings.ip, settings.stream_port
        )
        async with anyio.create_task_group() as group:
            self._group = group
            stream_address = settings.stream_host, settings.stream_port
            listener = self._listeners.take(stream_address)
            await group.start(self._mesh.listen, *stream_address, listener)
            group.start_soon(self._driver.run)
            self._driver.post(leases.EntriesFound((own,)))
            addresses = settings.listen_addrs
            await self._serve(group, addresses.readiness, stop)
            await self._serve(group, addresses.frontend, stop, release)
            self._add_gauges()
            group.start_soon(self._registry.serve, settings.stream_host)
            hosts = [
                host
                for host in _members.seed_hosts(settings)
                if host != settings.ip
            ]
            self._dialler.dial_seeds(group, hosts, settings.stream_port)
            group.start_soon(_members.register, self._store, own)
            group.start_soon(
                _members.follow,
                self._store,
                settings.store.address,
                self._on_entries,
                self._unreadable.note_record,
            )
            group.start_soon(
                _first_answer.run,
                self._config.run,
                lambda: _first_answer.probe(settings.store.address),
                self._config.loaded,
            )
            loguru.logger.info("entry ready", step="join")
            await drain.wait()
            await self._finish(release)
            group.cancel_scope.cancel()

    async def _serve(
        self,
        group: anyio_abc.TaskGroup,
        address: str,
        stop: anyio.Event,
        release: anyio.Event | None = None,
    ) -> None:
        host, port = platform.split_address(address)
        app = net.asgi_app(self._handle)
        listener = self._listeners.take((host, port))
        await group.start(
            net.serve_http, app, host, port, stop, release, listener
        )

    async def _finish(self, release: anyio.Event) -> None:
        """Answer the jobs that end within the grace period, then stop.

        :param release: set to close idle keep-alive connections
        """
        self._draining = True
        grace_s = self._settings.bounds.grace_s - _KILL_MARGIN_S
        until = self._driver.now() + grace_s
        self._driver.post(leases.EntryDrain(until))
        with anyio.move_on_after(grace_s):
            await anyio.sleep(_CONNECTION_LINGER_S)
            release.set()
            # Incoming handovers of other entries count as open jobs, too.
            while (
                self._pending or self._queries.waiting or self._core.open_jobs
            ):
                await anyio.sleep(_DRAIN_POLL_S)
        self._refusing = True
        self._driver.post(leases.EntryStop())
        await anyio.sleep(_FLUSH_S)
        loguru.logger.info("entry stopped", step="drain")

    def _add_gauges(self) -> None:
        gauge = self._registry.gauge
        core = self._core
        gauge("open_jobs", "Jobs whose clients wait", lambda: core.open_jobs)
        gauge(
            "waiting_tasks",
            "Tasks that nothing is ordered for",
            lambda: core.waiting_tasks,
        )
        gauge(
            "usable_agents",
            "Agents that take work",
            lambda: core.usable_agents(self._driver.now()),
        )
        gauge(
            "unencodable_messages",
            "Messages that were lost with their stream",
            lambda: self._mesh.unencodable,
        )
        gauge(
            "link_wait_seconds",
            "What is sent now waits so long at the machine's link",
            lambda: core.link.wait_s(self._driver.now()),
        )
        gauge(
            "config_version",
            "Version of the configuration in force",
            lambda: core.peers.version,
        )

    def _write_notes(self) -> None:
        self._log.write(self._driver.now(), self._core.pop_notes())

    def _perform(self, action: leases.EntryAction) -> None:
        assert self._group is not None
        match action:
            case leases.SendMessage(peer, message):
                self._mesh.send(peer, message)
            case leases.CloseStream(peer):
                self._mesh.close(peer)
            case leases.ReopenStream(peer):
                self._group.start_soon(self._mesh.reopen, peer)
            case leases.CancelReopen(peer):
                self._mesh.cancel_reopen(peer)
            case leases.DialEntries(entries):
                self._dial(entries)
            case leases.ApplyConfig():
                self._config.apply(action)
            case leases.AnswerQuery(token, result):
                self._queries.resolve(token, result)
            case leases.AnswerJob(token, outcome):
                pending = self._pending.get(token)
                if pending is not None:
                    pending.outcome = outcome
                    pending.ready.set()

    def _dial(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        assert self._group is not None
        if any(entry.name != self._settings.node for entry in entries):
            self._dialler.forget_seeds()
        self._dialler.dial(self._group, entries)

    def _on_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        self._driver.post(leases.EntriesFound(entries))

    # HTTP.

    async def _handle(self, request: net.Request) -> net.HttpResponse:
        if request.path == "/ready" and request.method == "GET":
            return self._readiness()
        with anyio.move_on_after(_CONFIG_WAIT_S):
            await self._config.loaded.wait()
        config = self._config.current
        if config is None:
            reason = outcomes.Reason.NO_CONFIGURATION
            return platform.render_refusal(reason, _RETRY_S)
        hostname = request.header("host").partition(":")[0].lower()
        route = config.find(hostname, request.path)
        if route is None:
            return await self._handle_unrouted(request)
        job = request.path[len(route.path_prefix) :]
        if len(job) > platform.MAX_NAME_CHARS:
            error = f"use a name of at most {platform.MAX_NAME_CHARS} letters"
            return net.HttpResponse.json(
                400, {"error": error, "field": "path"}
            )
        match request.method:
            case "POST" if job:
                return await self._submit(request, route, job)
            case "GET" if job:
                return await self._look_up(job)
            case "GET":
                return platform.render_pending(
                    self._core.pending(route.job_class.name)
                )
            case "DELETE" if job:
                return await self._cancel(request, job)
        return net.HttpResponse.json(405, {"error": "no such call"})

    def _readiness(self) -> net.HttpResponse:
        usable = self._core.is_usable(self._driver.now())
        configured = self._config.current is not None
        ready = configured and usable and not self._draining
        return net.HttpResponse.json(200 if ready else 503, {"ready": ready})

    async def _handle_unrouted(self, request: net.Request) -> net.HttpResponse:
        """Answer a call to a queue that does not exist.

        A job that was submitted before its route was removed can still be
        cancelled. The answer is 410 then, since a call to a queue that does
        not exist can't succeed.
        """
        job = platform.find_job_name(request.path)
        if request.method == "DELETE" and job:
            match await self._queries.cancel(job):
                case leases.QueryResult.FOUND:
                    return platform.render_absent()
                case leases.QueryResult.UNKNOWN:
                    return platform.render_unconfirmed(_RETRY_S)
        return net.HttpResponse.json(404, {"error": "no such queue"})

    async def _look_up(self, job: str) -> net.HttpResponse:
        match await self._queries.look_up(job):
            case leases.QueryResult.FOUND:
                return platform.render_running()
            case leases.QueryResult.ABSENT:
                return platform.render_absent()
        return platform.render_unconfirmed(_RETRY_S)

    async def _cancel(
        self, request: net.Request, job: str
    ) -> net.HttpResponse:
        # The route may be another one than when the job was submitted.
        job = platform.find_job_name(request.path) or job
        match await self._queries.cancel(job):
            case leases.QueryResult.FOUND:
                return net.HttpResponse.json(200, {})
            case leases.QueryResult.ABSENT:
                return platform.render_absent()
        return platform.render_unconfirmed(_RETRY_S)

    async def _submit(
        self, request: net.Request, route: platform.Route, name: str
    ) -> net.HttpResponse:
        body = await request.body()
        if self._refusing:
            loguru.logger.info(
                "refused, not run: this process ends", step="admit", job=name
            )
            return platform.render_refusal(outcomes.Reason.DRAINING, _RETRY_S)
        try:
            deadline_s = platform.parse_deadline(request.header("deadline-ms"))
            job = platform.parse_job(name, body, route.job_class, deadline_s)
        except platform.MalformedJobError as exc:
            return net.HttpResponse.json(
                400, {"error": str(exc), "field": exc.field}
            )
        except platform.UnsupportedJobError as exc:
            loguru.logger.warning("{}", exc, step="submit", job=name)
            return platform.render_refusal(
                outcomes.Reason.IMPOSSIBLE, 0.0, str(exc)
            )
        outcome = await self._run_job(request, job)
        response = platform.render_outcome(outcome)
        if self._draining or not self._core.is_usable(self._driver.now()):
            # Closing lets the client's next request reach another entry.
            response = response.closing()
        return response

    async def _run_job(
        self, request: net.Request, job: leases.LeasedJob
    ) -> outcomes.JobOutcome:
        token = next(self._tokens)
        pending = self._pending[token] = _PendingRequest()
        try:
            self._driver.post(leases.JobSubmitted(token, job))
            await self._wait_for_outcome(request, job.job, token, pending)
        finally:
            del self._pending[token]
        assert pending.outcome is not None
        return pending.outcome

    async def _wait_for_outcome(
        self,
        request: net.Request,
        name: str,
        token: int,
        pending: _PendingRequest,
    ) -> None:
        """Wait for the job's outcome or for the client to disconnect."""

        async def watch_connection() -> None:
            await request.disconnected()
            self._driver.post(leases.ClientLeft(token, name))
            origin = outcomes.Origin(outcomes.Step.CANCEL)
            reason = outcomes.Reason.CANCELLED
            pending.outcome = outcomes.FailedMayHaveRun(reason, origin)
            pending.ready.set()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_connection)
            await pending.ready.wait()
            group.cancel_scope.cancel()
