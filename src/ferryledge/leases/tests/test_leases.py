"""Jobs under leases, in normal operation and with faults."""

import pytest

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire


@pytest.fixture
def world() -> worlds.World:
    world = worlds.World(seed=1)
    world.run(2.0)
    return world


def is_complete(world: worlds.World, token: int) -> bool:
    return isinstance(world.outcome(token), outcomes.Complete)


def test_job_is_answered_within_its_objective(world: worlds.World) -> None:
    token = world.submit("entry-0", "a" * 16, count=3)
    world.run(0.25)
    assert is_complete(world, token)
    assert world.started["a" * 16] == 3


def test_steps_wait_for_the_steps_they_depend_on(
    world: worlds.World,
) -> None:
    need = wire.Resources(1000, 100, 0)
    steps = (
        leases.JobStep(2, need, 0.2),
        leases.JobStep(1, need, 0.2, depends_on=(0,)),
    )
    token = world.submit("entry-0", "b" * 16, steps=steps)
    world.run(0.1)
    assert world.started["b" * 16] == 2
    world.run(0.4)
    assert is_complete(world, token)


def test_two_entries_never_exceed_the_capacity(world: worlds.World) -> None:
    tokens = [
        world.submit(f"entry-{n % 2}", f"{n:016x}", count=4, cpu=1700)
        for n in range(20)
    ]
    world.run(6.0)
    assert not world.violations
    answers = [world.outcome(token) for token in tokens]
    assert all(
        isinstance(answer, outcomes.Complete | outcomes.Refused)
        for answer in answers
    )


def test_refused_job_never_starts(world: worlds.World) -> None:
    tokens = {
        f"{n:016x}": world.submit("entry-0", f"{n:016x}", 8, 1.0, 2000)
        for n in range(30)
    }
    world.run(8.0)
    refused = [
        name
        for name, token in tokens.items()
        if isinstance(world.outcome(token), outcomes.Refused)
    ]
    assert refused
    assert not any(world.started[name] for name in refused)


def test_job_too_large_for_every_endpoint_is_refused_at_once(
    world: worlds.World,
) -> None:
    token = world.submit("entry-0", "c" * 16, cpu=9000)
    world.run(0.01)
    match world.outcome(token):
        case outcomes.Refused(outcomes.Reason.IMPOSSIBLE):
            pass
        case other:
            raise AssertionError(other)


def test_failed_run_is_tried_on_another_endpoint(
    world: worlds.World,
) -> None:
    world.failing.add("endpoint-of-agent-0")
    world.failing.add("endpoint-of-agent-1")
    token = world.submit("entry-0", "d" * 16, count=1)
    world.run(1.5)
    if not is_complete(world, token):
        # Both attempts may have been on failing endpoints.
        assert world.started["d" * 16] == worlds.JOB_CLASS.attempts


def test_failing_job_fails_after_its_attempts(world: worlds.World) -> None:
    world.failing_jobs.add("e" * 16)
    token = world.submit("entry-0", "e" * 16, count=1)
    world.run(2.0)
    match world.outcome(token):
        case outcomes.FailedMayHaveRun(outcomes.Reason.TASK_FAILED):
            pass
        case other:
            raise AssertionError(other)
    assert world.started["e" * 16] == worlds.JOB_CLASS.attempts


def test_runs_stop_when_the_client_disconnects(world: worlds.World) -> None:
    token = world.submit("entry-0", "f" * 16, work_s=2.0)
    world.run(0.2)
    world.post("entry-0", leases.ClientLeft(token, "f" * 16))
    world.run(0.3)
    assert not any(endpoint.runs for endpoint in world.endpoints.values())


def test_repeated_submission_joins_the_first(
    world: worlds.World,
) -> None:
    first = world.submit("entry-0", "1" * 16, count=2)
    world.run(0.1)
    second = world.submit("entry-0", "1" * 16, count=2)
    world.run(0.3)
    assert is_complete(world, first) and is_complete(world, second)
    assert world.started["1" * 16] == 2


