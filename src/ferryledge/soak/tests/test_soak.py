"""The soak's plans, and a short run of it."""

import dataclasses
import pathlib

import pytest

from ferryledge import leases
from ferryledge.platform import standin as platform_standin
from ferryledge import soak
from ferryledge.soak import _adoption
from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge import wire

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


KEY = leases.RunKey("a" * 16, 0, 0, 1)


def found_run() -> _judge.Judge:
    """Return a judge of a run that a successor found."""
    judge = _judge.Judge()
    judge.submitted(KEY.job, 1)
    judge.watch("start", KEY, "endpoint-0")
    judge.found([KEY])
    return judge


@pytest.mark.parametrize("how", ["stopped", "lapsed"])
def test_run_that_is_found_and_then_cut_off_is_noted(how: str) -> None:
    judge = found_run()
    judge.ended(KEY, wire.HowEnded(how))
    assert [one.promise for one in judge.findings] == ["adopt"]
    assert not judge.adopted


def test_run_that_is_found_and_ends_is_adopted() -> None:
    judge = found_run()
    judge.ended(KEY, wire.HowEnded.DONE)
    assert judge.adopted == 1
    assert not judge.findings


def test_run_that_nobody_waits_for_may_be_stopped() -> None:
    judge = found_run()
    judge.answered(KEY.job, platform_standin.ClientState.UNKNOWN)
    judge.ended(KEY, wire.HowEnded.STOPPED)
    assert not judge.findings


def test_run_whose_place_another_took_may_be_stopped() -> None:
    judge = found_run()
    judge.watch("end", KEY, "endpoint-0")
    judge.watch("start", dataclasses.replace(KEY, run=2), "endpoint-1")
    judge.ended(KEY, wire.HowEnded.STOPPED)
    assert not judge.findings


def test_only_an_end_that_nothing_else_disturbs_is_judged() -> None:
    kill = _plan.Fault(20.0, _plan.FaultKind.KILL_AGENT, 0, 1.0)

    def plan(*others: _plan.Fault) -> _plan.Plan:
        return _plan.Plan(1, 60.0, 3, 5, (kill, *others))

    near = _plan.Fault(16.0, _plan.FaultKind.DELAY, 0, 3.0)
    assert _adoption.is_quiet(plan(), kill)
    assert not _adoption.is_quiet(plan(near), kill)
    far = dataclasses.replace(near, at=9.0)
    assert _adoption.is_quiet(plan(far), kill)
