"""The entry process: connects the entry's core to the network.

The core takes all decisions. This module passes it the events of clients,
peers and the platform, and carries out the actions that it returns.
"""

import itertools
import random
import typing

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge import configlog
from ferryledge import core
from ferryledge.entry import _models
from ferryledge.entry import _platform
from ferryledge.entry import _settings
from ferryledge.entry import _status
from ferryledge.entry import _trace
from ferryledge import outcomes
from ferryledge import runtime

_DRAIN_POLL_S = 0.02
#: Seconds to wait after the last answer, and again between the stop of the
#: HTTP server and the close of the streams, so that clients and peers can read
#: what was sent.
_FLUSH_DELAY_S = 0.2


class _PendingAnswer:
    """The answer that an HTTP request waits for."""

    def __init__(self) -> None:
        self.ready = anyio.Event()
        self.answer: core.JobAnswer | None = None


class Entry:
    """Serves clients and peers as one entry.

    :param settings: validated settings
    :param metrics: registry for the entry's metrics; without one, nothing is
        counted and ``/metrics`` is not served
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
        self._config = _platform.ConfigFollower(
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
        self._vm_watcher = _platform.VmWatcher(
            self._client,
            self._mesh,
            self._driver.post,
            settings.name,
            settings.region,
            settings.vms_poll_s,
        )
        self._next_token = itertools.count(1)
        self._pending: dict[int, _PendingAnswer] = {}
        self._metrics = metrics
        self._answer_counter = _status.AnswerCounter(metrics)
        #: Bound TCP port for peers; 0 until :meth:`run` listens on it.
        self.peer_port = 0
        #: Bound TCP port for HTTP; 0 until :meth:`run` listens on it.
        self.http_port = 0
        if metrics is not None:
            _status.add_gauges(metrics, self._core, self._mesh)

    @property
    def entry_core(self) -> core.EntryCore:
        """The core that takes this entry's decisions."""
        return self._core

    @property
    def mesh(self) -> runtime.Mesh:
        """The streams to other processes."""
        return self._mesh

    def unfinished(self) -> str:
        """Describe the unfinished work, for the log."""
        open_jobs = self._core.front.jobs
        return (
            f"{open_jobs} jobs of clients, {self._core.scheduler.jobs} placed"
        )

    async def run(
        self,
        drain: anyio.Event,
        *,
        task_status: anyio_abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until the event is set, then drain and return.

        :param drain: set to stop taking jobs
        :param task_status: reports that both ports are bound
        """
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
            group.start_soon(self._vm_watcher.run, group)
            loguru.logger.info(
                "entry ready",
                step="join",
                peer_port=self.peer_port,
                http_port=self.http_port,
            )
            task_status.started()
            await drain.wait()
            await self._drain()
            stop.set()
            await anyio.sleep(_FLUSH_DELAY_S)
            group.cancel_scope.cancel()
        await self._client.close()

    async def _drain(self) -> None:
        """Refuse new jobs and wait up to ``drain_s`` for open ones to end."""
        self._driver.post(core.DrainRequested())
        with anyio.move_on_after(self._settings.drain_s):
            while not self._core.idle or self._pending:
                await anyio.sleep(_DRAIN_POLL_S)
        await anyio.sleep(_FLUSH_DELAY_S)
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
                raise TypeError(f"unsupported action of an entry: {action!r}")

    async def _handle(self, request: runtime.Request) -> runtime.HttpResponse:
        match request.method, request.parts:
            case "POST", ("v1", "jobs"):
                return await self._submit(request)
            case "GET", ("v1", "jobs", workspace, request_id):
                return self._look_up(workspace, request_id)
            case "DELETE", ("v1", "jobs", workspace, request_id):
                return self._cancel(workspace, request_id)
            case "GET", _:
                return self._get(request)
        return runtime.HttpResponse.json(
            404, {"error": "no such page; see docs/api"}
        )

    def _get(self, request: runtime.Request) -> runtime.HttpResponse:
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
                job = f"{workspace}/{request_id}"
                return _trace.explain(self._core.trace, job)
            case ("v1", "trace", submission):
                return _trace.explain(self._core.trace, submission)
            case ("v1", "watch"):
                return _trace.watch(self._core.trace)
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
        answer = await self._run_job(request, job)
        self._answer_counter.count(answer.outcome)
        self._log_answer(job, answer)
        return _models.render_answer(
            job.request_id, answer, self._settings.name
        )

    async def _run_job(
        self, request: runtime.Request, job: core.JobRequest
    ) -> core.JobAnswer:
        token = next(self._next_token)
        pending = self._pending[token] = _PendingAnswer()
        try:
            self._driver.post(core.ClientSubmitted(token, job))
            if not pending.ready.is_set():
                await self._wait_for_answer(request, job, pending)
        finally:
            del self._pending[token]
        assert pending.answer is not None
        return pending.answer

    async def _wait_for_answer(
        self,
        request: runtime.Request,
        job: core.JobRequest,
        pending: _PendingAnswer,
    ) -> None:
        """Wait for the answer; cancel the job if the client disconnects."""

        async def cancel_on_disconnect() -> None:
            await request.disconnected()
            self._driver.post(
                core.ClientCancelled(
                    job.workspace, job.request_id, forward=False
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect)
            await pending.ready.wait()
            group.cancel_scope.cancel()

    def _look_up(
        self, workspace: str, request_id: str
    ) -> runtime.HttpResponse:
        job_or_answer = self._core.front.find(workspace, request_id)
        match job_or_answer:
            case core.JobAnswer():
                return _models.render_answer(
                    request_id, job_or_answer, self._settings.name
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
