"""Without one of its mechanisms handing on is seen to break."""

import pytest

from ferryledge.leases import _incoming_handovers
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _run_tracker
from ferryledge.leases.tests import handovers
from ferryledge.leases.tests import test_mutations
from ferryledge import loads as worlds
from ferryledge import wire

_OWN = "b" * 16
#: Seconds for which the giver hears none of its agents: it has them back
#: while the taker runs the job.
_CUT_S = 0.3


def _all_cut_off() -> worlds.World:
    """Cut the taker off, from the giver and from its agents."""

    def strike(world: worlds.World, taker: str) -> None:
        world.cut(handovers.GIVER, taker, 3.0)
        for agent in world.agents:
            world.cut(taker, agent, 3.0, both=False)

    step = handovers.STEPS["running"]
    return handovers.play(strike, step, 1, work_s=2.5, cut_s=_CUT_S)


def _all_lost_in_turn() -> worlds.World:
    """Lose the giver, then the taker, then the agents that run the job."""

    def strike(world: worlds.World, taker: str) -> None:
        world.kill(handovers.GIVER, 4.0)
        world.at(0.29, lambda: world.kill(taker, 4.0))
        world.at(0.7, lambda: _kill_busy(world))

    step = handovers.Step(wire.GrantHandedIn, 0.002)
    return handovers.play(strike, step, 1, work_s=3.0)


def _kill_busy(world: worlds.World) -> None:
    for agent in world.agents:
        if world.endpoints[agent].runs:
            world.kill(agent, 4.0)


def _undisturbed() -> worlds.World:
    step = handovers.STEPS["running"]
    strike = handovers.FAULTS["nothing"]
    return handovers.play(strike, step, 1, work_s=2.5, cut_s=_CUT_S)


def _reset_at_the_result() -> worlds.World:
    step = handovers.STEPS["result on its way"]
    world = handovers.play(handovers.FAULTS["stream reset"], step, 1)
    if world.started[handovers.JOB] != handovers.TASKS:
        world.violations.append("started again although it was done")
    return world


def _giver_lost_beside_an_own_job() -> worlds.World:
    """Lose the giver while its taker runs a job of its own as well."""

    def strike(world: worlds.World, taker: str) -> None:
        world.submit(taker, _OWN, 24, 1.5)
        world.at(0.1, lambda: world.kill(handovers.GIVER, 6.0))

    step = handovers.STEPS["answered"]
    world = handovers.play(strike, step, 1, work_s=4.0)
    if world.started[_OWN] != 24:
        world.violations.append("own runs stopped with those of the giver")
    return world


def _startable_wherever_it_is(job: _jobs.Job) -> list[_jobs.Task]:
    """Take a job that is away for one that waits here."""
    job.is_delegated, away = False, job.is_delegated
    try:
        return _STARTABLE(job)
    finally:
        job.is_delegated = away


_STARTABLE = _jobs.Job.startable
_JOIN = _incoming_handovers.IncomingHandovers.join


def _join_without_results(
    handed_in: _incoming_handovers.IncomingHandovers,
    now: float,
    hello: wire.Hello,
) -> None:
    """Forget results that the giver has not confirmed."""
    for giver in handed_in._givers.values():
        giver.unconfirmed = []
    _JOIN(handed_in, now, hello)


MUTATIONS = {
    "the giver runs it again at once": test_mutations.Mutation(
        _outgoing_handovers.OutgoingHandovers,
        "_is_over",
        lambda _, now, offer: offer.is_given_up,
        _all_cut_off,
    ),
    "grants last as long as for own runs": test_mutations.Mutation(
        _run_tracker.RunTracker,
        "shorten_by_ms",
        lambda *_: 0,
        _all_lost_in_turn,
    ),
    "the giver orders what is away": test_mutations.Mutation(
        _jobs.Job,
        "startable",
        _startable_wherever_it_is,
        _undisturbed,
    ),
    "results are told once": test_mutations.Mutation(
        _incoming_handovers.IncomingHandovers,
        "join",
        _join_without_results,
        _reset_at_the_result,
    ),
    "the taker runs on while the giver is silent": test_mutations.Mutation(
        _incoming_handovers.IncomingHandovers,
        "check",
        lambda *_: None,
        _giver_lost_beside_an_own_job,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_promises_hold_with_the_mechanism(name: str) -> None:
    assert not MUTATIONS[name].scenario().violations


@pytest.mark.parametrize("name", MUTATIONS)
def test_promises_break_without_it(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation = MUTATIONS[name]
    monkeypatch.setattr(
        mutation.target, mutation.attribute, mutation.replacement
    )
    assert mutation.scenario().violations
