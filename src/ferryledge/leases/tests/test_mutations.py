"""Without one of its mechanisms the lease rule is seen to break.

Each is taken out alone, in a scenario that holds with it.
"""

from collections import abc
import dataclasses
import typing

import pytest

from ferryledge import leases
from ferryledge.leases import _acceptance
from ferryledge.leases import _agent
from ferryledge.leases import _endpoint
from ferryledge.leases import _owners
from ferryledge.leases import _stream_watch
from ferryledge.leases import _timing
from ferryledge.leases.tests import faults
from ferryledge.leases.tests import world as worlds
from ferryledge import wire

_PLENTY = wire.Resources(10**9, 10**9, 10**9)
_JOB = "a" * 16


def _late_orders() -> worlds.World:
    strike = faults.FAULTS["orders lost or late"]
    return faults.play(strike, faults.STEPS["start"], 100)


def _agents_killed() -> worlds.World:
    strike = faults.FAULTS["agent killed"]
    return faults.play(strike, faults.STEPS["start"], 100)


def _entry_gone_and_its_job_repeated() -> worlds.World:
    world = worlds.World(seed=5)
    world.run(2.0)
    # It fills one endpoint, so that the repeat has to go to another.
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.kill("entry-0", down_s=6.0)
    world.run(faults.REPEAT_S)
    world.submit("entry-1", _JOB, count=8, work_s=3.0)
    world.run(8.0)
    return world


def _late_heartbeat_during_a_run() -> worlds.World:
    world = worlds.World(seed=5)
    world.run(2.0)
    old = world.report_of("agent-0", 10**6)
    world.crash_endpoint("agent-0", 0.2)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=20, work_s=0.5)
    world.run(0.1)
    world.post("agent-0", old)
    world.run(4.0)
    return world


def _agent_back_while_its_entry_is_gone() -> worlds.World:
    world = worlds.World(seed=5, agents=1)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.kill("entry-0", down_s=6.0)
    world.kill("agent-0")
    world.run(0.4)
    world.submit("entry-1", "b" * 16, count=8, work_s=0.5)
    world.run(8.0)
    return world


def _silent_streams(work_s: float) -> worlds.World:
    """Let streams go silent 0.4 s after the start of a task."""
    world = worlds.World(seed=3, entries=1, agents=1)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=1, work_s=work_s)
    world.run(0.4)
    world.silence_all_streams()
    world.run(5.0)
    if world.started[_JOB] > 1:
        world.violations.append("started again although it was sound")
    return world


def _silent_streams_at_an_end() -> worlds.World:
    return _silent_streams(work_s=0.4)


def _silent_streams_during_a_run() -> worlds.World:
    return _silent_streams(work_s=2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism that is taken out, and where that shows."""

    target: object
    attribute: str
    replacement: object
    scenario: abc.Callable[[], worlds.World]


def _believe(
    link: _endpoint.EndpointLink, seen: leases.EndpointSeen, now: float
) -> bool:
    """Take any other incarnation for a successor."""
    if link.incarnation == seen.incarnation:
        return False
    return link._take(seen, now)


def _nothing(*_: typing.Any) -> None:
    """Stand in for a mechanism that is taken out."""


def _always(*_: typing.Any) -> bool:
    return True


MUTATIONS = {
    "room is not counted": Mutation(
        _acceptance.Acceptance,
        "free",
        property(lambda _: _PLENTY),
        _late_orders,
    ),
    "runs are over as soon as a stream breaks": Mutation(
        _timing.LeaseTiming,
        "over_after_s",
        property(lambda _: 0.0),
        _agents_killed,
    ),
    "grants never run out": Mutation(
        _owners.OwnerTable,
        "has_grant",
        _always,
        _entry_gone_and_its_job_repeated,
    ),
    "any heartbeat is the endpoint's": Mutation(
        _endpoint.EndpointLink,
        "see",
        _believe,
        _late_heartbeat_during_a_run,
    ),
    "what runs is not adopted": Mutation(
        _agent.LeaseAgent,
        "_adopt",
        _nothing,
        _agent_back_while_its_entry_is_gone,
    ),
    "ends are told once": Mutation(
        _owners.OwnerTable,
        "take_unconfirmed",
        lambda *_: [],
        _silent_streams_at_an_end,
    ),
    "silent streams are not replaced in time": Mutation(
        _stream_watch.StreamWatch,
        "look",
        lambda *_: [],
        _silent_streams_during_a_run,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_promises_hold_with_the_mechanism(name: str) -> None:
    assert not MUTATIONS[name].scenario().violations


@pytest.mark.parametrize("name", MUTATIONS)
def test_promises_break_without_it(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation = MUTATIONS[name]
    monkeypatch.setattr(
        mutation.target, mutation.attribute, mutation.replacement
    )
    assert mutation.scenario().violations
