"""An endpoint that started lately is slow for a while, and says for how long.

A zone that is taken back may have turned cold meanwhile. What an endpoint says
of that was read and used nowhere: tasks went there first as often as anywhere,
and what they took was learned as its speed.
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
    """Return a world of one entry and four agents, of which one is cold."""
    made = worlds.World(seed=8, entries=1, agents=4)
    made.run(3.0)
    made.cold_until["agent-2"] = made.now + _COLD_S
    made.heartbeat("agent-2")
    made.run(0.1)
    return made


def _runs(world: worlds.World, agent: str) -> int:
    return len(world.endpoints[agent].runs)


@pytest.mark.parametrize("cold", ["agent-0", "agent-1", "agent-3"])
def test_cold_endpoint_comes_last(world: worlds.World, cold: str) -> None:
    world.cold_until = {cold: world.now + _COLD_S}
    for agent in world.agents:
        world.heartbeat(agent)
    world.run(0.1)
    world.submit("entry-0", "a" * 16, 24, work_s=0.5)
    world.run(0.1)
    idle = [agent for agent in world.agents if not _runs(world, agent)]
    assert idle == [cold]


def test_cold_endpoint_serves_what_the_others_have_no_room_for(
    world: worlds.World,
) -> None:
    # Several times slower, which would be sick for another one.
    world.endpoints["agent-2"].speed = 0.3
    token = world.submit("entry-0", "a" * 16, 32, work_s=0.5)
    world.run(0.1)
    assert _runs(world, "agent-2") == 8
    world.run(2.5)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_its_speed_is_not_learned_until_it_is_warm(
    world: worlds.World,
) -> None:
    world.endpoints["agent-2"].speed = 0.5
    for number in range(4):
        world.submit("entry-0", f"{number:016x}", 32, work_s=0.4)
        world.run(1.0)
    assert _core(world)._run_times.slowness("agent-2") == 1.0


def test_it_counts_as_any_other_once_it_is_warm(world: worlds.World) -> None:
    world.run(_COLD_S + 0.2)
    row = _core(world).pool.find("agent-2")
    assert row is not None and not row.state.cold
