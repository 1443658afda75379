"""Authorisation of jobs with tickets at the agent that minted the ticket.

That agent, the arbiter, admits one submission for each ticket. A job that
fits its free slots runs there as a whole and needs no separate request.
"""

import collections

from ferryledge.core import _admission
from ferryledge.core import _answering
from ferryledge.core import _convert
from ferryledge.core import _jobs
from ferryledge.core import _placing
from ferryledge.core import _pool_state
from ferryledge.core import _requests
from ferryledge.core import _trace
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire


class Ticketing:
    """Queues jobs, those with a ticket only once they are authorised.

    :param state: state of the pool
    :param admission: creates the refusals
    :param placing: sends start messages to agents
    :param answering: answers jobs and removes them
    """

    def __init__(
        self,
        state: _pool_state.PoolState,
        admission: _admission.Admission,
        placing: _placing.Placing,
        answering: _answering.Answering,
    ) -> None:
        self._state = state
        self._admission = admission
        self._placing = placing
        self._answering = answering

    def enqueue(self, now: float, job: _jobs.Job) -> None:
        """Queue a job for placement, after authorisation if it has a ticket.

        :param now: monotonic seconds
        :param job: the job
        """
        if not job.message.ticket:
            self._state.queue.add(job.waiting)
            return
        arbiter = self._arbiter(now, job)
        if arbiter is None:
            return
        if self._can_run_at_arbiter(job, arbiter):
            job.ticket_use = _jobs.TicketUse.AT_ARBITER
            self._placing.send_start(now, job, arbiter, job.size)
            return
        self.authorise(now, job, arbiter)

    def _arbiter(
        self, now: float, job: _jobs.Job
    ) -> placement.EndpointRow | None:
        """Return the agent that minted the ticket; fail the job if lost."""
        row = self._state.table.find(ledger.issuer_of(job.message.ticket))
        if row is not None and row.connected:
            return row
        self._answering.fail(
            now, job, outcomes.Reason.TICKET_LOST, outcomes.Step.AUTHORISE
        )
        return None

    def authorise(
        self, now: float, job: _jobs.Job, arbiter: placement.EndpointRow
    ) -> None:
        """Request authorisation of a job from its ticket's arbiter."""
        job.ticket_use = _jobs.TicketUse.PENDING
        message = wire.Authorise(
            job.message.ticket, job.submission, job.message.label
        )
        self._state.peers.send(now, arbiter.name, message)

    def _can_run_at_arbiter(
        self, job: _jobs.Job, arbiter: placement.EndpointRow
    ) -> bool:
        """Return whether the arbiter can run the whole job now."""
        if not self._state.options.run_at_arbiter:
            return False
        if not self._state.may_use(job, arbiter):
            return False
        slowness = self._state.run_times.slowness(arbiter.name)
        is_normal = (
            slowness < placement.NORMAL_SLOWNESS * self._state.normal_slowness
        )
        free_slots = arbiter.task_capacity(job.service.memory_mb)
        return is_normal and free_slots >= job.size

    def on_verdict(self, now: float, message: wire.Verdict) -> None:
        """Queue or answer a job by the arbiter's verdict on its ticket."""
        job = self._state.jobs.get(message.submission)
        if job is None:
            if message.verdict is wire.VerdictTag.GRANTED:
                # The front recovered the job before the verdict arrived.
                self._answering.settle_unknown(
                    now, message.ticket, message.submission
                )
            return
        self._state.trace.note(
            now, job.submission, _trace.Mechanism.TICKET, message.verdict
        )
        match message.verdict:
            case wire.VerdictTag.GRANTED:
                if job.ticket_use is _jobs.TicketUse.PENDING:
                    job.ticket_use = _jobs.TicketUse.GRANTED
                    self._state.queue.add(job.waiting)
            case wire.VerdictTag.SETTLED if message.outcome is not None:
                answer = _convert.job_answer(message.outcome)
                self._answering.finish(now, job, answer)
            case wire.VerdictTag.IN_PROGRESS:
                answer = _requests.JobAnswer(outcomes.InProgress(0.5))
                self._answering.finish(now, job, answer)
            case wire.VerdictTag.MISMATCH:
                refused = self._admission.refuse(
                    outcomes.Reason.TICKET_USED, 0.0, "another request"
                )
                self._answering.finish(now, job, _requests.JobAnswer(refused))
            case _:
                self._answering.fail(
                    now,
                    job,
                    outcomes.Reason.TICKET_LOST,
                    outcomes.Step.AUTHORISE,
                )

    def check_arbiter(self, now: float, job: _jobs.Job) -> None:
        """Continue a job whose arbiter did not run all of its tasks.

        Does nothing while tasks still run there. If none ran, requests
        authorisation to run the job elsewhere; otherwise fails the job.

        :param now: monotonic seconds
        :param job: the job
        """
        if job.ticket_use is not _jobs.TicketUse.AT_ARBITER or job.bound:
            return
        if job.results:
            self._answering.fail(
                now, job, outcomes.Reason.AGENT_LOST, outcomes.Step.START
            )
            return
        # No task ran and the arbiter revoked the authorisation.
        job.waiting.tasks = collections.deque(sorted(job.waiting.tasks))
        arbiter = self._arbiter(now, job)
        if arbiter is not None:
            self.authorise(now, job, arbiter)
