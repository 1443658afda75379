"""Orders that the endpoint leaves without an answer."""

import pytest

from ferryledge import leases
from ferryledge.leases import _answer_times
from ferryledge import loads as worlds
from ferryledge import outcomes


def test_limit_follows_what_answers_take() -> None:
    times = _answer_times.AnswerTimes(0.06)
    assert times.limit_s == pytest.approx(0.06)
    for _ in range(200):
        times.note(0.001)
    assert times.limit_s == pytest.approx(0.02)


def test_limit_is_longer_where_answers_vary() -> None:
    times = _answer_times.AnswerTimes(0.06)
    for number in range(400):
        times.note(0.004 + 0.01 * (number % 2))
    assert 0.03 < times.limit_s < 0.06


def test_silent_order_is_repeated_elsewhere_within_a_tenth() -> None:
    world = worlds.World(seed=4)
    world.run(2.0)
    for number in range(60):
        world.submit("entry-0", f"{number:016x}", work_s=0.02)
        world.run(0.1)
    world.late_orders = 1.0
    token = world.submit("entry-0", "f" * 16, count=1, work_s=0.02)
    world.run(0.003)
    world.late_orders = 0.0
    world.run(0.08)
    assert world.started["f" * 16] == 1
    world.run(1.0)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert not world.violations


def test_older_list_that_comes_later_adopts_nothing() -> None:
    """Two calls that list runs may overtake each other."""
    world = worlds.World(seed=4, agents=1)
    world.run(2.0)
    world.submit("entry-0", "a" * 16, count=1, work_s=0.3)
    world.run(0.1)
    agent = world.nodes["agent-0"].core
    (run,) = agent.runs
    older = leases.LeaseRenewed(
        world.now,
        agent.link.incarnation,
        world.endpoints["agent-0"].clock_ms(world.now),
        (leases.ListedRun(run.key, 0.3),),
        (),
    )
    world.run(0.4)
    assert agent.idle
    world.post("agent-0", older)
    assert agent.idle
