"""A task that crashes its endpoint fails before it crashes many others."""

import pytest

from ferryledge.leases import _crashes
from ferryledge import loads as worlds
from ferryledge import outcomes

_JOB = "a" * 16
_AGENTS = [f"agent-{n}" for n in range(6)]


@pytest.fixture
def world() -> worlds.World:
    """Return a world of two entries and six agents."""
    made = worlds.World(seed=6, entries=2, agents=6)
    made.run(3.0)
    return made


def _is_complete(world: worlds.World, token: int) -> bool:
    return isinstance(world.outcome(token), outcomes.Complete)


@pytest.mark.parametrize("count", [1, 8])
def test_deadly_job_fails_early(world: worlds.World, count: int) -> None:
    world.crashing_jobs.add(_JOB)
    token = world.submit("entry-0", _JOB, count, work_s=1.0, deadline_s=30.0)
    world.run(12.0)
    match world.outcome(token):
        case outcomes.FailedMayHaveRun(reason):
            assert reason is outcomes.Reason.TASK_FAILED
        case other:
            raise AssertionError(other)
    assert max(world.crashed_under.values()) <= worlds.MOST_CRASHES
    assert not world.violations


def test_other_jobs_complete_beside_a_deadly_job(world: worlds.World) -> None:
    world.crashing_jobs.add(_JOB)
    world.submit("entry-0", _JOB, 2, work_s=1.0, deadline_s=30.0)
    tokens = []
    for number in range(40):
        entry = f"entry-{number % 2}"
        tokens.append(world.submit(entry, f"{number:016x}", 2, work_s=0.2))
        world.run(0.1)
    world.run(6.0)
    assert all(_is_complete(world, token) for token in tokens)


def test_no_job_fails_after_two_power_failures(
    world: worlds.World,
) -> None:
    tokens = [
        world.submit("entry-0", f"{n:016x}", 1, work_s=2.0, deadline_s=30.0)
        for n in range(24)
    ]
    for _ in range(2):
        world.run(1.0)
        for agent in _AGENTS:
            world.crash_endpoint(agent, 0.5)
    world.run(10.0)
    assert all(_is_complete(world, token) for token in tokens)


def test_no_job_fails_by_repeated_crashes_of_one_endpoint(
    world: worlds.World,
) -> None:
    tokens = []
    for number in range(12):
        name = f"{number:016x}"
        tokens.append(
            world.submit("entry-0", name, 8, work_s=0.8, deadline_s=20.0)
        )
        world.run(0.4)
        world.crash_endpoint("agent-0", 0.3)
        world.run(0.6)
    world.run(8.0)
    assert all(_is_complete(world, token) for token in tokens)


def test_no_job_fails_by_announced_shutdowns(
    world: worlds.World,
) -> None:
    token = world.submit("entry-0", _JOB, 1, work_s=4.0, deadline_s=60.0)
    for _ in range(3):
        world.run(0.5)
        busy = [name for name in _AGENTS if world.endpoints[name].runs]
        for agent in busy:
            world.endpoints[agent].draining = True
            world.heartbeat(agent)
            world.run(0.1)
            world.crash_endpoint(agent, 0.5)
        world.run(2.0)
    world.run(8.0)
    assert _is_complete(world, token)


def _crashed(watch: _crashes.CrashWatch, *jobs: int) -> list[_crashes.Crash]:
    """Crash one endpoint after the other while they run the job.

    :param jobs: for each endpoint, how many jobs run there in all
    """
    return [
        watch.note(2.0 * number, f"agent-{number}", _JOB, count)
        for number, count in enumerate(jobs)
    ]


@pytest.mark.parametrize(
    ("jobs", "deadly"),
    [
        ((1,), False),
        ((1, 1), True),
        ((2, 1), False),
        ((2, 1, 1), True),
        ((9, 9, 9, 9), False),
        ((9, 9, 9, 9, 9), True),
    ],
)
def test_jobs_on_one_endpoint_share_the_blame(
    jobs: tuple[int, ...], deadly: bool
) -> None:
    watch = _crashes.CrashWatch()
    assert watch.is_deadly(_JOB, _crashed(watch, *jobs)) is deadly


def test_simultaneous_crashes_elsewhere_reduce_the_blame() -> None:
    watch = _crashes.CrashWatch()
    crashes = _crashed(watch, 1, 1, 1, 1, 1)
    for at in (0.5, 2.5, 3.5, 6.5, 8.5):
        watch.note(at, f"other-{at}", "b" * 16, 1)
    assert not watch.is_deadly(_JOB, crashes[:4])
    assert watch.is_deadly(_JOB, crashes)


def test_crashes_of_one_endpoint_add_blame_once() -> None:
    watch = _crashes.CrashWatch()
    crashes = [watch.note(at, "agent-0", _JOB, 1) for at in (1.0, 3.0, 5.0)]
    assert not watch.is_deadly(_JOB, crashes)


def test_task_fails_after_many_crashes_of_two_endpoints() -> None:
    """Other jobs share the blame, so only the number of crashes decides."""
    watch = _crashes.CrashWatch()
    crashes = [
        watch.note(2.0 * n, f"agent-{n % 2}", _JOB, 2) for n in range(5)
    ]
    assert not watch.is_deadly(_JOB, crashes[:4])
    assert watch.is_deadly(_JOB, crashes)


def test_runs_lost_together_belong_to_one_crash() -> None:
    watch = _crashes.CrashWatch()
    crash = watch.note(1.0, "agent-0", _JOB, 2)
    assert watch.note(1.1, "agent-0", "b" * 16, 2) is crash
