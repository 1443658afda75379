"""Handovers between entries, with every fault at every step."""

import random

import pytest

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge.leases.tests import handovers
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire


@pytest.mark.parametrize("step", handovers.STEPS)
@pytest.mark.parametrize("fault", handovers.FAULTS)
def test_fault_at_step(fault: str, step: str) -> None:
    strike = handovers.FAULTS[fault]
    world = handovers.play(strike, handovers.STEPS[step], seed=1)
    faults.check(world)
    assert world.sent[handovers.STEPS[step].message]
    _check_answered(world)


def _check_answered(world: worlds.World) -> None:
    """Check that each client whose entry did not restart was answered."""
    for token in world.jobs:
        is_alive = world.nodes[handovers.DELEGATOR].life == 1
        unanswered = not world.answers[token] and is_alive
        assert not unanswered or _client_left(world), f"{token} has no answer"


def _client_left(world: worlds.World) -> bool:
    return any(
        note.message == "client left"
        for note in world.nodes[handovers.DELEGATOR].core.pop_notes()
    )


def test_job_runs_once_and_is_answered() -> None:
    world = handovers.play(
        handovers.FAULTS["nothing"], handovers.STEPS["running"], 1
    )
    assert isinstance(world.outcome(1), outcomes.Complete)
    assert world.started[handovers.JOB] == handovers.TASKS
    assert world.sent[wire.OfferJob] == 1


def test_no_handover_messages_while_jobs_start_in_time() -> None:
    world = worlds.World(1, entries=3, agents=4, peers=True)
    world.run(3.0)
    for number in range(20):
        world.submit("entry-0", f"{number:016x}")
        world.run(0.1)
    for message in (
        wire.CapacityRequest,
        wire.OfferJob,
        wire.HandoverGrantRequest,
    ):
        assert not world.sent[message]


def test_disabled_handovers_send_no_messages() -> None:
    rules = leases.EntryRules(hands_on=False)
    world = worlds.World(1, entries=3, agents=4, peers=True, rules=rules)
    world.run(4.0)
    for agent in world.agents:
        world.cut("entry-0", agent, 9.0)
    world.run(1.4)
    world.submit("entry-0", handovers.JOB)
    world.run(2.0)
    assert not world.sent[wire.CapacityRequest]


def test_draining_entry_offers_undispatched_jobs() -> None:
    world = handovers.make_world(1)
    world.post("entry-0", leases.EntryDrain(world.now + 5.0))
    token = world.submit("entry-0", handovers.JOB)
    world.run(1.0)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_job_that_runs_elsewhere_is_not_handed_over() -> None:
    """Guards against a delegate that starts a job beside another entry."""
    world = handovers.make_world(1)
    world.submit("entry-1", handovers.JOB, 8, 1.0, deadline_s=3.7)
    world.run(0.3)
    token = world.submit("entry-0", handovers.JOB, 8, 1.0, deadline_s=5.0)
    world.run(0.5)
    late = world.outcome(token)
    assert isinstance(late, outcomes.FailedMayHaveRun)
    assert late.reason is outcomes.Reason.DUPLICATE
    assert not world.violations


@pytest.mark.parametrize("seed", range(24))
def test_faults_in_series(seed: int) -> None:
    """Entries lose their agents while others fail under load."""
    rng = random.Random(seed)
    world = worlds.World(seed, entries=5, agents=6, peers=True)
    world.run(4.0)
    names = list(faults.FAULTS)
    for number in range(80):
        entry = rng.choice(world.entries)
        name = f"{seed:08x}{number:08x}"
        work_s = rng.choice((0.1, 0.3, 0.9))
        world.submit(entry, name, rng.randint(1, 6), work_s, deadline_s=4.0)
        if rng.random() < 0.1:
            faults.FAULTS[rng.choice(names)](world)
        if rng.random() < 0.15:
            _cut_off(world, rng)
        if rng.random() < 0.15:
            _strike_entries(world, rng)
        world.run(rng.expovariate(10.0))
    world.run(15.0)
    faults.check(world)
    assert world.sent[wire.HandoverEnded]


def _cut_off(world: worlds.World, rng: random.Random) -> None:
    """Cut a random entry off from all agents for a while."""
    entry = rng.choice(world.entries)
    for_s = rng.uniform(1.0, 4.0)
    for agent in world.agents:
        world.cut(entry, agent, for_s)


def _strike_entries(world: worlds.World, rng: random.Random) -> None:
    entry, other = rng.sample(world.entries, 2)
    for_s = rng.choice((0.2, 0.5, 2.0))
    match rng.randrange(6):
        case 0:
            world.kill(entry, for_s)
        case 1:
            world.pause(entry, for_s)
        case 2:
            world.cut(entry, other, for_s, rng.random() < 0.5)
        case 3:
            world.break_stream(entry, other)
        case 4:
            world.silence_stream(min(entry, other), max(entry, other))
        case 5:
            world.kill(entry, for_s)
            world.at(0.2, lambda: world.kill(other, for_s))


def test_no_handover_messages_to_earlier_releases() -> None:
    """The greeting of earlier releases lacks ``takes_jobs``."""
    entry = _entry_without_agents()
    old = wire.Hello(wire.Role.ENTRY, "entry-1", "1.1", "north")
    assert not _messages_for_a_job(entry, old)


def test_entry_without_agents_requests_capacity() -> None:
    entry = _entry_without_agents()
    new = wire.Hello(
        wire.Role.ENTRY, "entry-1", "1.1", "north", takes_jobs=True
    )
    assert _messages_for_a_job(entry, new) == [wire.CapacityRequest("desk")]


def _entry_without_agents() -> leases.LeaseEntry:
    return leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))


def _messages_for_a_job(
    entry: leases.LeaseEntry, peer: wire.Hello
) -> list[wire.Message]:
    """Return the messages that a peer is sent because of a job."""
    entry.receive(0.0, wire.PeerUp(peer))
    entry.tick(0.0)
    step = leases.JobStep(1, wire.Resources(1000, 100, 0), 0.2)
    request = leases.LeasedJob(
        handovers.JOB, worlds.JOB_CLASS, "spec", (step,), 5.0
    )
    entry.receive(0.1, leases.JobSubmitted(1, request))
    sent = entry.tick(0.1) + entry.tick(0.13)
    return [
        action.message
        for action in sent
        if isinstance(action, leases.SendMessage)
        and not isinstance(action.message, wire.KeepAlive)
    ]
