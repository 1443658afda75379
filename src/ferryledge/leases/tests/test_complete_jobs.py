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


@pytest.mark.parametrize("entries", [2, 3, 4, 5, 8, 10])
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


@pytest.mark.parametrize("entries", [2, 3, 4])
@pytest.mark.parametrize("after_s", [0.01, 0.03, 0.05])
def test_complete_job_is_not_run_again_before_others_are_told(
    entries: int, after_s: float
) -> None:
    """Guards against a start in the time until a completion is told."""
    world = registering.make_world(entries=entries)
    first = _submit(world, "entry-0", 5.0)
    while first not in world.answered_at:
        world.run(0.001)
    world.run(after_s)
    again = _submit(world, f"entry-{entries - 1}", 4.6)
    world.run(2.0)
    assert isinstance(
        world.outcome(again), outcomes.Complete | outcomes.FailedMayHaveRun
    )
    assert world.started[registering.JOB] == TASKS


@pytest.mark.parametrize("entries", [3, 4])
def test_complete_job_is_known_behind_a_cut(entries: int) -> None:
    """Guards against an entry that the first one can't tell."""
    world = registering.make_world(entries=entries)
    other = f"entry-{entries - 1}"
    world.cut("entry-0", other, 8.0)
    _submit(world, "entry-0", 5.0)
    world.run(1.3)
    again = _submit(world, other, 3.7)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("entries", [2, 3, 4])
@pytest.mark.parametrize("up_s", [0.0, 0.02, 0.05, 0.1])
def test_entry_that_just_started_asks_for_complete_jobs(
    entries: int, up_s: float
) -> None:
    """Guards against a start by an entry that was told nothing yet."""
    world = registering.make_world(entries=entries)
    _submit(world, "entry-0", 5.0)
    world.run(0.9)
    world.kill("entry-1", 0.3)
    world.run(0.3 + up_s)
    again = _submit(world, "entry-1", 3.7)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("entries", [2, 3, 4])
def test_job_of_a_lost_entry_is_served_without_delay(entries: int) -> None:
    """Guards against a repetition that waits for an entry that is gone."""
    world = registering.make_world(entries=entries)
    world.submit("entry-0", registering.JOB, TASKS, 1.0, 1000, 5.0)
    world.run(0.5)
    world.kill("entry-0", 60.0)
    world.run(1.3)
    other = f"entry-{entries - 1}"
    again = world.submit(other, registering.JOB, TASKS, 1.0, 1000, 3.2)
    submitted_at = world.now
    world.run(2.0)
    assert isinstance(world.outcome(again), outcomes.Complete)
    assert world.answered_at[again] - submitted_at < 1.05
    assert not world.violations


@pytest.mark.parametrize("entries", [2, 3, 5, 10])
@pytest.mark.parametrize("down_s", [0.3, 60.0])
def test_complete_job_of_a_lost_entry_is_not_run_again(
    entries: int, down_s: float
) -> None:
    """Guards against completions that only the first entry knows."""
    world = registering.make_world(entries=entries)
    _submit(world, "entry-0", 5.0)
    world.run(0.6)
    world.kill("entry-0", down_s)
    world.run(0.7)
    again = _submit(world, f"entry-{entries - 1}", 3.7)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("entries", [2, 3, 5, 10])
def test_restarted_entry_does_not_run_its_complete_job_again(
    entries: int,
) -> None:
    """Guards against an entry that forgets its own jobs with a restart."""
    world = registering.make_world(entries=entries)
    _submit(world, "entry-0", 5.0)
    world.run(0.6)
    world.kill("entry-0", 0.2)
    world.run(1.0)
    again = _submit(world, "entry-0", 3.4)
    world.run(2.0)
    _assert_ran_once(world, again)


@pytest.mark.parametrize("entries", [5, 8, 10])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_complete_job_outlasts_restarts_in_turn(
    entries: int, seed: int
) -> None:
    """Guards against registrars that forget completions one by one."""
    world = registering.make_world(seed, entries)
    _submit(world, "entry-0", 9.0)
    world.run(0.6)
    for name in world.entries:
        world.kill(name, 0.1)
        world.run(0.5)
    again = _submit(world, world.entries[-1], 3.0)
    world.run(2.0)
    _assert_ran_once(world, again)


def test_late_completion_stops_a_second_run() -> None:
    """Guards against runs that go on although the job is complete."""
    world = registering.make_world(entries=2)
    world.cut("entry-0", "entry-1", 1.5)
    for agent in world.agents:
        world.cut("entry-1", agent, 0.3, both=False)
    _submit(world, "entry-0", 5.0)
    world.run(0.35)
    again = world.submit("entry-1", registering.JOB, TASKS, 9.0, 1000, 3.7)
    world.run(2.0)
    assert isinstance(world.outcome(again), outcomes.Complete)
    assert not any(world.alive_runs.values())


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
    [
        ("entry-0", 30.0),
        ("entry-7", 30.0),
        ("entry-0", 0.0),
        ("entry-7", 0.0),
    ],
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
