"""Checks of the promises, against journals and clients' answers.

Nothing here asks the dispatcher what it believes.
"""

import dataclasses
import enum

from ferryledge import configlog
from ferryledge import core
from ferryledge import harness
from ferryledge import outcomes
from ferryledge.proofs import _workload

#: Longer than a short freeze of the leaving agent.
_LEAVING_GRACE_S = 1.6


class Promise(enum.StrEnum):
    """What must always hold."""

    ONE_START = "no task of a submission starts twice"
    WHOLE_ANSWER = "an answer is complete or marked failed"
    OWN_ANSWER = "a caller gets the answer to its own request"
    NOT_RUN = "told 'not run', the work did not run"
    AT_MOST_ONCE = "an unrepeatable request runs at most once"
    LEAVING = "a leaving endpoint gets no new work"
    CONFIGURATION = "an accepted configuration is in force and stays"
    ANSWERED = "every caller is answered, once"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    detail: str


def _one_start(
    world: harness.World, workload: _workload.Workload
) -> list[Violation]:
    repeatable = {
        task.payload
        for job in workload.jobs
        for task in job.request.tasks
        if job.request.repeatable
    }
    found = []
    for payload in world.journal.doubles():
        promise = (
            Promise.ONE_START
            if payload in repeatable
            else Promise.AT_MOST_ONCE
        )
        count = world.journal.count(payload)
        found.append(Violation(promise, f"{payload!r}: {count} starts"))
    return found


def _answers(workload: _workload.Workload) -> list[Violation]:
    found = []
    for job in workload.jobs:
        for record in job.records:
            found += _check_record(job.request, record)
    return found


def _check_record(
    request: core.JobRequest, record: harness.ClientRecord
) -> list[Violation]:
    name = request.request_id
    if record.answers > 1:
        return [Violation(Promise.ANSWERED, f"{name}: twice")]
    if record.answer is None:
        if record.lost:
            return []
        return [Violation(Promise.ANSWERED, f"{name}: no answer")]
    match record.outcome:
        case outcomes.Complete(results):
            wanted = tuple(task.payload for task in request.tasks)
            if len(results) != len(wanted):
                return [Violation(Promise.WHOLE_ANSWER, name)]
            if results != wanted:
                return [Violation(Promise.OWN_ANSWER, name)]
    return []


def _not_run(
    world: harness.World, workload: _workload.Workload
) -> list[Violation]:
    found = []
    for job in workload.jobs:
        told = [record.outcome for record in job.records]
        settled = [
            one for one in told if not isinstance(one, outcomes.TicketRequired)
        ]
        not_run = settled and all(
            isinstance(one, outcomes.Refused | outcomes.FailedNotRun)
            for one in settled
        )
        if not not_run:
            continue
        for task in job.request.tasks:
            if world.journal.count(task.payload):
                detail = f"{job.request.request_id}: {settled[-1]}"
                found.append(Violation(Promise.NOT_RUN, detail))
    return found


def _leaving(
    world: harness.World, workload: _workload.Workload
) -> list[Violation]:
    since = workload.drained_at + _LEAVING_GRACE_S
    # Of a crashed and restarted agent only the list says that it leaves.
    list_works = not (world.list_empty or world.list_stale)
    return [
        Violation(Promise.LEAVING, f"start at {start.at:.2f}")
        for start in world.journal.starts
        if start.endpoint == _workload.LEAVING_AGENT
        and since <= start.at < workload.returns_at
        and (list_works or start.life == workload.drained_life)
    ]


def _configuration(world: harness.World) -> list[Violation]:
    found = []
    truth = configlog.Follower()
    page = world.log.read(0)
    if page is not None:
        truth.apply_page(page, 0.0)
    wanted = truth.snapshot.version
    for name, reader in world.readers.items():
        node = world.nodes[name]
        driven = node.core
        assert isinstance(driven, core.EntryCore)
        if node.running and driven.rulebook.version != wanted:
            detail = f"{name}: {driven.rulebook.version}, not {wanted}"
            found.append(Violation(Promise.CONFIGURATION, detail))
        for (_, before, life), (_, after, next_life) in zip(
            reader.versions, reader.versions[1:], strict=False
        ):
            if life == next_life and after <= before:
                detail = f"{name}: from {before} back to {after}"
                found.append(Violation(Promise.CONFIGURATION, detail))
    return found + _races(truth.snapshot)


def _races(snapshot: configlog.Snapshot) -> list[Violation]:
    """Two changes on the same version: the first alone may be in force."""
    ids = {entry.id for entry in snapshot.history}
    if set(_workload.RACING_CHANGES) <= ids:
        return [Violation(Promise.CONFIGURATION, "both racers accepted")]
    return []


def check(
    world: harness.World, workload: _workload.Workload
) -> list[Violation]:
    """Return the promises that a finished run broke."""
    return [
        *_one_start(world, workload),
        *_answers(workload),
        *_not_run(world, workload),
        *_leaving(world, workload),
        *_configuration(world),
    ]
