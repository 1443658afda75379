"""The entry's shell: HTTP for clients, streams, log and VM list."""

import itertools
import random
import typing

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge import configlog
from ferryledge import core
from ferryledge.entry import _follow
from ferryledge.entry import _models
from ferryledge.entry import _settings
from ferryledge.entry import _status
from ferryledge.entry import _watch
from ferryledge import outcomes
from ferryledge import runtime

_DRAIN_POLL_S = 0.02
#: Seconds that clients and peers get to read the last answers.
_LINGER_S = 0.2


class _Pending:
    """A client's request that waits for its answer."""

    def __init__(self) -> None:
        self.ready = anyio.Event()
        self.answer: core.JobAnswer | None = None


class Entry:
    """One entry process.

    :param settings: checked settings
    :param metrics: where it counts; none is nowhere
    """

    def __init__(
        self,
        settings: _settings.EntrySettings,
        metrics: runtime.Metrics | None = None,
    ) -> None:
        self._settings = settings
        identity = core.Identity(
            settings.name,
            runtime.new_incarnation(),
            settings.zone,
            settings.region,
        )
        self._core = core.EntryCore(
            identity, settings.options(), random.Random()
        )
        self._driver = runtime.Driver(self._core, self._perform)
        self._mesh = runtime.Mesh(
            settings.keys, self._core.hello, self._driver.post
        )
        self._client = runtime.PlatformClient(settings.platform_url)
        self._config = _follow.ConfigFollower(
            self._client,
            configlog.Follower(
                configlog.CheckpointPolicy(
                    settings.checkpoint_records, settings.checkpoint_age_s
                )
            ),
            self._driver.post,
            settings.name,
            settings.log_wait_s,
        )
        self._vms = _follow.VmWatcher(
            self._client,
            self._mesh,
            self._driver.post,
            settings.name,
            settings.region,
            settings.vms_poll_s,
        )
        self._tokens = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._metrics = metrics
        self._counters = _status.Counters(metrics)
        self.peer_port = 0
        self.http_port = 0
        if metrics is not None:
            _status.add_gauges(metrics, self._core, self._mesh)

    @property
    def decisions(self) -> core.EntryCore:
        """The entry's core."""
        return self._core

    @property
    def mesh(self) -> runtime.Mesh:
        """The streams to other processes."""
        return self._mesh

    def unfinished(self) -> str:
        """Return what is in flight, for the log."""
        front = self._core.front.jobs
        return f"{front} jobs of clients, {self._core.scheduler.jobs} placed"

    async def run(
        self,
        drain: anyio.Event,
        *,
        task_status: anyio_abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until the event is set and all jobs are answered."""
        settings = self._settings
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
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
            group.start_soon(self._config.run)
            group.start_soon(self._vms.run, group)
            loguru.logger.info(
                "entry ready",
                step="join",
                peer_port=self.peer_port,
                http_port=self.http_port,
            )
            task_status.started()
            await drain.wait()
            await self._finish()
            stop.set()
            await anyio.sleep(_LINGER_S)
            group.cancel_scope.cancel()
        await self._client.close()

    async def _finish(self) -> None:
        """Refuse new jobs; let those in flight be answered."""
        self._driver.post(core.DrainRequested())
        with anyio.move_on_after(self._settings.drain_s):
            while not self._core.idle or self._pending:
                await anyio.sleep(_DRAIN_POLL_S)
        await anyio.sleep(_LINGER_S)
        loguru.logger.info("entry stopped", step="drain")

    def _perform(self, action: core.Action) -> None:
        match action:
            case core.Send(peer, message):
                self._mesh.send(peer, message)
            case core.AnswerClient(token, answer):
                pending = self._pending.get(token)
                if pending is not None:
                    pending.answer = answer
                    pending.ready.set()
            case core.AdoptConfig(peer, data):
                self._config.adopt(peer, data)
            case _:
                raise TypeError(f"not an entry's action: {action!r}")

    # HTTP.

    async def _handle(self, request: runtime.Request) -> runtime.HttpResponse:
        match request.method, request.parts:
            case "POST", ("v1", "jobs"):
                return await self._submit(request)
            case "GET", ("v1", "jobs", workspace, request_id):
                return self._look_up(workspace, request_id)
            case "DELETE", ("v1", "jobs", workspace, request_id):
                return self._cancel(workspace, request_id)
            case "GET", _:
                return self._page(request)
        return runtime.HttpResponse.json(
            404, {"error": "no such page; see docs/api"}
        )

    def _page(self, request: runtime.Request) -> runtime.HttpResponse:
        match request.parts:
            case ("health", "live"):
                return runtime.HttpResponse.json(200, {"live": True})
            case ("health", "ready"):
                ready = self._core.ready
                return runtime.HttpResponse.json(
                    200 if ready else 503, {"ready": ready}
                )
            case ("v1", "status"):
                status = _status.describe(
                    self._core, self._mesh, self._driver.now()
                )
                status["log_up"] = self._config.log_up
                return runtime.HttpResponse.json(200, status)
            case ("v1", "explain", workspace, request_id):
                name = f"{workspace}/{request_id}"
                return _watch.explain(self._core.trace, name)
            case ("v1", "trace", submission):
                return _watch.explain(self._core.trace, submission)
            case ("v1", "watch"):
                return _watch.watch(self._core.trace)
            case ("v1", "config"):
                snapshot = self._core.rulebook.snapshot
                return runtime.HttpResponse(
                    200, configlog.encode_snapshot(snapshot)
                )
            case ("metrics",) if self._metrics is not None:
                return runtime.HttpResponse(
                    200, self._metrics.render(), content_type="text/plain"
                )
        return runtime.HttpResponse.json(
            404, {"error": "no such page; see docs/api"}
        )

    async def _submit(self, request: runtime.Request) -> runtime.HttpResponse:
        body = await request.body()
        try:
            job = _models.parse_job(body)
        except _models.InvalidBodyError as exc:
            return runtime.HttpResponse.json(
                400, {"error": exc.message, "field": exc.field}
            )
        answer = await self._answer(request, job)
        self._counters.answered(answer.outcome)
        self._log_answer(job, answer)
        return _models.render_answer(
            job.request_id, answer, self._settings.name
        )

    async def _answer(
        self, request: runtime.Request, job: core.JobRequest
    ) -> core.JobAnswer:
        token = next(self._tokens)
        pending = self._pending[token] = _Pending()
        try:
            self._driver.post(core.ClientSubmitted(token, job))
            if not pending.ready.is_set():
                await self._wait(request, job, pending)
        finally:
            del self._pending[token]
        assert pending.answer is not None
        return pending.answer

    async def _wait(
        self,
        request: runtime.Request,
        job: core.JobRequest,
        pending: _Pending,
    ) -> None:
        """Wait for the answer; a client that hangs up cancels its job."""

        async def watch() -> None:
            await request.disconnected()
            self._driver.post(
                core.ClientCancelled(
                    job.workspace, job.request_id, forward=False
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            await pending.ready.wait()
            group.cancel_scope.cancel()

    def _look_up(
        self, workspace: str, request_id: str
    ) -> runtime.HttpResponse:
        found = self._core.front.find(workspace, request_id)
        match found:
            case core.JobAnswer():
                return _models.render_answer(
                    request_id, found, self._settings.name
                )
            case None:
                return runtime.HttpResponse.json(
                    404,
                    {
                        "error": "not known to this entry",
                        "entry": self._settings.name,
                    },
                )
        answer = core.JobAnswer(outcomes.InProgress(0.1))
        return _models.render_answer(request_id, answer, self._settings.name)

    def _cancel(self, workspace: str, request_id: str) -> runtime.HttpResponse:
        self._driver.post(core.ClientCancelled(workspace, request_id))
        return runtime.HttpResponse.json(
            202, {"request_id": request_id, "cancelling": True}
        )

    def _log_answer(
        self, job: core.JobRequest, answer: core.JobAnswer
    ) -> None:
        outcome: typing.Any = answer.outcome
        if isinstance(outcome, outcomes.Complete):
            loguru.logger.debug(
                "job complete", step="answer", job=job.request_id
            )
            return
        loguru.logger.info(
            "job {}: {}",
            outcomes.tag_of(outcome),
            getattr(outcome, "reason", ""),
            step="answer",
            job=job.request_id,
        )
