"""Handing jobs on between entries, with every fault at every step."""

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
    """Check that each client of an entry that lives was answered."""
    for token in world.jobs:
        lives = world.nodes[handovers.GIVER].life == 1
        left = not world.answers[token] and lives
        assert not left or _client_left(world), f"{token} has no answer"


def _client_left(world: worlds.World) -> bool:
    return any(
        note.message == "client left"
        for note in world.nodes[handovers.GIVER].core.pop_notes()
    )


def test_job_is_answered_by_the_entry_that_took_it() -> None:
    world = handovers.play(
        handovers.FAULTS["nothing"], handovers.STEPS["running"], 1
    )
    assert isinstance(world.outcome(1), outcomes.Complete)
    assert world.started[handovers.JOB] == handovers.TASKS
    assert world.sent[wire.OfferJob] == 1


def test_nothing_is_sent_while_jobs_are_in_time() -> None:
    world = worlds.World(1, entries=3, agents=4, peers=True)
    world.run(3.0)
    for number in range(20):
        world.submit("entry-0", f"{number:016x}")
        world.run(0.1)
    for message in (wire.AskRoom, wire.OfferJob, wire.AskHandedIn):
        assert not world.sent[message]


def test_peers_that_take_none_are_offered_none() -> None:
    rules = leases.EntryRules(hands_on=False)
    world = worlds.World(1, entries=3, agents=4, peers=True, rules=rules)
    world.run(4.0)
    for agent in world.agents:
        world.cut("entry-0", agent, 9.0)
    world.run(1.4)
    world.submit("entry-0", handovers.JOB)
    world.run(2.0)
    assert not world.sent[wire.AskRoom]


def test_leaving_entry_hands_on_what_waits_untried() -> None:
    world = handovers.make_world(1)
    world.post("entry-0", leases.EntryDrain(world.now + 5.0))
    token = world.submit("entry-0", handovers.JOB)
    world.run(1.0)
    assert isinstance(world.outcome(token), outcomes.Complete)


@pytest.mark.parametrize("seed", range(24))
def test_faults_in_series(seed: int) -> None:
    """Entries lose their agents while others fail and jobs keep coming."""
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
    assert world.sent[wire.JobHandled]


def _cut_off(world: worlds.World, rng: random.Random) -> None:
    """Let an entry hear none of its agents for a while."""
    entry = rng.choice(world.entries)
    for_s = rng.uniform(1.0, 4.0)
    for agent in world.agents:
        world.cut(entry, agent, for_s)


def _strike_entries(world: worlds.World, rng: random.Random) -> None:
    one, other = rng.sample(world.entries, 2)
    for_s = rng.choice((0.2, 0.5, 2.0))
    match rng.randrange(6):
        case 0:
            world.kill(one, for_s)
        case 1:
            world.pause(one, for_s)
        case 2:
            world.cut(one, other, for_s, rng.random() < 0.5)
        case 3:
            world.break_stream(one, other)
        case 4:
            world.silence_stream(min(one, other), max(one, other))
        case 5:
            world.kill(one, for_s)
            world.at(0.2, lambda: world.kill(other, for_s))


def test_earlier_releases_are_sent_nothing_new() -> None:
    """Their greeting does not say that they take jobs."""
    entry = _entry_without_agents()
    old = wire.Hello(wire.Role.ENTRY, "entry-1", "1.1", "north")
    assert not _sent_for_a_job(entry, old)


def test_entry_without_agents_asks_for_room() -> None:
    entry = _entry_without_agents()
    new = wire.Hello(
        wire.Role.ENTRY, "entry-1", "1.1", "north", takes_jobs=True
    )
    assert _sent_for_a_job(entry, new) == [wire.AskRoom("desk")]


def _entry_without_agents() -> leases.LeaseEntry:
    return leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))


def _sent_for_a_job(
    entry: leases.LeaseEntry, peer: wire.Hello
) -> list[wire.Message]:
    """Return what a peer is sent on a job's account."""
    entry.receive(0.0, wire.PeerUp(peer))
    entry.tick(0.0)
    step = leases.JobStep(1, wire.Resources(1000, 100, 0), 0.2)
    request = leases.LeasedJob(
        handovers.JOB, worlds.JOB_CLASS, "spec", (step,), 5.0
    )
    entry.receive(0.1, leases.JobSubmitted(1, request))
    sent = entry.tick(0.1) + entry.tick(0.13)
    return [
        one.message
        for one in sent
        if isinstance(one, leases.SendMessage)
        and not isinstance(one.message, wire.KeepAlive)
    ]
