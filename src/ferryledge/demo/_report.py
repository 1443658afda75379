"""Summary of a run, from the endpoints' journal and the clients' replies."""

import collections
import dataclasses
import json

from ferryledge import client
from ferryledge import standin


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A job with its reply and its response time."""

    job: client.Job
    reply: client.Reply
    #: Seconds from the submission to the reply.
    response_s: float
    #: Response time on an idle cluster, in seconds: the duration of the
    #: longest task plus the network time.
    ideal_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of jobs, tasks and faults of a run, and its slowdowns."""

    jobs: int
    #: Starts of tasks, including repeated ones.
    tasks: int
    complete: int
    #: Jobs with any outcome other than complete and refused.
    failed: int
    refused: int
    double_starts: int
    #: Replies whose results contradict their outcome.
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
    """Count starts of a task beyond the first.

    Tasks are told apart by their echo values. Repeatable jobs that the
    client resubmitted don't count, as their tasks may start more than once.
    """
    resubmitted = {
        task.payload["echo"]
        for sample in samples
        if sample.job.repeatable and sample.reply.attempts > 1
        for task in sample.job.tasks
    }
    starts = collections.Counter(
        json.loads(start.payload)["echo"] for start in journal.entries
    )
    return sum(
        count - 1 for echo, count in starts.items() if echo not in resubmitted
    )


def _contradicts_outcome(sample: Sample) -> bool:
    """Return whether the results contradict the reply's outcome.

    A complete reply has the results of all tasks in order, and any other
    reply has none.
    """
    if not sample.reply.complete:
        return bool(sample.reply.results)
    expected = [task.payload["echo"] for task in sample.job.tasks]
    return [result["echo"] for result in sample.reply.results] != expected


def summarise(
    samples: list[Sample], journal: standin.StartJournal, messages: int
) -> Summary:
    """Return the summary of a run.

    :param samples: the jobs with their replies
    :param journal: the tasks that the endpoints started
    :param messages: messages sent between the processes
    """
    outcomes = collections.Counter(sample.reply.outcome for sample in samples)
    slowdowns = [
        sample.response_s / sample.ideal_s
        for sample in samples
        if sample.reply.complete
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
        partial_answers=sum(
            _contradicts_outcome(sample) for sample in samples
        ),
        messages_per_task=round(messages / max(1, started), 3),
        slowdown_p50=round(_percentile(slowdowns, 0.5), 3),
        slowdown_p99=round(_percentile(slowdowns, 0.99), 3),
    )
