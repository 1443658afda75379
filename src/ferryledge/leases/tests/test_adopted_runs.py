"""Runs go on under the successor of their agent, or are stopped by it."""

import pytest

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_JOB = "a" * 16
_AGENT = "agent-0"


def _world(agents: int) -> worlds.World:
    """Return a world whose first entry has runs at the first endpoint."""
    world = worlds.World(seed=3, entries=2, agents=agents)
    world.run(3.0)
    world.submit("entry-0", _JOB, 8 * agents, 4.0, deadline_s=12.0)
    world.run(0.5)
    assert world.endpoints[_AGENT].runs
    return world


def test_runs_go_on_under_the_successor_of_their_agent() -> None:
    world = _world(agents=1)
    started = world.started[_JOB]
    world.kill(_AGENT, 0.2)
    world.run(1.5)
    assert world.started[_JOB] == started
    assert len(world.endpoints[_AGENT].runs) == started


def test_run_that_nobody_wants_is_stopped_under_a_successor() -> None:
    """Guards against a stop that is ignored since the claim comes after it."""
    world = _world(agents=3)
    world.kill(_AGENT, 0.2)
    world.run(0.1)
    world.post("entry-0", leases.ClientLeft(next(iter(world.jobs)), _JOB))
    sent: list[wire.Message] = []
    perform = world._perform

    def note(name: str, action: object) -> None:
        match action:
            case leases.SendMessage(peer, message) if (
                name == "entry-0" and peer == _AGENT
            ):
                sent.append(message)
        perform(name, action)

    world._perform = note
    world.run(0.4)
    kinds = [type(message) for message in sent]
    assert wire.StopRuns in kinds
    assert kinds.index(wire.ClaimRuns) < kinds.index(wire.StopRuns)
    assert not world.endpoints[_AGENT].runs


def test_unwanted_run_is_over_when_its_client_repeats_the_job() -> None:
    world = _world(agents=3)
    world.kill(_AGENT, 0.2)
    world.run(0.1)
    world.post("entry-0", leases.ClientLeft(next(iter(world.jobs)), _JOB))
    world.run(faults.REPEAT_S)
    world.submit("entry-1", _JOB, 24, 4.0, deadline_s=12.0)
    world.run(6.0)
    assert not world.violations


@pytest.mark.parametrize("paused_s", [0.1, 0.2, 0.3, 0.6])
def test_run_that_is_over_before_its_claim_is_started_again(
    paused_s: float,
) -> None:
    """Guards against an end that is reported to nobody."""
    world = worlds.World(seed=3, entries=1, agents=1)
    world.run(3.0)
    token = world.submit("entry-0", _JOB, 4, 1.0, deadline_s=9.0)
    world.run(0.3)
    world.kill(_AGENT, 0.2)
    perform = world._perform

    def pause_before_the_list_arrives(name: str, action: object) -> None:
        perform(name, action)
        match action:
            case leases.SendMessage(_, wire.RunsHeld(runs)) if runs:
                world.pause("entry-0", paused_s)

    world._perform = pause_before_the_list_arrives
    world.run(4.0)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert not world.violations
