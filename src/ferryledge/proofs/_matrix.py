"""All cells: every fault at every step, and pairs found by seed."""

from collections import abc
import concurrent.futures
import itertools
import os
import random

from ferryledge.proofs import _cells
from ferryledge.proofs import _faults
from ferryledge.proofs import _steps

#: Occurrences of a step at which single faults strike.
OCCURRENCES = (1, 4, 7, 9)
_PAIR_SEED = 11


def all_cells(
    occurrences: abc.Sequence[int] = OCCURRENCES,
) -> list[_cells.Cell]:
    """Return the cells with one fault."""
    return [
        _cells.Cell((_cells.Blow(step, fault, occurrence),), seed=occurrence)
        for step, fault in itertools.product(_steps.Step, _faults.Fault)
        for occurrence in occurrences
    ]


def pair_cells(count: int, seed: int = _PAIR_SEED) -> list[_cells.Cell]:
    """Return that many cells with two faults, drawn by a seed."""
    rng = random.Random(seed)
    blows = [
        _cells.Blow(step, fault, occurrence)
        for step, fault in itertools.product(_steps.Step, _faults.Fault)
        for occurrence in OCCURRENCES
        if not _faults.not_applicable(step, fault)
    ]
    return [
        _cells.Cell((rng.choice(blows), rng.choice(blows)), seed=number)
        for number in range(count)
    ]


def run_cells(
    cells: abc.Sequence[_cells.Cell], workers: int = 0
) -> list[_cells.CellResult]:
    """Run cells on several processors; the results keep their order."""
    workers = workers or os.cpu_count() or 1
    if workers == 1:
        return [_cells.run_cell(cell) for cell in cells]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_cells.run_cell, cells, chunksize=8))
