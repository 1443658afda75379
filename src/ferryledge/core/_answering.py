"""Sends the answers to a scheduler's jobs and removes the jobs."""

from ferryledge.core import _convert
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _requests
from ferryledge.core import _trace
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import wire


class Answering:
    """Answers each job once and removes it from the pool.

    :param state: state of the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state
        self._answers: list[_jobs.LocalAnswer] = []

    def pop_answers(self) -> list[_jobs.LocalAnswer]:
        """Return and remove the queued answers to this entry's own jobs."""
        answers = self._answers
        self._answers = []
        return answers

    def complete(self, now: float, job: _jobs.Job) -> None:
        """Answer a job with the results of all its tasks."""
        results = tuple(job.results[index] for index in sorted(job.results))
        answer = _requests.JobAnswer(
            outcomes.Complete(results), ("complete",) * job.size
        )
        self.finish(now, job, answer)

    def fail(
        self,
        now: float,
        job: _jobs.Job,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Answer a job as failed and cancel its running tasks.

        The outcome is "not run" only if it is certain that no task started.

        :param now: monotonic seconds
        :param job: the job
        :param reason: why it failed
        :param step: the step that failed
        :param peer: the process where it failed; this one if empty
        :param detail: more about the failure
        """
        origin = outcomes.Origin(step, peer or self._state.identity.name)
        tags = job.task_tags()
        outcome: outcomes.JobOutcome
        # Without a verdict on the ticket, an earlier submission may have run
        # under it.
        may_have_run = bool(job.message.ticket) and (
            job.ticket_use in (_jobs.TicketUse.NONE, _jobs.TicketUse.PENDING)
        )
        if may_have_run or any(tag != "failed_not_run" for tag in tags):
            outcome = outcomes.FailedMayHaveRun(reason, origin, detail)
        else:
            outcome = outcomes.FailedNotRun(
                reason, origin, self._state.drain_s(), detail
            )
        self._cancel_assigned_tasks(now, job)
        self.finish(now, job, _requests.JobAnswer(outcome, tags))

    def _cancel_assigned_tasks(self, now: float, job: _jobs.Job) -> None:
        """Cancel the tasks of a job that are assigned to agents."""
        seqs_by_agent: dict[str, list[int]] = {}
        for seq, name in job.bound.items():
            seqs_by_agent.setdefault(name, []).append(seq)
        for name, seqs in seqs_by_agent.items():
            cancel = wire.CancelTasks(job.submission, tuple(seqs))
            self._state.peers.send(now, name, cancel)

    def finish(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        """Settle a job's ticket, remove the job and send its answer."""
        self._settle_ticket(now, job, answer)
        self.forget(job)
        self.answer(now, job.front, job.submission, answer)

    def abandon(self, now: float, job: _jobs.Job) -> None:
        """Settle the ticket of a job that its front recovered; remove it."""
        if job.ticket_use is _jobs.TicketUse.GRANTED:
            self.settle_unknown(now, job.message.ticket, job.submission)
        self.forget(job)

    def settle_unknown(self, now: float, ticket: str, submission: str) -> None:
        """Settle a ticket for a job whose outcome this entry will not learn.

        Without that its arbiter would wait for the outcome until the ticket
        expires. An outcome that the arbiter already has is kept.

        :param now: monotonic seconds
        :param ticket: the ticket
        :param submission: the submission that it authorised
        """
        origin = outcomes.Origin(outcomes.Step.AUTHORISE)
        reason = outcomes.Reason.ENTRY_LOST
        lost = outcomes.FailedMayHaveRun(reason, origin)
        self._send_settlement(
            now, ticket, submission, _requests.JobAnswer(lost)
        )

    def _settle_ticket(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        if job.ticket_use is _jobs.TicketUse.GRANTED:
            self._send_settlement(
                now, job.message.ticket, job.submission, answer
            )

    def _send_settlement(
        self,
        now: float,
        ticket: str,
        submission: str,
        answer: _requests.JobAnswer,
    ) -> None:
        record = _convert.outcome_record(answer)
        settle = wire.Settle(ticket, submission, record)
        self._state.peers.send(now, ledger.issuer_of(ticket), settle)

    def forget(self, job: _jobs.Job) -> None:
        """Remove a job and release its queue entries and quota."""
        self._state.queue.remove(job.submission)
        self._state.quotas.release(job.message.workspace, len(job.bound))
        self._state.jobs.pop(job.submission, None)

    def answer(
        self,
        now: float,
        front: str,
        submission: str,
        answer: _requests.JobAnswer,
    ) -> None:
        """Send an answer to the entry that submitted the job.

        :param now: monotonic seconds
        :param front: name of that entry; empty if it is this process
        :param submission: the job's submission
        :param answer: the answer
        """
        self._state.trace.note(
            now,
            submission,
            _trace.Mechanism.ANSWER,
            outcomes.tag_of(answer.outcome),
        )
        if not front:
            self._answers.append(_jobs.LocalAnswer(submission, answer))
            return
        message = wire.JobAnswered(
            submission,
            _convert.outcome_record(answer),
            self._state.queue.tasks,
            round(self._state.table.load, 3),
        )
        self._state.peers.send(now, front, message)
