"""Every fault at every step of a leased job, and faults in series."""

import random

import pytest

from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes

_SEEDS = (*range(24), 157)
#: Faults that were added after a seed failed. Such seeds are played without
#: them as well, so that they still draw the same series.
_LATER_FAULTS = (
    "configurations late or torn",
    "endpoint flaps",
    "endpoint fails a zone's callers",
    "endpoint hangs now and then",
    "agent restarted while cut off",
    "stops lost",
    "stops lost while cut off",
)


@pytest.mark.parametrize("step", faults.STEPS)
@pytest.mark.parametrize("fault", faults.FAULTS)
def test_fault_at_step(fault: str, step: str) -> None:
    for seed in (1, 2):
        inject = faults.FAULTS[fault]
        world = faults.play(inject, faults.STEPS[step], seed * 100)
        faults.check(world)
        untouched = [
            world.answers[token]
            for token, job in world.jobs.items()
            if job.job == f"{seed * 100 + 2:016x}"
        ]
        assert untouched[0], "the job at the other entry has no answer"


@pytest.mark.parametrize("seed", _SEEDS)
def test_faults_in_series(seed: int) -> None:
    """Faults overlap while jobs are submitted to both entries."""
    _play_series(seed, list(faults.FAULTS))


def test_order_that_arrives_after_a_restart_starts_nothing() -> None:
    """Guards against an order that starts a task on a restarted endpoint.

    The runs of the earlier start are already considered lost by then.
    """
    names = [name for name in faults.FAULTS if name not in _LATER_FAULTS]
    _play_series(157, names)


def _play_series(seed: int, names: list[str]) -> None:
    """Submit jobs while faults of these names are injected."""
    rng = random.Random(seed)
    world = worlds.World(seed, entries=2, agents=4)
    world.run(2.0)
    for number in range(60):
        entry = f"entry-{rng.randrange(2)}"
        name = f"{seed:08x}{number:08x}"
        count = rng.randint(1, 6)
        work_s = rng.choice((0.1, 0.3, 0.9))
        cpu = rng.choice((800, 1600, 2300))
        world.submit(entry, name, count, work_s, cpu, deadline_s=4.0)
        if rng.random() < 0.1:
            faults.FAULTS[rng.choice(names)](world)
        world.run(rng.expovariate(8.0))
    world.run(15.0)
    faults.check(world)


@pytest.mark.parametrize("seed", range(6))
def test_faults_in_series_among_more_entries_than_streams(seed: int) -> None:
    """Agents change the entries that they serve while jobs run."""
    rng = random.Random(seed)
    world = worlds.World(seed, entries=9, agents=12, peers=True)
    world.run(4.0)
    names = list(faults.FAULTS)
    for number in range(60):
        entry = rng.choice(world.entries)
        name = f"{seed:08x}{number:08x}"
        work_s = rng.choice((0.1, 0.3, 0.9))
        world.submit(entry, name, rng.randint(1, 6), work_s, deadline_s=4.0)
        if rng.random() < 0.15:
            faults.FAULTS[rng.choice(names)](world)
        if rng.random() < 0.1:
            world.kill(rng.choice(world.entries), 2.5)
        world.run(rng.expovariate(8.0))
    world.run(15.0)
    faults.check(world)


def test_jobs_survive_a_reset_of_all_streams() -> None:
    world = faults.play(faults.FAULTS["streams reset"], 0.08, 7)
    token = next(iter(world.jobs))
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_jobs_survive_the_kill_of_their_agents() -> None:
    world = faults.play(faults.FAULTS["agent killed"], 0.08, 8)
    token = next(iter(world.jobs))
    assert isinstance(world.outcome(token), outcomes.Complete)
