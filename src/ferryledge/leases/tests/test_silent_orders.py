"""Orders that the endpoint does not answer."""

import pytest

from ferryledge import leases
from ferryledge.leases import _answer_times
from ferryledge import loads as worlds
from ferryledge import outcomes


def test_limit_follows_the_answer_times() -> None:
    times = _answer_times.AnswerTimes(0.06)
    assert times.limit_s == pytest.approx(0.06)
    for _ in range(200):
        times.note(0.001)
    assert times.limit_s == pytest.approx(0.02)


def test_limit_is_longer_if_answers_vary() -> None:
    times = _answer_times.AnswerTimes(0.06)
    for number in range(400):
        times.note(0.004 + 0.01 * (number % 2))
    assert 0.03 < times.limit_s < 0.06


def test_unanswered_order_is_repeated_elsewhere_within_a_tenth() -> None:
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


def test_outdated_list_adopts_no_run() -> None:
    """The answers of two calls that list runs may be reordered."""
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


def settled_world() -> worlds.World:
    """Return a world whose agents have learned the answer times."""
    world = worlds.World(seed=4)
    world.run(2.0)
    for number in range(60):
        world.submit("entry-0", f"{number:016x}", work_s=0.02)
        world.run(0.1)
    return world


def start_after_loss(world: worlds.World, loss_s: float) -> float:
    """Return the seconds until a task starts while calls are lost at first."""
    world.late_orders = 1.0
    world.submit("entry-0", "f" * 16, count=1, work_s=0.2)
    sent_at = world.now
    world.run(loss_s)
    world.late_orders = 0.0
    while not world.started["f" * 16] and world.now - sent_at < 2.0:
        world.run(0.001)
    assert not world.violations
    return world.now - sent_at


@pytest.mark.parametrize(
    ("loss_s", "within_s"),
    [
        pytest.param(0.003, 0.03, id="start"),
        pytest.param(0.022, 0.05, id="start and stop"),
        pytest.param(0.042, 0.07, id="start and two stops"),
    ],
)
def test_lost_order_is_repeated_elsewhere_at_once(
    loss_s: float, within_s: float
) -> None:
    """Guards against agents that wait too long before they give an order up.

    Lost calls are repeated after the usual answer time, not after the longest.
    """
    assert start_after_loss(settled_world(), loss_s) < within_s


def test_lost_list_is_requested_again() -> None:
    world = settled_world()
    lists: list[float] = []
    carry_out = world._list_runs

    def lose_first(agent: str, renewal: leases.Renewal) -> None:
        lists.append(world.now)
        if len(lists) > 1:
            carry_out(agent, renewal)

    world._list_runs = lose_first
    # The call that waits for ends must not report the run either.
    world._renew_loop = lambda *_: None
    assert start_after_loss(world, 0.003) < 0.05
    assert lists[1] - lists[0] == pytest.approx(0.02, abs=0.002)


def test_started_run_is_over_before_its_task_starts_again() -> None:
    """The endpoint started the run, and only the answer was lost."""
    world = settled_world()
    endpoint_starts: list[float] = []
    watch = world._watch

    def note(what: str, key: leases.RunKey, endpoint: str) -> None:
        if key.job == "f" * 16:
            endpoint_starts.append(world.now)
        watch(what, key, endpoint)

    for endpoint in world.endpoints.values():
        endpoint._on_run_event = note
    world.late_orders = 1.0
    world.submit("entry-0", "f" * 16, count=1, work_s=0.2)
    world.run(0.003)
    world.late_orders = 0.0
    (agent,) = [
        name
        for name in world.agents
        if any(row.key.job == "f" * 16 for row in world.nodes[name].core.runs)
    ]
    (row,) = world.nodes[agent].core.runs
    order = leases.StartRun(
        row.key,
        "spec",
        world.nodes[agent].core.link.incarnation,
        row.expires_ms,
        world.nodes[agent].core.link.token,
    )
    assert world.endpoints[agent].start(world.now, order).value == "started"
    world.run(1.0)
    assert len(endpoint_starts) == 4
    assert not world.violations
