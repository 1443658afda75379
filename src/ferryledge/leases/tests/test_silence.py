"""Silent streams are detected and replaced."""

import random

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

#: Seconds of silence after which an agent has a new stream, with the redial.
_REDIAL_S = 1.5 + 0.4


def test_silent_streams_of_agents_are_replaced() -> None:
    world = worlds.World(seed=2, entries=1)
    world.run(2.0)
    for agent in world.agents:
        world.silence_stream(agent, "entry-0")
    world.run(_REDIAL_S)
    assert world.nodes["entry-0"].core.usable_agents(world.now) == 3
    token = world.submit("entry-0", "a" * 16)
    world.run(0.3)
    assert isinstance(world.outcome(token), outcomes.Complete)


def _drive(core: leases.LeaseEntry, until: float) -> list[object]:
    actions: list[object] = []
    now = 0.0
    while now < until:
        actions += core.tick(now)
        now += 0.1
    return actions


def _entry() -> leases.LeaseEntry:
    core = leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))
    hello = wire.Hello(wire.Role.ENTRY, "entry-1", "1.1", "north")
    core.receive(0.0, wire.PeerUp(hello))
    return core


def test_entries_send_each_other_keep_alives() -> None:
    sent = [
        action.message
        for action in _drive(_entry(), 2.0)
        if isinstance(action, leases.SendMessage)
    ]
    assert sent.count(wire.KeepAlive()) == 4


def test_silent_stream_to_another_entry_is_closed() -> None:
    closed = [
        action.peer
        for action in _drive(_entry(), 2.5)
        if isinstance(action, leases.CloseStream)
    ]
    assert closed == ["entry-1"]


def test_both_sides_of_a_cut_close_their_stream() -> None:
    world = worlds.World(seed=2, entries=2, peers=True)
    world.run(2.0)
    world.cut("entry-0", "entry-1", 10.0)
    world.run(4.0)
    for name in world.entries:
        assert world.nodes[
            name
        ].core._duplicates._registrations._registrars.is_alone


def test_stream_to_an_entry_that_sends_messages_stays_open() -> None:
    core = _entry()
    actions: list[object] = []
    for step in range(50):
        core.receive(step / 10, wire.Received("entry-1", wire.KeepAlive()))
        actions += core.tick(step / 10)
    assert not any(
        isinstance(action, leases.CloseStream) for action in actions
    )


def test_paused_agent_opens_no_new_streams() -> None:
    world = worlds.World(seed=4, entries=2, agents=2)
    world.run(2.0)
    world.submit("entry-0", "a" * 16, 4, work_s=2.0)
    world.run(0.1)
    before = world.reopened
    world.pause("agent-0", 0.35)
    world.pause("agent-1", 0.35)
    world.run(1.0)
    assert world.reopened == before


def test_slow_entry_keeps_its_stream() -> None:
    world = worlds.World(seed=4, entries=1, agents=2)
    world.run(2.0)
    token = world.submit("entry-0", "a" * 16, 4, work_s=0.8)
    world.run(0.1)
    streams = dict(world.streams)
    world.pause("entry-0", 0.3)
    world.run(1.5)
    assert world.reopened
    assert world.streams == streams
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert world.started["a" * 16] == 4
