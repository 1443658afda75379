"""One cell of the matrix: faults at steps of the workload."""

import dataclasses
import enum

from ferryledge.proofs import _faults
from ferryledge.proofs import _promises
from ferryledge.proofs import _steps
from ferryledge.proofs import _workload


class Verdict(enum.StrEnum):
    """What a cell showed."""

    PROVED = "proved"
    FAILED = "failed"
    NOT_RUN = "not run"
    NOT_APPLICABLE = "not applicable"


@dataclasses.dataclass(frozen=True, slots=True)
class Blow:
    """A fault at an occurrence of a step."""

    step: _steps.Step
    fault: _faults.Fault
    occurrence: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A run with one or more faults."""

    blows: tuple[Blow, ...]
    seed: int = 1

    @property
    def reason(self) -> str:
        """Why the cell can't be run, or an empty string."""
        for blow in self.blows:
            reason = _faults.not_applicable(blow.step, blow.fault)
            if reason:
                return reason
        return ""


@dataclasses.dataclass(frozen=True, slots=True)
class CellResult:
    """What came of a cell."""

    cell: Cell
    verdict: Verdict
    detail: str = ""
    jobs: int = 0
    complete: int = 0


def run_cell(cell: Cell) -> CellResult:
    """Run a cell and check every promise."""
    if cell.reason:
        return CellResult(cell, Verdict.NOT_APPLICABLE, cell.reason)
    world = _workload.new_world(cell.seed)
    strikes = [
        _faults.Strike(blow.step, blow.fault, blow.occurrence)
        for blow in cell.blows
    ]
    world.hook = lambda happening: any(
        [strike.look(world, happening) for strike in strikes]
    )
    workload = _workload.Workload(world, cell.seed)
    workload.run()
    violations = _promises.check(world, workload)
    complete = sum(
        any(record.complete for record in job.records) for job in workload.jobs
    )
    jobs = len(workload.jobs)
    if violations:
        first = violations[0]
        detail = f"{first.promise}: {first.detail}"
        return CellResult(cell, Verdict.FAILED, detail, jobs, complete)
    if not all(strike.struck for strike in strikes):
        detail = "the step did not come up so often"
        return CellResult(cell, Verdict.NOT_RUN, detail, jobs, complete)
    return CellResult(cell, Verdict.PROVED, "", jobs, complete)
