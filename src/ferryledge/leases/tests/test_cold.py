"""Cold endpoints, which are slow for a while after their start.

They must be used last, and their run times must not be learned as their speed.
"""

import pytest

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes

_COLD_S = 5.0


def _core(world: worlds.World) -> leases.LeaseEntry:
    core: leases.LeaseEntry = world.nodes["entry-0"].core
    return core


@pytest.fixture
def world() -> worlds.World:
    """Return a cluster of one entry and four agents, one of them cold."""
    world = worlds.World(seed=8, entries=1, agents=4)
    world.run(3.0)
    world.cold_until["agent-2"] = world.now + _COLD_S
    world.heartbeat("agent-2")
    world.run(0.1)
    return world


def _runs(world: worlds.World, agent: str) -> int:
    return len(world.endpoints[agent].runs)


@pytest.mark.parametrize("cold", ["agent-0", "agent-1", "agent-3"])
def test_cold_endpoint_is_used_last(world: worlds.World, cold: str) -> None:
    world.cold_until = {cold: world.now + _COLD_S}
    for agent in world.agents:
        world.heartbeat(agent)
    world.run(0.1)
    world.submit("entry-0", "a" * 16, 24, work_s=0.5)
    world.run(0.1)
    idle = [agent for agent in world.agents if not _runs(world, agent)]
    assert idle == [cold]


def test_cold_endpoint_serves_tasks_that_fit_no_other(
    world: worlds.World,
) -> None:
    # Slow enough to count as unhealthy if it were not cold.
    world.endpoints["agent-2"].speed = 0.3
    token = world.submit("entry-0", "a" * 16, 32, work_s=0.5)
    world.run(0.1)
    assert _runs(world, "agent-2") == 8
    world.run(2.5)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_speed_of_a_cold_endpoint_is_not_learned(
    world: worlds.World,
) -> None:
    world.endpoints["agent-2"].speed = 0.5
    for number in range(4):
        world.submit("entry-0", f"{number:016x}", 32, work_s=0.4)
        world.run(1.0)
    assert _core(world)._run_times.slowness("agent-2") == 1.0


def test_endpoint_is_no_longer_cold_once_it_is_warm(
    world: worlds.World,
) -> None:
    world.run(_COLD_S + 0.2)
    row = _core(world).pool.find("agent-2")
    assert row is not None and not row.state.cold
