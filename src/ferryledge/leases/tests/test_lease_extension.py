"""The endpoint's lease is not extended for runs that have to end.

The lease covers all runs of an endpoint. Extended for the sake of others, it
would keep such a run alive while its task starts again elsewhere.
"""

import functools

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes

_JOB = "a" * 16
_AGENT = "agent-0"
_TASKS = 20
_WORK_S = 4.0


def _world(entries: int = 2, agents: int = 3) -> worlds.World:
    """Return a world whose first entry has runs at all endpoints."""
    world = worlds.World(seed=3, entries=entries, agents=agents)
    world.run(3.0)
    world.submit("entry-0", _JOB, _TASKS, _WORK_S, deadline_s=12.0)
    world.run(0.5)
    assert all(endpoint.runs for endpoint in world.endpoints.values())
    return world


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
