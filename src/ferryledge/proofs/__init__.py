"""Proofs that the promises hold: a fault matrix and a mutation table.

``python -m ferryledge.proofs matrix`` runs every fault at every step;
``python -m ferryledge.proofs mutations`` takes each mechanism out and shows
which proof fails then. Both write their table into ``docs``.
"""

from ferryledge.proofs import _cells
from ferryledge.proofs import _faults
from ferryledge.proofs import _matrix
from ferryledge.proofs import _mutations
from ferryledge.proofs import _promises
from ferryledge.proofs import _steps
from ferryledge.proofs import _workload

Blow = _cells.Blow
Cell = _cells.Cell
CellResult = _cells.CellResult
Fault = _faults.Fault
MUTATIONS = _mutations.MUTATIONS
Mutation = _mutations.Mutation
MutationResult = _mutations.MutationResult
Promise = _promises.Promise
Step = _steps.Step
Verdict = _cells.Verdict
Violation = _promises.Violation
Workload = _workload.Workload
all_cells = _matrix.all_cells
check = _promises.check
pair_cells = _matrix.pair_cells
run_cell = _cells.run_cell
run_cells = _matrix.run_cells
run_mutation = _mutations.run_mutation

__all__ = [
    "MUTATIONS",
    "Blow",
    "Cell",
    "CellResult",
    "Fault",
    "Mutation",
    "MutationResult",
    "Promise",
    "Step",
    "Verdict",
    "Violation",
    "Workload",
    "all_cells",
    "check",
    "pair_cells",
    "run_cell",
    "run_cells",
    "run_mutation",
]
