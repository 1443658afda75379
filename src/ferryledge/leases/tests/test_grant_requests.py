"""Asks for a grant that are sent with ends of runs."""

import random

import pytest

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import wire

_AGENT = "agent-0"
_NEED = wire.Resources(4000, 100, 0)
_ROOM = wire.Resources(4000, 8000, 0)


def _job(name: str) -> leases.LeasedJob:
    step = leases.JobStep(1, _NEED, 0.4)
    return leases.LeasedJob(name, worlds.JOB_CLASS, "spec", (step,), 5.0)


def _receive(
    entry: leases.LeaseEntry, now: float, message: wire.Message
) -> None:
    entry.receive(now, wire.Received(_AGENT, message))


def _sent(entry: leases.LeaseEntry, now: float) -> list[wire.Message]:
    return [
        action.message
        for action in entry.tick(now)
        if isinstance(action, leases.SendMessage)
    ]


def _state(free: wire.Resources, orders_seen: int) -> wire.EndpointState:
    return wire.EndpointState(
        "i-1", "desk", (), _ROOM, free, True, orders_seen
    )


@pytest.fixture
def entry() -> leases.LeaseEntry:
    """Return an entry with one run, which fills its only agent."""
    entry = leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))
    hello = wire.Hello(wire.Role.AGENT, _AGENT, "1.1", "north")
    entry.receive(0.0, wire.PeerUp(hello))
    _receive(entry, 0.0, wire.RunsHeld(()))
    _receive(entry, 0.0, _state(_ROOM, 0))
    entry.receive(0.1, leases.JobSubmitted(1, _job("a" * 16)))
    assert any(isinstance(sent, wire.OrderRuns) for sent in _sent(entry, 0.1))
    return entry


def _end(ask: int) -> wire.RunsEnded:
    run = wire.TaskRun(0, 0, 1)
    end = wire.RunEnd(run, wire.RunOutcome.DONE, 0.4)
    return wire.RunsEnded("a" * 16, (end,), ask)


def test_ask_with_an_end_is_answered(
    entry: leases.LeaseEntry,
) -> None:
    _receive(entry, 0.5, _end(ask=7))
    assert wire.LeaseGrant(7) in _sent(entry, 0.5)


def test_end_without_an_ask_is_not_answered(entry: leases.LeaseEntry) -> None:
    _receive(entry, 0.5, _end(ask=0))
    sent = _sent(entry, 0.5)
    assert not any(isinstance(message, wire.LeaseGrant) for message in sent)


def test_order_of_the_same_tick_replaces_the_grant_message(
    entry: leases.LeaseEntry,
) -> None:
    entry.receive(0.4, leases.JobSubmitted(2, _job("b" * 16)))
    _sent(entry, 0.4)
    _receive(entry, 0.5, _end(ask=7))
    _receive(entry, 0.5, _state(_ROOM, 1))
    sent = _sent(entry, 0.5)
    orders = [
        message for message in sent if isinstance(message, wire.OrderRuns)
    ]
    assert [order.ask_seen for order in orders] == [7]
    assert not any(isinstance(message, wire.LeaseGrant) for message in sent)


def test_end_is_reported_again_until_it_is_confirmed() -> None:
    """A stream breaks right after an end was reported on it."""
    world = worlds.World(seed=6, entries=1, agents=1)
    world.run(2.0)
    world.submit("entry-0", "a" * 16, 1, work_s=0.2)
    reported = []
    send = world._send

    def relay(source: str, target: str, event: wire.Received) -> None:
        if isinstance(event.message, wire.RunsEnded):
            reported.append(event.message.ends)
            if len(reported) < 3:
                world.at(0.0, lambda: world.break_stream(_AGENT, "entry-0"))
        send(source, target, event)

    world._send = relay  # type: ignore[method-assign]
    world.run(3.0)
    assert len(reported) == 3
    assert len(set(reported)) == 1
    assert world.started["a" * 16] == 1
