"""Ends a scheduler's jobs and answers the entries that sent them."""

from ferryledge.core import _convert
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _requests
from ferryledge.core import _trace
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import wire


class Answering:
    """Answers jobs, once each, and forgets them.

    :param state: the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state
        self._answers: list[_jobs.LocalAnswer] = []

    def take_answers(self) -> list[_jobs.LocalAnswer]:
        """Return the answers to this entry's own jobs."""
        answers = self._answers
        self._answers = []
        return answers

    def complete(self, now: float, job: _jobs.Job) -> None:
        """Answer a job with all its results."""
        ordered = tuple(job.results[index] for index in sorted(job.results))
        answer = _requests.JobAnswer(
            outcomes.Complete(ordered), ("complete",) * job.size
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
        """Answer a job as failed, truthfully as to whether any of it ran."""
        origin = outcomes.Origin(step, peer or self._state.identity.name)
        tags = job.task_tags()
        outcome: outcomes.JobOutcome
        # An earlier submission may have run under a ticket not granted.
        unsure = bool(job.message.ticket) and (
            job.ticket_use in (_jobs.TicketUse.NONE, _jobs.TicketUse.ASKED)
        )
        if unsure or any(tag != "failed_not_run" for tag in tags):
            outcome = outcomes.FailedMayHaveRun(reason, origin, detail)
        else:
            outcome = outcomes.FailedNotRun(
                reason, origin, self._state.drain_s(), detail
            )
        self._stop_tasks(now, job)
        self.finish(now, job, _requests.JobAnswer(outcome, tags))

    def _stop_tasks(self, now: float, job: _jobs.Job) -> None:
        """End what still runs of a job that is answered."""
        by_agent: dict[str, list[int]] = {}
        for seq, name in job.bound.items():
            by_agent.setdefault(name, []).append(seq)
        for name, seqs in by_agent.items():
            cancel = wire.CancelTasks(job.submission, tuple(seqs))
            self._state.peers.send(now, name, cancel)

    def finish(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        """Settle a job's ticket, forget it and answer."""
        self._settle(now, job, answer)
        self.forget(job)
        self.answer(now, job.front, job.submission, answer)

    def _settle(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        if job.ticket_use is not _jobs.TicketUse.GRANTED:
            return
        ticket = job.message.ticket
        settle = wire.Settle(
            ticket, job.submission, _convert.record_of(answer)
        )
        self._state.peers.send(now, ledger.issuer_of(ticket), settle)

    def forget(self, job: _jobs.Job) -> None:
        """Drop a job and give back what it takes."""
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
        """Send an answer to its front; an empty front is this entry."""
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
            _convert.record_of(answer),
            self._state.queue.tasks,
            round(self._state.table.load, 3),
        )
        self._state.peers.send(now, front, message)