def test_runs_move_off_a_slow_endpoint(world: worlds.World) -> None:
    for endpoint in world.endpoints.values():
        endpoint.speed = 1.0
    slow = world.endpoints["agent-1"]
    slow.speed = 0.0
    tokens = [
        world.submit("entry-0", f"{n:016x}", count=3, work_s=0.6)
        for n in range(4)
    ]
    world.run(2.2)
    assert all(is_complete(world, token) for token in tokens)
    assert not world.violations


def test_draining_endpoint_gets_no_new_runs(world: worlds.World) -> None:
    world.endpoints["agent-0"].draining = True
    world.run(1.6)
    before = len(world.endpoints["agent-0"].runs)
    for n in range(6):
        world.submit("entry-0", f"{n:016x}", count=2)
    world.run(0.1)
    assert not before and not world.endpoints["agent-0"].runs


def test_stopping_agent_finishes_its_runs(world: worlds.World) -> None:
    token = world.submit("entry-0", "2" * 16, count=12, work_s=0.5)
    world.run(0.1)
    for agent in world.agents:
        world.post(agent, leases.AgentDrain(world.now + 3.0))
    world.run(0.6)
    assert is_complete(world, token)


def test_stopping_agent_takes_only_runs_that_end_before_it(
    world: worlds.World,
) -> None:
    for agent in world.agents:
        world.post(agent, leases.AgentDrain(world.now + 2.0))
    short = world.submit("entry-0", "8" * 16, work_s=0.2)
    world.submit("entry-0", "9" * 16, work_s=1.5)
    world.run(0.4)
    assert is_complete(world, short)
    assert not world.started["9" * 16]
    world.run(1.6)
    world.submit("entry-0", "7" * 16, work_s=0.2)
    world.run(0.2)
    assert not world.started["7" * 16]


def test_jobs_wait_until_agents_are_found() -> None:
    world = worlds.World(seed=3)
    token = world.submit("entry-0", "3" * 16)
    world.run(2.5)
    assert is_complete(world, token)


def test_newest_config_is_sent_to_peers() -> None:
    world = worlds.World(seed=4)
    hello = wire.Hello(wire.Role.ENTRY, "entry-1", "x", "north")
    core = world.nodes["entry-0"].core
    core.receive(0.0, wire.PeerUp(hello))
    core.receive(0.0, leases.ConfigRead(7, b"new"))
    core.receive(0.0, leases.ConfigRead(6, b"old"))
    core.receive(0.0, wire.Received("entry-1", wire.ConfigRequest()))
    sent = [
        action.message
        for action in core.tick(0.0)
        if isinstance(action, leases.SendMessage)
    ]
    assert wire.KeepAlive(7) in sent
    assert wire.ConfigReply(7, b"new") in sent
    assert wire.ConfigReply(6, b"old") not in sent


def test_stopping_entry_answers_open_jobs(world: worlds.World) -> None:
    started = world.submit("entry-0", "5" * 16, work_s=2.0)
    world.run(0.1)
    world.post("entry-0", leases.EntryStop())
    match world.outcome(started):
        case outcomes.FailedMayHaveRun():
            pass
        case other:
            raise AssertionError(other)


def test_agent_does_not_spin_while_it_stops_runs(
    world: worlds.World,
) -> None:
    world.submit("entry-0", "6" * 16, work_s=3.0)
    world.run(0.1)
    world.pause("entry-0", 3.0)
    agents = [world.nodes[name].core for name in world.agents]
    checked = 0
    for _ in range(160):
        world.run(0.005)
        for core in agents:
            stopping = [row for row in core.runs if row.stop_sent_at]
            if stopping:
                core.tick(world.now)
                assert core.wake_at() > world.now
                checked += 1
    assert checked


def test_lease_stays_within_the_limits_of_an_endpoint() -> None:
    timing = leases.LeaseTiming.within(0.4, 0.02)
    assert timing.lease_s < 0.4
    assert timing.stop_s == 0.02
    assert leases.LeaseTiming.within(9.0, 0.05) == leases.LeaseTiming()


def usable_agents(world: worlds.World, entry: str = "entry-0") -> int:
    return world.nodes[entry].core.usable_agents(world.now)


def test_restarted_agents_do_not_wait_for_a_heartbeat(
    world: worlds.World,
) -> None:
    for agent in world.agents:
        world.kill(agent)
    world.run(0.6)
    assert usable_agents(world) == len(world.agents)


