"""Endpoints whose capacity shrinks and grows while tasks run.

The endpoint does not enforce its capacity, so the agent must: running and
stopping tasks count until they are over.
"""

import random

import pytest

from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_SMALL = wire.Resources(2000, 8000, 0)


@pytest.fixture
def world() -> worlds.World:
    """Return a cluster of one entry and one agent with a full endpoint."""
    world = worlds.World(seed=7, entries=1, agents=1)
    world.run(3.0)
    world.submit("entry-0", "a" * 16, 8, work_s=1.0)
    world.run(0.1)
    return world


def test_nothing_starts_beyond_a_shrunk_capacity(world: worlds.World) -> None:
    world.resize("agent-0", _SMALL)
    world.submit("entry-0", "b" * 16, 2, work_s=0.2)
    world.run(0.8)
    assert not world.started["b" * 16]
    world.run(0.3)
    token = world.submit("entry-0", "c" * 16, 4, work_s=0.2)
    world.run(0.6)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert not world.violations


def test_added_capacity_is_used_at_once(world: worlds.World) -> None:
    world.resize("agent-0", _SMALL)
    world.run(0.1)
    world.resize("agent-0", wire.Resources(16000, 16000, 0))
    token = world.submit("entry-0", "b" * 16, 8, work_s=0.2)
    world.run(0.4)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_restarted_agent_respects_a_shrunk_capacity(
    world: worlds.World,
) -> None:
    world.resize("agent-0", _SMALL)
    world.run(1.5)
    world.kill("agent-0", 0.1)
    world.run(0.2)
    for number in range(8):
        world.submit("entry-0", f"{number:016x}", 2, work_s=0.5)
        world.run(0.2)
    assert not world.violations


@pytest.mark.parametrize("seed", range(8))
def test_capacity_changes_under_load(seed: int) -> None:
    rng = random.Random(seed)
    world = worlds.World(seed, entries=2, agents=3)
    world.late_orders = 0.1
    world.run(3.0)
    for number in range(80):
        cpu = rng.choice((800, 1500, 2300))
        work_s = rng.choice((0.1, 0.3, 0.9))
        count = rng.randint(1, 6)
        entry = f"entry-{rng.randrange(2)}"
        world.submit(entry, f"{number:016x}", count, work_s, cpu)
        if rng.random() < 0.2:
            capacity = wire.Resources(
                rng.choice((0, 2000, 5000, 8000)), 8000, 0
            )
            world.resize(rng.choice(world.agents), capacity)
        world.run(rng.expovariate(12.0))
    world.late_orders = 0.0
    world.run(10.0)
    assert not world.violations
