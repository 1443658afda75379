"""Cordoned availability zones get no new work.

Guards against entries that order runs there because they are cut off from the
store, have just started, or have read an outdated log; agents check as well.
"""

import random

import pytest

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_JOB = "a" * 16


@pytest.fixture
def world() -> worlds.World:
    """Return a world of two zones with three connected entries."""
    world = worlds.World(
        seed=4, entries=3, agents=4, peers=True, zones=("north", "south")
    )
    world.run(3.0)
    return world


def test_restarted_entries_announce_a_lifted_cordon(
    world: worlds.World,
) -> None:
    """An entry announces its first state even if no zone is cordoned.

    Otherwise an agent that knows of the former cordon refuses all orders.
    """
    world.set_cordons("north", "south")
    world.run(worlds.CORDON_S)
    world.storeless.update(world.entries)
    for name in world.entries:
        world.kill(name)
    world.set_cordons()
    world.run(2.0)
    world.storeless.clear()
    world.run(worlds.OPERATORS_S + 0.5)
    token = world.submit("entry-0", _JOB, count=4, work_s=0.1)
    world.run(0.5)
    assert _is_complete(world, token)


def _running_in(world: worlds.World, zone: str) -> int:
    """Return the number of tasks that run in a zone now."""
    return sum(
        len(endpoint.runs)
        for agent, endpoint in world.endpoints.items()
        if world.zone_of[agent] == zone
    )


def _is_complete(world: worlds.World, token: int) -> bool:
    return isinstance(world.outcome(token), outcomes.Complete)


def test_nothing_starts_in_a_cordoned_zone(world: worlds.World) -> None:
    world.set_cordons("north")
    world.run(worlds.CORDON_S)
    tokens = [
        world.submit(f"entry-{n % 3}", f"{n:016x}", count=4, work_s=0.1)
        for n in range(12)
    ]
    world.run(3.0)
    assert all(_is_complete(world, token) for token in tokens)
    assert not world.violations


def test_running_tasks_finish(world: worlds.World) -> None:
    token = world.submit("entry-0", _JOB, count=32, work_s=3.0)
    world.run(0.2)
    assert _running_in(world, "north") == 16
    world.set_cordons("north")
    world.run(2.0)
    assert _running_in(world, "north") == 16
    world.run(2.0)
    assert _is_complete(world, token)
    assert world.started[_JOB] == 32


def test_zone_serves_promptly_after_cordon_is_lifted(
    world: worlds.World,
) -> None:
    world.set_cordons("north", "south")
    world.run(worlds.CORDON_S)
    world.set_cordons()
    world.run(worlds.OPERATORS_S)
    token = world.submit("entry-0", _JOB, count=32, work_s=0.1)
    world.run(0.3)
    assert _is_complete(world, token)


def test_job_is_refused_if_all_zones_are_cordoned(
    world: worlds.World,
) -> None:
    world.set_cordons("north", "south")
    world.run(worlds.CORDON_S)
    token = world.submit("entry-0", _JOB)
    world.run(0.01)
    assert isinstance(world.outcome(token), outcomes.Refused)
    assert not world.started[_JOB]


def test_job_that_fits_only_cordoned_zone_is_refused() -> None:
    world = worlds.World(seed=4, agents=4, zones=("north", "south"))
    world.labels["agent-0"] = ("rack-1",)
    world.run(3.0)
    world.set_cordons("north")
    world.run(worlds.CORDON_S)
    need = wire.Resources(1000, 100, 0)
    step = leases.JobStep(1, need, 0.2, label="rack-1")
    token = world.submit("entry-0", _JOB, steps=(step,))
    world.run(0.01)
    assert isinstance(world.outcome(token), outcomes.Refused)


def test_agents_refuse_orders_of_stale_entry() -> None:
    world = faults.play_stale_entry()
    assert not world.violations
    served = [_is_complete(world, token) for token in world.jobs]
    assert all(served)


def test_agents_update_an_outdated_entry() -> None:
    """A restarted entry learns of a cordon from its first stream."""
    world = worlds.World(seed=4, entries=2, agents=4, zones=("north", "south"))
    world.run(3.0)
    world.set_cordons("north")
    world.run(worlds.CORDON_S)
    world.storeless.add("entry-0")
    world.kill("entry-0", 0.3)
    world.run(0.3)
    # It reads the log as of before the cordon.
    world.post("entry-0", leases.CordonsRead(wire.CordonedZones(1)))
    world.run(1.0)
    rows = world.nodes["entry-0"].core.pool
    assert {row.name for row in rows if row.cordoned} == {"agent-0", "agent-2"}


@pytest.mark.parametrize("cordoned", [True, False])
def test_outdated_state_is_ignored(
    world: worlds.World, cordoned: bool
) -> None:
    """A delayed message neither restores a cordon nor lifts one."""
    zones = [("north",), ()]
    world.set_cordons(*zones[cordoned])
    world.run(worlds.CORDON_S)
    late = world.cordons
    world.set_cordons(*zones[not cordoned])
    world.run(worlds.CORDON_S)
    for name in world.agents:
        world.post(name, wire.Received("entry-1", late))
    for name in world.entries:
        world.post(name, leases.CordonsRead(late))
        world.post(name, wire.Received("agent-0", late))
    world.run(0.1)
    for number in range(8):
        world.submit("entry-0", f"{number:016x}", count=4, work_s=0.1)
        world.run(0.1)
        assert bool(_running_in(world, "north")) is not cordoned
    assert not world.violations


@pytest.mark.parametrize("seed", range(16))
def test_cordons_among_faults_in_series(seed: int) -> None:
    """Zones are cordoned and uncordoned while faults overlap."""
    rng = random.Random(seed)
    zones = ("north", "south", "east")
    world = worlds.World(seed, entries=3, agents=6, peers=True, zones=zones)
    world.run(2.0)
    names = list(faults.FAULTS)
    for number in range(60):
        entry = f"entry-{rng.randrange(3)}"
        name = f"{seed:08x}{number:08x}"
        work_s = rng.choice((0.1, 0.3, 0.9))
        world.submit(entry, name, rng.randint(1, 6), work_s, deadline_s=4.0)
        if rng.random() < 0.1:
            faults.FAULTS[rng.choice(names)](world)
        if rng.random() < 0.08:
            world.set_cordons(*rng.sample(zones, rng.randrange(3)))
        if rng.random() < 0.1:
            # Only one entry still reads the store; it may be cut off itself.
            world.storeless = set(rng.sample(world.entries, 2))
        world.run(rng.expovariate(6.0))
    world.storeless.clear()
    world.run(15.0)
    faults.check(world)
