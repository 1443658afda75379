"""A machine that is suspended: no run goes on by a right that is over.

The steady clock stands still meanwhile, so an agent that goes by it wakes
with each grant that it had: 0.1 s old by its own reckoning, and 5 s old by
that of the entry, which has long taken the run for over and ordered the task
elsewhere. What an agent does with each right is shown here for 1, 5 and 30 s.
"""

import pytest

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_JOB = "a" * 16
_AGENT = "agent-0"
_SPANS = [1.0, 5.0, 30.0]
#: Of a lease, on an endpoint's clock.
_LEASE_MS = 650


@pytest.fixture
def world() -> worlds.World:
    """Return a world of one entry and two agents."""
    made = worlds.World(seed=5, entries=1, agents=2)
    made.run(3.0)
    return made


def _agent(world: worlds.World) -> leases.LeaseAgent:
    core: leases.LeaseAgent = world.nodes[_AGENT].core
    return core


def _order(world: worlds.World) -> wire.Received:
    """Return an order that was sent before the machine was suspended."""
    row = world.nodes["entry-0"].core.pool.find(_AGENT)
    order = wire.OrderRuns(
        row.orders + 1,
        _JOB,
        "spec",
        wire.Resources(1000, 100, 0),
        (wire.TaskRun(0, 0, 1),),
        row.state.incarnation,
        0.2,
        row.ask_seen,
    )
    return wire.Received("entry-0", order)


@pytest.mark.parametrize("slept_s", _SPANS)
def test_order_from_before_starts_nothing(
    world: worlds.World, slept_s: float
) -> None:
    order = _order(world)
    now = world.now + slept_s
    agent = _agent(world)
    endpoint = world.endpoints[_AGENT]
    # The endpoint answers first, so that its clock is known and all is open.
    agent.receive(now, endpoint.renew(now, now, agent.renewal(now)))
    agent.receive(now, order)
    actions = agent.tick(now)
    assert not any(isinstance(one, leases.StartRun) for one in actions)
    assert not len(agent.runs)


@pytest.mark.parametrize("slept_s", _SPANS)
def test_runs_are_not_renewed_by_a_grant_from_before(
    world: worlds.World, slept_s: float
) -> None:
    world.submit("entry-0", _JOB, count=16, work_s=9.0)
    world.run(0.3)
    agent = _agent(world)
    assert len(agent.runs)
    now = world.now + slept_s
    assert not agent.renewal(now).lease_until_ms
    stops = [one for one in agent.tick(now) if isinstance(one, leases.StopRun)]
    assert len(stops) == len(agent.runs)


@pytest.mark.parametrize("slept_s", _SPANS)
def test_lease_is_no_longer_though_the_endpoint_slept_too(
    world: worlds.World, slept_s: float
) -> None:
    """Its clock stood still, and is behind what the agent reckons."""
    agent = _agent(world)
    endpoint = world.endpoints[_AGENT]
    woken_at = world.now
    clock_ms = endpoint.clock_ms(woken_at)
    now = woken_at + slept_s
    for _ in range(3):
        answer = endpoint.renew(woken_at, now, agent.renewal(now))
        agent.receive(now, answer)
    lease_until_ms = agent.renewal(now).lease_until_ms
    assert lease_until_ms
    assert lease_until_ms <= clock_ms + _LEASE_MS + 1


@pytest.mark.parametrize("slept_s", _SPANS)
@pytest.mark.parametrize("who", ["entry-0", _AGENT])
def test_each_task_runs_once_at_a_time(
    world: worlds.World, who: str, slept_s: float
) -> None:
    """All that was on its way is read when the machine wakes."""
    tokens = [world.submit("entry-0", _JOB, count=12, work_s=1.5)]
    world.run(0.1)
    world.pause(who, slept_s)
    world.run(slept_s + 4.0)
    tokens.append(world.submit("entry-0", "b" * 16))
    world.run(1.0)
    assert not world.violations
    assert isinstance(world.outcome(tokens[1]), outcomes.Complete)
