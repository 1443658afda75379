"""Handles agents' reports of finished and released tasks."""

from ferryledge.core import _answering
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _ticketing
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds without new tasks for an endpoint that was full or unreachable.
_BLOCKED_S = 0.05
#: A job fails after this many releases per task.
_MAX_RELEASES_PER_TASK = 400


class TaskEnds:
    """Unbinds tasks and updates their jobs.

    :param state: the state of the pool
    :param answering: completes and fails jobs
    :param ticketing: continues jobs that an arbiter ran only in part
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
        self._returned: list[_jobs.ReturnedTasks] = []

    def take_returned(self) -> list[_jobs.ReturnedTasks]:
        """Remove and return the tasks for other schedulers to place."""
        returned = self._returned
        self._returned = []
        return returned

    def on_finished(
        self, now: float, agent: str, message: wire.TasksFinished
    ) -> None:
        """Record finished tasks, and answer their job if it is done."""
        job = self._state.jobs.get(message.submission)
        failed: wire.FinishedTask | None = None
        for task in message.tasks:
            binding = self._unbind(now, agent, task.seq)
            if binding is None or binding.submission != message.submission:
                continue
            self._record_run(now, agent, binding, task)
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
            until = now + self._state.options.foreign_slots_hold_s
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
                self._state.quotas.release(job.message.workspace, 1)
        return binding

    def _record_run(
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
        self._record_health(now, row, binding.submission, task.ok)
        if task.ok:
            self._state.run_times.learn(
                job.message.service, agent, task.run_s, binding.declared_s
            )

    def _record_health(
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
        """Requeue released tasks, or end their job."""
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
            elif self._should_return(job, message.reason):
                job.moved.add(binding.index)
                moved.append(binding.index)
            else:
                self._state.queue.requeue(job.waiting, binding.index)
        if job is not None:
            self._state.trace.note(
                now,
                job.submission,
                _trace.Mechanism.RELEASE,
                f"{len(message.seqs)} tasks released by {agent}: "
                f"{message.reason}",
            )
        if job is not None and moved:
            self._return_tasks(now, job, tuple(moved))
        if row is not None:
            self._note_busy(now, agent, message.busy)
            self._update_endpoint(now, row, message)
        if job is not None and job.submission in self._state.jobs:
            self._update_job(now, job, message.reason)

    def _should_return(
        self, job: _jobs.Job, reason: wire.ReleaseReason
    ) -> bool:
        """Return whether a released task goes back to this entry's front.

        If an endpoint is busy and another entry owns the pool, that entry
        fills the endpoints. Its scheduler can place the task anywhere in the
        pool.
        """
        is_busy = reason is wire.ReleaseReason.BUSY
        is_local_without_ticket = (
            not job.front and job.ticket_use is _jobs.TicketUse.NONE
        )
        return (
            is_busy and is_local_without_ticket and not self._state.owns_pool
        )

    def _return_tasks(
        self, now: float, job: _jobs.Job, indices: tuple[int, ...]
    ) -> None:
        self._returned.append(_jobs.ReturnedTasks(job.submission, indices))
        if not job.size:
            self._answering.forget(job)
        elif len(job.results) == job.size:
            self._answering.complete(now, job)

    def _update_endpoint(
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
                row.blocked_until = now + _BLOCKED_S
            case wire.ReleaseReason.UNREACHABLE:
                row.blocked_until = now + _BLOCKED_S
                self._record_health(now, row, message.submission, ok=False)
            case _:
                pass
        self._state.table.refresh(row)

    def _update_job(
        self, now: float, job: _jobs.Job, reason: wire.ReleaseReason
    ) -> None:
        is_fenced = reason is wire.ReleaseReason.FENCED
        if is_fenced or job.releases > _MAX_RELEASES_PER_TASK * job.size:
            self._answering.fail(
                now, job, outcomes.Reason.CAPACITY, outcomes.Step.START
            )
        elif reason is not wire.ReleaseReason.TICKET:
            self._ticketing.check_arbiter(now, job)
