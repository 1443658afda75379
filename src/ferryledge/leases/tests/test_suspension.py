"""After its machine was suspended an agent uses no expired grant or lease.

The monotonic clock may stand still during a suspension, so grants and leases
look younger than they are.
"""

import pytest

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_JOB = "a" * 16
_AGENT = "agent-0"
_SPANS = [1.0, 5.0, 30.0]
#: Duration of a lease on the endpoint's clock.
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
def test_order_sent_before_the_suspension_starts_nothing(
    world: worlds.World, slept_s: float
) -> None:
    order = _order(world)
    now = world.now + slept_s
    agent = _agent(world)
    endpoint = world.endpoints[_AGENT]
    # The endpoint answers first, so that its clock is known and the agent
    # accepts orders.
    agent.receive(now, endpoint.renew(now, now, agent.renewal(now)))
    agent.receive(now, order)
    actions = agent.tick(now)
    assert not any(isinstance(action, leases.StartRun) for action in actions)
    assert not len(agent.runs)


@pytest.mark.parametrize("slept_s", _SPANS)
def test_grant_from_before_the_suspension_renews_no_runs(
    world: worlds.World, slept_s: float
) -> None:
    world.submit("entry-0", _JOB, count=16, work_s=9.0)
    world.run(0.3)
    agent = _agent(world)
    assert len(agent.runs)
    now = world.now + slept_s
    assert not agent.renewal(now).lease_until_ms
    stops = [
        action
        for action in agent.tick(now)
        if isinstance(action, leases.StopRun)
    ]
    assert len(stops) == len(agent.runs)


@pytest.mark.parametrize("slept_s", _SPANS)
def test_lease_is_not_longer_after_the_endpoint_was_suspended_too(
    world: worlds.World, slept_s: float
) -> None:
    """The endpoint's clock stood still and is behind the agent's estimate."""
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
    """Messages sent during the suspension are processed after it."""
    tokens = [world.submit("entry-0", _JOB, count=12, work_s=1.5)]
    world.run(0.1)
    world.pause(who, slept_s)
    world.run(slept_s + 4.0)
    tokens.append(world.submit("entry-0", "b" * 16))
    world.run(1.0)
    assert not world.violations
    assert isinstance(world.outcome(tokens[1]), outcomes.Complete)
