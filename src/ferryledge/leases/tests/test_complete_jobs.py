"""Complete jobs that are submitted again, as their answer was lost."""

import pytest

from ferryledge import leases
from ferryledge.leases.tests import registering
from ferryledge import loads as worlds
from ferryledge import outcomes

#: Job of eight tasks that run at the same time.
TASKS = 8
WORK_S = 0.3


def _submit(world: worlds.World, entry: str, deadline_s: float) -> int:
    return world.submit(
        entry, registering.JOB, TASKS, WORK_S, 1000, deadline_s
    )


def _assert_ran_once(world: worlds.World, *tokens: int) -> None:
    """Check that clients are told that the job is complete, and it is."""
    for token in tokens:
        assert isinstance(world.outcome(token), outcomes.Complete)
    assert world.started[registering.JOB] == TASKS
    assert not world.violations


@pytest.mark.parametrize("entries", [5, 8, 10])
@pytest.mark.parametrize(
    ("first_s", "again_s"), [(5.0, 3.7), (5.0, 5.0), (0.0, 0.0)]
)
def test_complete_job_is_answered_by_another_entry(
    entries: int, first_s: float, again_s: float
) -> None:
    """Guards against a second run of a complete job at another entry."""
    world = registering.make_world(entries=entries)
    _submit(world, "entry-0", first_s)
    world.run(1.3)
    again = _submit(world, f"entry-{entries - 1}", again_s)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("name", ["entry-0", "entry-7"])
def test_job_that_ends_after_its_client_left_is_not_run_again(
    name: str,
) -> None:
    """Guards against forgetting a job that completes without a client."""
    world = registering.make_world()
    first = _submit(world, "entry-0", 5.0)
    world.run(0.2)
    world.lost_stops.update(world.agents)
    world.post("entry-0", leases.ClientLeft(first, registering.JOB))
    world.run(1.1)
    again = _submit(world, name, 3.7)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize(
    ("name", "deadline_s"),
    [("entry-0", 30.0), ("entry-7", 30.0), ("entry-0", 0.0)],
)
def test_complete_job_is_kept_while_its_client_may_repeat_it(
    name: str, deadline_s: float
) -> None:
    """Guards against forgetting a job before its client's deadline."""
    world = registering.make_world()
    _submit(world, "entry-0", deadline_s)
    world.run(25.0)
    again = _submit(world, name, deadline_s and deadline_s - 25.0)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("again_at", ["delegator", "delegate", "other"])
def test_complete_job_that_was_handed_over_is_not_run_again(
    again_at: str,
) -> None:
    """Guards against a delegator that forgets a job which ran elsewhere."""
    world = registering.make_world()
    for agent in world.agents:
        world.cut("entry-0", agent, 30.0)
    world.run(1.6)
    first = world.submit("entry-0", registering.JOB, 4, 2.0, 1000, 12.0)
    world.run(1.3)
    holders = [
        n for n in world.entries if world.nodes[n].core.holds(registering.JOB)
    ]
    assert len(holders) == 2
    world.run(1.7)
    assert isinstance(world.outcome(first), outcomes.Complete)
    name = {
        "delegator": "entry-0",
        "delegate": next(n for n in holders if n != "entry-0"),
        "other": next(n for n in reversed(world.entries) if n not in holders),
    }[again_at]
    again = world.submit(name, registering.JOB, 4, 2.0, 1000, 9.0)
    world.run(3.0)
    assert isinstance(world.outcome(again), outcomes.Complete)
    assert world.started[registering.JOB] == 4
    assert not world.violations
