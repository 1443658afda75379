"""Conversions between ledger records, outcomes and wire messages."""

from collections import abc

from ferryledge.core import _requests
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import wire


def finished_task(record: ledger.TaskRecord) -> wire.FinishedTask:
    """Return the wire form of a finished task.

    :param record: the ledger's record of the task
    :raises ValueError: if the task has not finished
    """
    finish = record.finish
    if finish is None:
        raise ValueError("the task has not finished")
    return wire.FinishedTask(
        record.key.seq, record.index, finish.ok, finish.body, finish.run_s
    )


def fenced_job(
    submission: str, records: abc.Iterable[ledger.TaskRecord]
) -> wire.FencedJob:
    """Return the part of a fence report about one submission."""
    finished = []
    running = []
    for record in records:
        if record.finish is None:
            running.append(record.index)
        else:
            finished.append(finished_task(record))
    return wire.FencedJob(submission, tuple(finished), tuple(running))


def verdict(
    ticket: str,
    submission: str,
    ticket_verdict: ledger.TicketVerdict[wire.OutcomeRecord],
) -> wire.Verdict:
    """Return the message that carries a ledger's verdict on a ticket."""
    return wire.Verdict(
        ticket,
        submission,
        wire.VerdictTag(ticket_verdict.status.value),
        ticket_verdict.outcome,
    )


def outcome_record(answer: _requests.JobAnswer) -> wire.OutcomeRecord:
    """Return the wire form of an answer."""
    outcome = answer.outcome
    tag = outcomes.tag_of(outcome)
    match outcome:
        case outcomes.Complete(results):
            return wire.OutcomeRecord(
                tag, results=results, task_tags=answer.task_tags
            )
        case outcomes.InProgress(retry_after_s):
            return wire.OutcomeRecord(tag, retry_after_s=retry_after_s)
        case outcomes.TicketRequired(ticket):
            return wire.OutcomeRecord(tag, detail=ticket)
        case outcomes.FailedMayHaveRun(reason, origin, detail):
            retry_after_s = 0.0
        case outcomes.Refused(reason, origin, retry_after_s, detail):
            pass
        case outcomes.FailedNotRun(reason, origin, retry_after_s, detail):
            pass
    return wire.OutcomeRecord(
        tag,
        reason=reason,
        step=origin.step,
        peer=origin.peer,
        retry_after_s=retry_after_s,
        detail=detail,
        task_tags=answer.task_tags,
    )


def job_answer(record: wire.OutcomeRecord) -> _requests.JobAnswer:
    """Return the answer that a record holds.

    :param record: the wire form of the answer
    :raises ValueError: if the record's tag, reason or step is unknown
    """
    return _requests.JobAnswer(_outcome(record), record.task_tags)


def _outcome(record: wire.OutcomeRecord) -> outcomes.JobOutcome:
    match record.tag:
        case "complete":
            return outcomes.Complete(record.results)
        case "in_progress":
            return outcomes.InProgress(record.retry_after_s)
        case "ticket_required":
            return outcomes.TicketRequired(record.detail)
    reason = outcomes.Reason(record.reason)
    origin = outcomes.Origin(outcomes.Step(record.step), record.peer)
    match record.tag:
        case "refused":
            return outcomes.Refused(
                reason, origin, record.retry_after_s, record.detail
            )
        case "failed_not_run":
            return outcomes.FailedNotRun(
                reason, origin, record.retry_after_s, record.detail
            )
        case "failed_may_have_run":
            return outcomes.FailedMayHaveRun(reason, origin, record.detail)
    raise ValueError(f"unknown outcome tag {record.tag!r}")
