"""Takes one mechanism out and shows which proof fails then.

A proof that passes with its mechanism taken out proves nothing; this table
keeps the matrix honest.
"""

from collections import abc
import contextlib
import dataclasses
import typing

from ferryledge import configlog
from ferryledge.configlog import _fold
from ferryledge import core
from ferryledge.core import _endpoints
from ferryledge.core import _front
from ferryledge.core import _jobs
from ferryledge.core import _recovery
from ferryledge.core import _scheduler
from ferryledge.core import _ticketing
from ferryledge import ledger
from ferryledge.proofs import _cells
from ferryledge.proofs import _faults
from ferryledge.proofs import _matrix
from ferryledge.proofs import _promises
from ferryledge.proofs import _steps
from ferryledge import wire

_Any = typing.Any
_OCCURRENCES = (1, 4, 7, 9, 14, 17, 20)


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """An attribute that is replaced while a mutation is in place."""

    owner: _Any
    attribute: str
    replacement: _Any


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism, how it is taken out, and the promise that then falls."""

    name: str
    patches: tuple[Patch, ...]
    promise: _promises.Promise
    #: Faults among which a cell must fail.
    faults: tuple[_faults.Fault, ...]
    steps: tuple[_steps.Step, ...] = tuple(_steps.Step)


@dataclasses.dataclass(frozen=True, slots=True)
class MutationResult:
    """What came of a mutation."""

    mutation: Mutation
    #: The first cell that failed as expected, if any.
    failed: _cells.CellResult | None
    cells_run: int


def _always_fresh(
    self: ledger.StartLedger, key: ledger.TaskKey, submission: str, index: int
) -> ledger.Admission:
    self._running[key] = ledger.TaskRecord(key, submission, index)
    return ledger.Admission.FRESH


def _grant_all(self: _Any, *_: _Any) -> _Any:
    return ledger.TicketVerdict(ledger.TicketStatus.GRANTED)


def _rebind_lost(self: _Any, now: float, row: _Any) -> None:
    for binding in list(row.bound.values()):
        job = self._state.jobs.get(binding.submission)
        self._state.table.unbind(row.name, binding.seq)
        if job is not None and job.bound.pop(binding.seq, None):
            self._state.queue.give_back(job.waiting, binding.index)
    self._state.table.drop(row.name)


def _settle_without_waiting(self: _Any, fence: _Any) -> _Any:
    fence.missing.clear()
    return _SETTLE_FENCE(self, fence)


_SETTLE_FENCE = _recovery.Recovery._settle_fence


def _not_run_tags(self: _jobs.Job) -> tuple[str, ...]:
    return ("failed_not_run",) * self.size


def _answer_early(self: _Any, now: float, job: _Any) -> None:
    if not job.results or job.ticket_use is _jobs.TicketUse.AT_ARBITER:
        return
    for index in range(job.size):
        job.results.setdefault(index, b"null")
    self._answering.complete(now, job)


def _take_any_answer(
    self: _Any, submission: str, scheduler: str, answer: core.JobAnswer
) -> None:
    jobs = list(self._table.jobs.values())
    if jobs:
        self._answer(jobs[0], answer)


def _ignore(*_: _Any) -> None:
    return None


def _ignore_leaving(
    self: _Any, message: wire.StartTasks
) -> wire.ReleaseReason | None:
    if self._starts.running + len(message.indices) > self._options.slots:
        return wire.ReleaseReason.BUSY
    return None


def _accept_any_base(
    snapshot: configlog.Snapshot, change: configlog.Change, offset: int
) -> tuple[configlog.Snapshot, configlog.Verdict]:
    rebased = dataclasses.replace(change, base=snapshot.version)
    return _FOLD_CHANGE(snapshot, rebased, offset)


_FOLD_CHANGE = _fold._fold_change


def _take_any_checkpoint(
    snapshot: configlog.Snapshot,
    checkpoint: configlog.Checkpoint,
    offset: int,
) -> tuple[configlog.Snapshot, configlog.Verdict]:
    taken = dataclasses.replace(checkpoint.snapshot, through=offset + 1)
    return taken, configlog.Accepted("checkpoint", taken.version)


_F = _faults.Fault
_P = _promises.Promise
_S = _steps.Step

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "start ledger admits repeats",
        (Patch(ledger.StartLedger, "admit", _always_fresh),),
        _P.ONE_START,
        (_F.REPEAT,),
        (_S.SEND,),
    ),
    Mutation(
        "fence of a lost scheduler is ignored by agents",
        (Patch(ledger.StartLedger, "is_fenced", lambda *_: False),),
        _P.ONE_START,
        (_F.HALF_OPEN, _F.PAUSE, _F.CUT_AFTER),
    ),
    Mutation(
        "a front does not wait for every agent's word",
        (Patch(_recovery.Recovery, "_settle_fence", _settle_without_waiting),),
        _P.ONE_START,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.KILL_PEER, _F.PAUSE),
    ),
    Mutation(
        "tasks of a lost agent are bound again",
        (Patch(_endpoints.Endpoints, "agent_gone", _rebind_lost),),
        _P.ONE_START,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.PAUSE),
    ),
    Mutation(
        "tickets are always granted",
        (Patch(ledger.TicketLedger, "authorise", _grant_all),),
        _P.AT_MOST_ONCE,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.KILL_PEER, _F.CUT_AFTER),
    ),
    Mutation(
        "'not run' is told without proof",
        (Patch(_jobs.Job, "task_tags", _not_run_tags),),
        _P.NOT_RUN,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.ENDPOINT_FAILS),
    ),
    Mutation(
        "a job is answered before its last task",
        (Patch(_ticketing.Ticketing, "check_arbiter", _answer_early),),
        _P.OWN_ANSWER,
        (_F.LIST_STALE, _F.REPEAT),
    ),
    Mutation(
        "answers are not matched with their submission",
        (Patch(_front.Front, "on_answer", _take_any_answer),),
        _P.OWN_ANSWER,
        (_F.LIST_STALE, _F.REPEAT),
    ),
    Mutation(
        "leaving is ignored by scheduler and agent",
        (
            Patch(_endpoints.Endpoints, "agent_leaving", _ignore),
            Patch(core.AgentCore, "_refusal", _ignore_leaving),
        ),
        _P.LEAVING,
        (_F.LIST_STALE, _F.REPEAT),
    ),
    Mutation(
        "changes on an old version are accepted",
        (Patch(_fold, "_fold_change", _accept_any_base),),
        _P.CONFIGURATION,
        (_F.LIST_STALE, _F.REPEAT),
    ),
    Mutation(
        "an older checkpoint lowers the version",
        (Patch(_fold, "_fold_checkpoint", _take_any_checkpoint),),
        _P.CONFIGURATION,
        (_F.LOG_SLOW, _F.FREEZE, _F.PAUSE),
    ),
    Mutation(
        "a lost scheduler is not noticed",
        (
            Patch(_recovery.Recovery, "scheduler_lost", _ignore),
            Patch(_front.Front, "sweep", _ignore),
        ),
        _P.ANSWERED,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.CUT_BEFORE),
    ),
    Mutation(
        "a lost agent is not noticed",
        (
            Patch(_endpoints.Endpoints, "agent_gone", _ignore),
            Patch(_scheduler.Scheduler, "_sweep_timeouts", _ignore),
        ),
        _P.ANSWERED,
        (_F.KILL_AFTER, _F.KILL_BEFORE, _F.KILL_PEER),
    ),
)


@contextlib.contextmanager
def in_place(mutation: Mutation) -> abc.Iterator[None]:
    """Take the mechanism out for a while."""
    with contextlib.ExitStack() as stack:
        for patch in mutation.patches:
            original = getattr(patch.owner, patch.attribute)
            setattr(patch.owner, patch.attribute, patch.replacement)
            stack.callback(setattr, patch.owner, patch.attribute, original)
        yield


def run_mutation(mutation: Mutation) -> MutationResult:
    """Run the mutation's cells until one fails as expected."""
    cells = [
        cell
        for cell in _matrix.all_cells(_OCCURRENCES)
        if cell.blows[0].fault in mutation.faults
        and cell.blows[0].step in mutation.steps
        and not cell.reason
    ]
    with in_place(mutation):
        for count, cell in enumerate(cells, 1):
            result = _cells.run_cell(cell)
            failed = result.verdict is _cells.Verdict.FAILED
            if failed and result.detail.startswith(mutation.promise):
                return MutationResult(mutation, result, count)
    return MutationResult(mutation, None, len(cells))
