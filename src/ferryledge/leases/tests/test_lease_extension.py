"""The endpoint's lease is not extended for runs that have to end.

The lease covers all runs of an endpoint. Extended for the sake of others, it
would keep such a run alive while its task starts again elsewhere.
"""

import functools

import pytest

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes

_JOB = "a" * 16
_AGENT = "agent-0"
_TASKS = 20
_WORK_S = 4.0
#: Seconds of an endpoint's clock per second, at the least.
_SLOWEST_CLOCK = 0.98
#: Seconds between the kill of an agent and its next start.
_RESTARTS_S = (0.1, 0.3, 0.5, 0.55, 0.6, 0.7)


def _world(entries: int = 2, agents: int = 3, seed: int = 3) -> worlds.World:
    """Return a world whose first entry has runs at all endpoints."""
    world = worlds.World(seed=seed, entries=entries, agents=agents)
    world.run(3.0)
    world.submit("entry-0", _JOB, _TASKS, _WORK_S, deadline_s=12.0)
    world.run(0.5)
    assert all(endpoint.runs for endpoint in world.endpoints.values())
    return world


def _slow_clock(world: worlds.World) -> None:
    """Let the clock of the endpoint run as slow as the platform allows."""
    endpoint = world.endpoints[_AGENT]
    clock_s = endpoint.clock_ms(world.now) / 1000.0
    endpoint._clock_rate = _SLOWEST_CLOCK
    endpoint._offset_s = clock_s - world.now * _SLOWEST_CLOCK


def _kill_entry_after_grant(world: worlds.World) -> None:
    """Kill the first entry as soon as the agent has got a grant from it."""
    owner = world.nodes[_AGENT].core._owners.current("entry-0")
    granted_at = owner.granted_at
    while owner.granted_at == granted_at:
        world.run(0.0005)
    world.kill("entry-0", 6.0)


def _token(world: worlds.World) -> int:
    return next(iter(world.jobs))


def _repeat(world: worlds.World) -> None:
    """Submit the job again to the second entry."""
    world.submit("entry-1", _JOB, _TASKS, _WORK_S, deadline_s=12.0)


def test_run_whose_stop_is_lost_ends_before_its_task_starts_again() -> None:
    """The agent is cut off from the entry, and can't stop the entry's runs."""
    world = _world()
    world.lost_stops.add(_AGENT)
    world.cut("entry-0", _AGENT, 4.0)
    world.run(8.0)
    assert not world.violations


def test_run_whose_stop_is_lost_ends_before_its_client_repeats() -> None:
    """The client's connection broke, and the agent can't stop the runs."""
    world = _world()
    world.lost_stops.add(_AGENT)
    world.post("entry-0", leases.ClientLeft(_token(world), _JOB))
    world.at(faults.REPEAT_S, functools.partial(_repeat, world))
    world.run(8.0)
    assert not world.violations


@pytest.mark.parametrize("phase_s", [0.0, 0.21, 0.42, 0.63, 0.84])
@pytest.mark.parametrize("seed", range(3))
def test_run_whose_stop_is_lost_ends_before_its_entry_is_replaced(
    seed: int, phase_s: float
) -> None:
    """The entry is lost right after a grant; the endpoint's clock is slow."""
    world = _world(seed=seed)
    _slow_clock(world)
    world.run(phase_s)
    _kill_entry_after_grant(world)
    world.lost_stops.add(_AGENT)
    world.at(faults.REPEAT_S, functools.partial(_repeat, world))
    world.run(4.0)
    assert not world.violations


def test_lost_stop_of_a_run_ends_no_other_run_if_repeated_in_time() -> None:
    world = _world()
    other = world.submit("entry-1", "b" * 16, 3, 1.0)
    world.run(0.2)
    world.lost_stops.add(_AGENT)
    world.post("entry-0", leases.ClientLeft(_token(world), _JOB))
    world.at(0.4, world.lost_stops.clear)
    world.run(1.5)
    assert isinstance(world.outcome(other), outcomes.Complete)
    assert world.started["b" * 16] == 3


@pytest.mark.parametrize("down_s", _RESTARTS_S)
@pytest.mark.parametrize("phase_s", [0.1, 0.15])
@pytest.mark.parametrize("entries", [1, 2])
def test_successor_of_an_agent_extends_no_run_that_is_not_claimed(
    entries: int, phase_s: float, down_s: float
) -> None:
    """The entry is cut off from the successor and takes the runs for over."""
    world = _world(entries)
    world.run(phase_s)
    world.kill(_AGENT, down_s)
    world.cut("entry-0", _AGENT, 3.0)
    world.run(8.0)
    assert not world.violations


@pytest.mark.parametrize("down_s", _RESTARTS_S)
@pytest.mark.parametrize("entry_down_s", [0.0, 0.2, 0.4])
def test_runs_of_killed_processes_end_before_their_client_repeats(
    entry_down_s: float, down_s: float
) -> None:
    """All processes are killed at once, and agents soon start again."""
    world = _world()
    for name in world.agents:
        world.kill(name, down_s)
    world.kill("entry-0", 3.0)
    world.kill("entry-1", entry_down_s)
    world.at(faults.REPEAT_S, functools.partial(_repeat, world))
    world.run(8.0)
    assert not world.violations