def test_agent_whose_endpoint_was_replaced_waits_for_its_heartbeat(
    world: worlds.World,
) -> None:
    for agent in world.agents:
        world.kill(agent)
        world.crash_endpoint(agent, 0.1)
    world.run(0.6)
    assert usable_agents(world) == 0
    token = world.submit("entry-0", "d" * 16)
    world.run(2.0)
    assert is_complete(world, token)
    assert not world.violations


def test_agent_that_restores_a_draining_endpoint_starts_nothing(
    world: worlds.World,
) -> None:
    for agent in world.agents:
        world.endpoints[agent].draining = True
        world.heartbeat(agent)
        world.kill(agent)
    world.run(0.6)
    assert usable_agents(world) == 0


def test_jobs_wait_for_agents_that_come_back_one_by_one() -> None:
    world = worlds.World(seed=1, agents=3)
    world.run(2.0)
    for number, agent in enumerate(world.agents):
        world.kill(agent, 0.3 + 0.2 * number)
    world.run(0.4)
    tokens = [
        world.submit("entry-0", f"{number:016x}", count=6, work_s=0.1)
        for number in range(4)
    ]
    world.run(1.0)
    assert all(is_complete(world, token) for token in tokens)


def test_job_whose_result_would_come_too_late_is_refused_early() -> None:
    world = worlds.World(seed=1, agents=1)
    world.run(2.0)
    for number in range(12):
        world.submit("entry-0", f"{number:016x}", count=8, work_s=0.1)
    token = world.submit("entry-0", "f" * 16, work_s=0.1)
    world.run(0.15)
    assert isinstance(world.outcome(token), outcomes.Refused)
    assert not world.started["f" * 16]


def test_idle_entries_answer_few_grant_requests(world: worlds.World) -> None:
    world.sent.clear()
    world.run(6.0)
    pairs = len(world.agents) * len(world.entries)
    assert world.sent[wire.LeaseGrant] <= pairs * 12
    assert usable_agents(world) == len(world.agents)


def test_order_carries_a_grant(world: worlds.World) -> None:
    """A run starts although the agent's last grant has expired."""
    world.run(0.3)
    for agent in world.agents:
        for owner in world.nodes[agent].core._owners:
            owner.granted_at = float("-inf")
    token = world.submit("entry-0", "1" * 16)
    world.run(0.3)
    assert is_complete(world, token)


def test_stopping_entry_takes_jobs_that_end_before_it(
    world: worlds.World,
) -> None:
    world.post("entry-0", leases.EntryDrain(world.now + 1.0))
    short = world.submit("entry-0", "3" * 16, work_s=0.2)
    long = world.submit("entry-0", "4" * 16, work_s=0.9)
    world.run(0.3)
    assert is_complete(world, short)
    match world.outcome(long):
        case outcomes.Refused(outcomes.Reason.DRAINING):
            pass
        case other:
            raise AssertionError(other)
    assert not world.started["4" * 16]


def test_refusal_of_a_stopping_entry_is_logged(world: worlds.World) -> None:
    world.post("entry-0", leases.EntryDrain(world.now + 0.1))
    world.submit("entry-0", "5" * 16, work_s=0.9)
    notes = world.nodes["entry-0"].core.pop_notes()
    assert any(note.job == "5" * 16 and note.urgent for note in notes)


def test_job_is_refused_when_the_share_of_its_entry_is_too_small() -> None:
    """Two entries share a pool that has capacity for the jobs of one."""
    world = worlds.World(seed=1, agents=2)
    world.run(2.0)
    core = world.nodes["entry-0"].core
    hello = wire.Hello(wire.Role.ENTRY, "entry-1", "entry-1.1", "north")
    core.receive(world.now, wire.PeerUp(hello))
    tokens = [
        world.submit("entry-0", f"{n:016x}", count=4, work_s=1.0, cpu=2000)
        for n in range(5)
    ]
    world.run(0.6)
    refused = [
        isinstance(world.outcome(token), outcomes.Refused) for token in tokens
    ]
    assert refused == [False, False, True, True, True]
