"""What the ends and releases of tasks mean for their jobs."""

from ferryledge.core import _answering
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _ticketing
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds for which an endpoint that said it is full is left alone.
_BLOCK_S = 0.05
#: Most releases of one task before its job is given up.
_MAX_RELEASES = 400


class TaskEnds:
    """Unbinds tasks and goes on with their jobs.

    :param state: the pool
    :param answering: ends jobs
    :param ticketing: goes on with jobs that an arbiter did not run whole
    """

    def __init__(
        self,
        state: _pool_state.PoolState,
        answering: _answering.Answering,
        ticketing: _ticketing.Ticketing,
    ) -> None:
        self._state = state
        self._answering = answering
        self._ticketing = ticketing
        self._handed_back: list[_jobs.HandedBack] = []

    def take_handed_back(self) -> list[_jobs.HandedBack]:
        """Return the tasks that other schedulers shall place."""
        handed_back = self._handed_back
        self._handed_back = []
        return handed_back

    def on_finished(
        self, now: float, agent: str, message: wire.TasksFinished
    ) -> None:
        """Take in the ends of tasks."""
        job = self._state.jobs.get(message.submission)
        failed: wire.FinishedTask | None = None
        for task in message.tasks:
            binding = self._unbind(now, agent, task.seq)
            if binding is None or binding.submission != message.submission:
                continue
            self._learn(now, agent, binding, task)
            if job is None or task.seq not in job.bound:
                continue
            del job.bound[task.seq]
            if task.ok:
                job.results[binding.index] = task.body
            else:
                failed = task
        self._note_busy(now, agent, message.busy)
        if job is None:
            return
        if failed is not None:
            self._answering.fail(
                now,
                job,
                outcomes.Reason.TASK_FAILED,
                outcomes.Step.RUN,
                agent,
                failed.body.decode(errors="replace")[:200],
            )
        elif len(job.results) == job.size:
            self._answering.complete(now, job)
        else:
            self._ticketing.check_arbiter(now, job)

    def _note_busy(self, now: float, agent: str, busy: int) -> None:
        row = self._state.table.find(agent)
        if row is not None:
            until = now + self._state.options.foreign_s
            self._state.table.note_busy(row, busy, until)

    def _unbind(
        self, now: float, agent: str, seq: int
    ) -> placement.Binding | None:
        binding = self._state.table.unbind(agent, seq)
        row = self._state.table.find(agent)
        if row is not None:
            row.progress_at = now
            if row.is_suspect:
                row.is_suspect = False
                self._state.table.refresh(row)
        if binding is not None:
            job = self._state.jobs.get(binding.submission)
            if job is not None:
                self._state.quotas.give_back(job.message.workspace, 1)
        return binding

    def _learn(
        self,
        now: float,
        agent: str,
        binding: placement.Binding,
        task: wire.FinishedTask,
    ) -> None:
        row = self._state.table.find(agent)
        job = self._state.jobs.get(binding.submission)
        if row is None or job is None:
            return
        self._judge_end(now, row, binding.submission, task.ok)
        if task.ok:
            self._state.run_times.learn(
                job.message.service, agent, task.run_s, binding.declared_s
            )

    def _judge_end(
        self,
        now: float,
        row: placement.EndpointRow,
        submission: str,
        ok: bool,
    ) -> None:
        job = self._state.jobs.get(submission)
        if job is None:
            return
        service = job.message.service
        self._state.health_tracker.ended(
            row.name, service, submission, ok, now
        )
        state = self._state.health_tracker.state(row.name)
        row.ejected = not isinstance(state, health.Healthy)
        self._state.table.refresh(row)

    def on_released(
        self, now: float, agent: str, message: wire.TasksReleased
    ) -> None:
        """Let released tasks wait again, or end their job."""
        job = self._state.jobs.get(message.submission)
        row = self._state.table.find(agent)
        moved: list[int] = []
        for seq in message.seqs:
            binding = self._unbind(now, agent, seq)
            if binding is None or job is None or seq not in job.bound:
                continue
            del job.bound[seq]
            job.releases += 1
            if job.ticket_use is _jobs.TicketUse.AT_ARBITER:
                job.waiting.tasks.append(binding.index)
            elif self._hands_back(job, message.reason):
                job.moved.add(binding.index)
                moved.append(binding.index)
            else:
                self._state.queue.give_back(job.waiting, binding.index)
        if job is not None:
            self._state.trace.note(
                now,
                job.submission,
                _trace.Mechanism.RELEASE,
                f"{len(message.seqs)} tasks released by {agent}: "
                f"{message.reason}",
            )
        if job is not None and moved:
            self._move(now, job, tuple(moved))
        if row is not None:
            self._note_busy(now, agent, message.busy)
            self._after_release(now, row, message)
        if job is not None and job.submission in self._state.jobs:
            self._after_job_release(now, job, message.reason)

    def _hands_back(self, job: _jobs.Job, reason: wire.ReleaseReason) -> bool:
        """Return whether a released task goes to the pool's scheduler.

        Another scheduler fills the endpoints, so the task had better wait
        where it can see the whole pool.
        """
        busy = reason is wire.ReleaseReason.BUSY
        plain = not job.front and job.ticket_use is _jobs.TicketUse.NONE
        return busy and plain and not self._state.owns_pool

    def _move(
        self, now: float, job: _jobs.Job, indices: tuple[int, ...]
    ) -> None:
        self._handed_back.append(_jobs.HandedBack(job.submission, indices))
        if not job.size:
            self._answering.forget(job)
        elif len(job.results) == job.size:
            self._answering.complete(now, job)

    def _after_release(
        self,
        now: float,
        row: placement.EndpointRow,
        message: wire.TasksReleased,
    ) -> None:
        self._state.health_tracker.probe_lost(row.name)
        match message.reason:
            case wire.ReleaseReason.LEAVING:
                row.leaving = True
            case wire.ReleaseReason.BUSY:
                row.blocked_until = now + _BLOCK_S
            case wire.ReleaseReason.UNREACHABLE:
                row.blocked_until = now + _BLOCK_S
                self._judge_end(now, row, message.submission, ok=False)
            case _:
                pass
        self._state.table.refresh(row)

    def _after_job_release(
        self, now: float, job: _jobs.Job, reason: wire.ReleaseReason
    ) -> None:
        fenced = reason is wire.ReleaseReason.FENCED
        if fenced or job.releases > _MAX_RELEASES * job.size:
            self._answering.fail(
                now, job, outcomes.Reason.CAPACITY, outcomes.Step.START
            )
        elif reason is not wire.ReleaseReason.TICKET:
            self._ticketing.check_arbiter(now, job)
