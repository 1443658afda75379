"""The soak's plans, and a short run of it."""

import pathlib

import pytest

from ferryledge import soak
from ferryledge.soak import _judge
from ferryledge.soak import _plan

#: Seeds that failed once, with the cause.
REGRESSIONS: dict[int, str] = {}


def test_same_seed_is_the_same_plan() -> None:
    assert soak.make_plan(7) == soak.make_plan(7)
    assert soak.make_plan(7) != soak.make_plan(8)


def test_every_kind_of_fault_is_planned() -> None:
    kinds = {
        fault.kind
        for seed in range(30)
        for fault in soak.make_plan(seed).faults
    }
    assert kinds == set(_plan.FaultKind)


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_in_a_short_soak(
    seed: int, tmp_path: pathlib.Path
) -> None:
    plan = soak.make_plan(seed, seconds=10.0, entries=2, agents=3)
    report = soak.play(plan, tmp_path)
    assert not report.findings
    assert report.succeeded


def test_start_at_a_draining_endpoint_is_found() -> None:
    judge = _judge.Judge()
    judge.drain("endpoint-0", _judge.DRAIN_S)
    assert not judge.findings
    judge.drain("endpoint-0", _judge.DRAIN_S + 0.1)
    assert [one.promise for one in judge.findings] == ["drain"]
