"""Handovers break their guarantees if one mechanism is disabled."""

import pytest

from ferryledge import leases
from ferryledge.leases import _incoming_handovers
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _run_tracker
from ferryledge.leases.tests import handovers
from ferryledge.leases.tests import test_mutations
from ferryledge import loads as worlds
from ferryledge import wire

_OWN = "b" * 16
#: Seconds for which the delegator is cut off from its agents; they are back
#: while the delegate runs the job.
_CUT_S = 0.3


def _all_cut_off() -> worlds.World:
    """Cut the delegate off from the delegator and from all agents."""

    def strike(world: worlds.World, delegate: str) -> None:
        world.cut(handovers.DELEGATOR, delegate, 3.0)
        for agent in world.agents:
            world.cut(delegate, agent, 3.0, both=False)

    step = handovers.STEPS["running"]
    return handovers.play(
        strike,
        step,
        1,
        work_s=2.5,
        cut_s=_CUT_S,
        rules=test_mutations.NO_DETECTION,
    )


def _all_lost_in_turn() -> worlds.World:
    """Kill the delegator, the delegate, and the agents that run the job."""

    def strike(world: worlds.World, delegate: str) -> None:
        world.kill(handovers.DELEGATOR, 4.0)
        world.at(0.29, lambda: world.kill(delegate, 4.0))
        world.at(0.7, lambda: _kill_busy(world))

    step = handovers.Step(wire.HandoverGrant, 0.002)
    return handovers.play(strike, step, 1, work_s=3.0)


def _kill_busy(world: worlds.World) -> None:
    for agent in world.agents:
        if world.endpoints[agent].runs:
            world.kill(agent, 4.0)


def _undisturbed() -> worlds.World:
    step = handovers.STEPS["running"]
    strike = handovers.FAULTS["nothing"]
    return handovers.play(strike, step, 1, work_s=2.5, cut_s=_CUT_S)


def _reset_at_result() -> worlds.World:
    # Otherwise the delegate also tells that the job is complete.
    rules = leases.EntryRules(registers_jobs=False)
    step = handovers.STEPS["result on its way"]
    strike = handovers.FAULTS["stream reset"]
    world = handovers.play(strike, step, 1, rules=rules)
    if world.started[handovers.JOB] != handovers.TASKS:
        world.violations.append("started again although it was done")
    return world


def _delegator_lost_beside_own_job() -> worlds.World:
    """Kill the delegator while the delegate also runs a job of its own."""

    def strike(world: worlds.World, delegate: str) -> None:
        world.submit(delegate, _OWN, 24, 1.5)
        world.at(0.1, lambda: world.kill(handovers.DELEGATOR, 6.0))

    step = handovers.STEPS["answered"]
    world = handovers.play(strike, step, 1, work_s=4.0)
    if world.started[_OWN] != 24:
        world.violations.append("own runs stopped with those of the delegator")
    return world


def _startable_while_delegated(job: _jobs.Job) -> list[_jobs.Task]:
    """Treat a delegated job as one that waits here."""
    job.is_delegated, is_delegated = False, job.is_delegated
    try:
        return _STARTABLE(job)
    finally:
        job.is_delegated = is_delegated


_STARTABLE = _jobs.Job.startable
_JOIN = _incoming_handovers.IncomingHandovers.join


def _join_without_results(
    incoming: _incoming_handovers.IncomingHandovers,
    now: float,
    hello: wire.Hello,
) -> None:
    """Drop results that the delegator has not confirmed."""
    for delegator in incoming._delegators.values():
        delegator.unconfirmed = []
    _JOIN(incoming, now, hello)


MUTATIONS = {
    "the delegator takes a lost job back at once": test_mutations.Mutation(
        _outgoing_handovers.OutgoingHandovers,
        "_is_over",
        lambda _, now, offer: offer.is_abandoned,
        _all_cut_off,
    ),
    "grants of delegated runs are not shortened": test_mutations.Mutation(
        _run_tracker.RunTracker,
        "shorten_by_ms",
        lambda *_: 0,
        _all_lost_in_turn,
    ),
    "the delegator orders runs of delegated jobs": test_mutations.Mutation(
        _jobs.Job,
        "startable",
        _startable_while_delegated,
        _undisturbed,
    ),
    "results are sent only once": test_mutations.Mutation(
        _incoming_handovers.IncomingHandovers,
        "join",
        _join_without_results,
        _reset_at_result,
    ),
    "the delegate ignores an expired lease": test_mutations.Mutation(
        _incoming_handovers.IncomingHandovers,
        "check",
        lambda *_: None,
        _delegator_lost_beside_own_job,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_guarantees_hold_with_mechanism(name: str) -> None:
    assert not MUTATIONS[name].scenario().violations


@pytest.mark.parametrize("name", MUTATIONS)
def test_guarantees_break_without_mechanism(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation = MUTATIONS[name]
    monkeypatch.setattr(
        mutation.target, mutation.attribute, mutation.replacement
    )
    assert mutation.scenario().violations
