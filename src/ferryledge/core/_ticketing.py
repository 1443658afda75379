"""Takes a job with a ticket through the agent that minted it."""

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
    """Starts jobs, those with a ticket only as it allows.

    :param state: the pool
    :param admission: words refusals
    :param placing: sends starts
    :param answering: ends jobs
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
        """Let a job wait for slots, once its ticket allows that."""
        if not job.message.ticket:
            self._state.queue.add(job.waiting)
            return
        arbiter = self._arbiter(now, job)
        if arbiter is None:
            return
        if self._fits_arbiter(job, arbiter):
            job.ticket_use = _jobs.TicketUse.AT_ARBITER
            self._placing.send_start(now, job, arbiter, job.size)
            return
        self.authorise(now, job, arbiter)

    def _arbiter(
        self, now: float, job: _jobs.Job
    ) -> placement.EndpointRow | None:
        """Return the agent that minted the job's ticket, or fail the job."""
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
        """Ask the agent that minted a job's ticket whether it may run."""
        job.ticket_use = _jobs.TicketUse.ASKED
        message = wire.Authorise(
            job.message.ticket, job.submission, job.message.label
        )
        self._state.peers.send(now, arbiter.name, message)

    def _fits_arbiter(
        self, job: _jobs.Job, arbiter: placement.EndpointRow
    ) -> bool:
        if not self._state.options.run_at_arbiter:
            return False
        if not self._state.may_use(job, arbiter):
            return False
        slow = self._state.run_times.slowness(arbiter.name)
        normal = slow < placement.NORMAL_SLOWNESS * self._state.normal_slowness
        room = arbiter.task_capacity(job.service.memory_mb)
        return normal and room >= job.size

    def on_verdict(self, now: float, message: wire.Verdict) -> None:
        """Go on with a job whose ticket was judged."""
        job = self._state.jobs.get(message.submission)
        if job is None:
            return
        self._state.trace.note(
            now, job.submission, _trace.Mechanism.TICKET, message.verdict
        )
        match message.verdict:
            case wire.VerdictTag.GRANTED:
                if job.ticket_use is _jobs.TicketUse.ASKED:
                    job.ticket_use = _jobs.TicketUse.GRANTED
                    self._state.queue.add(job.waiting)
            case wire.VerdictTag.SETTLED if message.outcome is not None:
                answer = _convert.answer_of(message.outcome)
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
        """Go on with a job that its ticket's arbiter did not run whole."""
        if job.ticket_use is not _jobs.TicketUse.AT_ARBITER or job.bound:
            return
        if job.results:
            self._answering.fail(
                now, job, outcomes.Reason.AGENT_LOST, outcomes.Step.START
            )
            return
        # Nothing ran, and the arbiter gave the ticket back.
        job.waiting.tasks = collections.deque(sorted(job.waiting.tasks))
        arbiter = self._arbiter(now, job)
        if arbiter is not None:
            self.authorise(now, job, arbiter)
