"""Every fault at every step, pairs of faults, and past failures."""

import pytest

from ferryledge import proofs

F = proofs.Fault
S = proofs.Step
WORKERS = 4


def failures(cells):
    results = proofs.run_cells(cells, WORKERS)
    return [one for one in results if one.verdict is proofs.Verdict.FAILED]


def test_every_fault_at_every_step():
    assert failures(proofs.all_cells()) == []


def test_pairs_of_faults():
    assert failures(proofs.pair_cells(1000)) == []


def test_a_cell_gives_the_same_verdict_every_time():
    cells = proofs.pair_cells(3, seed=5)
    assert proofs.run_cells(cells, 1) == proofs.run_cells(cells, 1)


#: Pairs that once broke a promise; each names the cause.
PAST_FAILURES = {
    "a late list of agents applied to jobs taken back": (
        1366,
        proofs.Blow(S.RUN, F.KILL_AFTER, 1),
        proofs.Blow(S.ADMIT, F.FREEZE, 1),
    ),
    "the same, with the scheduler frozen at sending": (
        11370,
        proofs.Blow(S.AUTHORISE, F.KILL_PEER, 1),
        proofs.Blow(S.SEND, F.FREEZE, 1),
    ),
    "a job waited for a normal endpoint when all left seemed slow": (
        2953,
        proofs.Blow(S.CANCEL, F.ENDPOINT_FAILS, 1),
        proofs.Blow(S.FOLD, F.LIST_EMPTY, 7),
    ),
    "a repeated job ran again after it had failed": (
        9583,
        proofs.Blow(S.SEND, F.ENDPOINT_FAILS, 1),
        proofs.Blow(S.PLACE, F.REPEAT, 1),
    ),
}


@pytest.mark.parametrize("name", PAST_FAILURES)
def test_past_failures(name):
    seed, *blows = PAST_FAILURES[name]
    assert failures([proofs.Cell(tuple(blows), seed)]) == []


@pytest.mark.parametrize(
    "mutation", proofs.MUTATIONS, ids=lambda one: one.name
)
def test_a_mechanism_taken_out_is_noticed(mutation):
    result = proofs.run_mutation(mutation)
    assert result.failed is not None
