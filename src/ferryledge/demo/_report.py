"""Counts a run from the endpoints' journal and the clients' replies."""

import collections
import dataclasses
import json

from ferryledge import client
from ferryledge import standin


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One job as its client saw it."""

    job: client.Job
    reply: client.Reply
    #: Seconds until the reply came.
    response_s: float
    #: Seconds that the job's longest task takes on a free endpoint.
    ideal_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a run came to."""

    jobs: int
    tasks: int
    complete: int
    failed: int
    refused: int
    double_starts: int
    partial_answers: int
    messages_per_task: float
    slowdown_p50: float
    slowdown_p99: float


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _double_starts(
    samples: list[Sample], journal: standin.StartJournal
) -> int:
    """Count starts of a task beyond the first, by the journal alone.

    Payloads are all different. A repeatable job that its client sent again
    is another submission and may start again.
    """
    again = {
        task.payload["echo"]
        for sample in samples
        if sample.job.repeatable and sample.reply.attempts > 1
        for task in sample.job.tasks
    }
    starts = collections.Counter(
        json.loads(one.payload)["echo"] for one in journal.entries
    )
    return sum(
        count - 1 for echo, count in starts.items() if echo not in again
    )


def _partial(sample: Sample) -> bool:
    """Return whether an answer is neither whole nor marked failed."""
    if not sample.reply.complete:
        return bool(sample.reply.results)
    wanted = [task.payload["echo"] for task in sample.job.tasks]
    return [one["echo"] for one in sample.reply.results] != wanted


def summarise(
    samples: list[Sample], journal: standin.StartJournal, messages: int
) -> Summary:
    """Return the summary of a run.

    :param samples: the jobs as their clients saw them
    :param journal: the endpoints' starts
    :param messages: messages sent between the processes
    """
    outcomes = collections.Counter(one.reply.outcome for one in samples)
    slowdowns = [
        one.response_s / one.ideal_s for one in samples if one.reply.complete
    ]
    complete = outcomes["complete"]
    refused = outcomes["refused"]
    started = len(journal.entries)
    return Summary(
        jobs=len(samples),
        tasks=started,
        complete=complete,
        failed=len(samples) - complete - refused,
        refused=refused,
        double_starts=_double_starts(samples, journal),
        partial_answers=sum(_partial(one) for one in samples),
        messages_per_task=round(messages / max(1, started), 3),
        slowdown_p50=round(_percentile(slowdowns, 0.5), 3),
        slowdown_p99=round(_percentile(slowdowns, 0.99), 3),
    )
