"""Odd numbers that reach the cores of entries and agents."""

import math

import msgspec
import pytest

from ferryledge import decoding
from ferryledge import leases
from ferryledge.leases import _endpoint
from ferryledge.leases import _jobs
from ferryledge.leases import _timing
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

_NEED = wire.Resources(1000, 100, 0)


@pytest.fixture
def world() -> worlds.World:
    world = worlds.World(seed=1, agents=1)
    world.run(2.0)
    return world


def _job(stretch: float, target_s: float, expected_s: float) -> _jobs.Job:
    job_class = leases.JobClass("quick", "desk", 0, 1, stretch, target_s)
    steps = (leases.JobStep(2, _NEED),)
    request = leases.LeasedJob("j", job_class, "x", steps)
    return _jobs.Job(request, [1], 0.0, expected_s, _jobs.make_tasks(request))


def test_objective_is_never_zero() -> None:
    """Guards against a division by the objective that ends the entry."""
    assert _job(0.0, 0.0, 0.3).objective_s > 0.0
    assert _job(4.0, 2.0, -0.5).objective_s > 0.0
    assert _job(4.0, 2.0, 0.5).objective_s == 4.0


@pytest.mark.parametrize(
    ("step", "index"), [(-1, 0), (0, -1), (0, -1000), (-9, 0), (9, 0), (0, 9)]
)
def test_run_of_no_task_is_not_found(step: int, index: int) -> None:
    """Guards against an index from an endpoint's list that ends the entry."""
    assert _job(1.6, 0.1, 0.3).find(wire.TaskRun(step, index, 0)) is None


@pytest.mark.parametrize(
    "declared_s", [-1e300, -0.5, 5e-324, 1e-9, 1e9, 1e305, math.inf]
)
def test_declared_run_time_leaves_predictions_finite(
    declared_s: float,
) -> None:
    run_times = placement.RunTimes()
    for _ in range(50):
        expected_s = run_times.predict("quick", declared_s)
        assert 1e-5 < expected_s < 1e7
        run_times.learn("quick", "e", 0.05, declared_s)
    assert 0.01 < run_times.predict("quick") < 0.3
    assert run_times.slowness("e") == pytest.approx(1.0, abs=0.5)


@pytest.mark.parametrize("declared_s", [1e-9, 1e9, 1e305])
def test_odd_estimate_does_not_refuse_other_jobs(
    world: worlds.World, declared_s: float
) -> None:
    steps = (leases.JobStep(1, _NEED, declared_s),)
    world.submit("entry-0", "a" * 16, steps=steps)
    world.run(1.0)
    tokens = [
        world.submit("entry-0", f"{number:016x}", count=1, work_s=0.02)
        for number in range(4)
    ]
    world.run(1.0)
    for token in tokens:
        assert isinstance(world.outcome(token), outcomes.Complete)


def test_fencing_token_stays_in_range() -> None:
    """Guards against a token that grows until it can't be encoded."""
    link = _endpoint.EndpointLink(_timing.LeaseTiming(), 0.0)
    link.note_clock(77, 0.0)
    for _ in range(100):
        link.raise_token(77, 1.0)
    assert link.token == decoding.MAX_INTEGER


def _renewed(
    world: worlds.World,
    ended: tuple[leases.ListedEnd, ...] = (),
    unclear_tasks: frozenset[leases.TaskKey] = frozenset(),
) -> leases.LeaseRenewed:
    agent = world.nodes["agent-0"].core
    return leases.LeaseRenewed(
        world.now,
        agent.link.incarnation,
        world.endpoints["agent-0"].clock_ms(world.now),
        (),
        ended,
        unclear_tasks=unclear_tasks,
    )


def _start_run(world: worlds.World) -> leases.RunKey:
    world.submit("entry-0", "a" * 16, count=1, work_s=0.5)
    world.run(0.1)
    (row,) = world.nodes["agent-0"].core.runs
    return row.key


def test_task_of_an_unreadable_row_is_not_lost(world: worlds.World) -> None:
    """Guards against a second run of a task whose first one goes on."""
    key = _start_run(world)
    world.post("agent-0", _renewed(world, unclear_tasks={key.task}))
    assert not world.nodes["agent-0"].core.idle
    world.post("agent-0", _renewed(world))
    assert world.nodes["agent-0"].core.idle


def test_end_without_a_number_is_processed_once(world: worlds.World) -> None:
    key = _start_run(world)
    agent = world.nodes["agent-0"].core
    acknowledged = agent.link.acknowledged
    end = leases.ListedEnd(0, key, wire.RunOutcome.DONE)
    for _ in range(2):
        world.post("agent-0", _renewed(world, (end,)))
        assert agent.idle
        assert agent.link.acknowledged == acknowledged


def test_run_without_known_progress_goes_on(world: worlds.World) -> None:
    key = _start_run(world)
    agent = world.nodes["agent-0"].core
    renewed = leases.LeaseRenewed(
        world.now,
        agent.link.incarnation,
        world.endpoints["agent-0"].clock_ms(world.now),
        (leases.ListedRun(key, None),),
        (),
    )
    slowness = agent.slowness
    world.post("agent-0", renewed)
    assert [row.key for row in agent.runs] == [key]
    assert agent.slowness == slowness


def test_capacity_of_an_earlier_release_can_be_reported(
    world: worlds.World,
) -> None:
    """Guards against a sum that no message carries.

    An agent of an earlier release may report any integer of 64 bits.
    """
    entry = world.nodes["entry-0"].core
    (row,) = entry._pool
    large = wire.Resources(2**64 - 1, 100, 0)
    state = msgspec.structs.replace(row.state, capacity=large, free=large)
    entry.receive(world.now, wire.Received("agent-0", state))
    request = wire.CapacityRequest(state.service)
    entry.receive(world.now, wire.Received("entry-1", request))
    (report,) = (
        action.message
        for action in entry.tick(world.now)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.CapacityReport)
    )
    assert report.cpu_millis == decoding.MAX_INTEGER
