"""The notes that tell why a task ran twice at the same time."""

import collections
import typing

import pytest

from ferryledge import leases
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge import loads as worlds

_JOB = "a" * 16
_ADOPTED = "runs of an earlier incarnation adopted"
_UNCLAIMED = "runs stopped: no entry claimed them"
_OVERDUE = "stop not confirmed in time"
_MESSAGES = (_ADOPTED, _UNCLAIMED, _OVERDUE)


class _AgentMeter(_meters.AgentMeter):
    def __init__(self) -> None:
        self.counts: dict[str, int] = collections.Counter()

    def adopted(self, count: int) -> None:
        self.counts["adopted"] += count

    def unclaimed_stopped(self, count: int) -> None:
        self.counts["unclaimed"] += count

    def stop_overdue(self) -> None:
        self.counts["overdue"] += 1


@pytest.fixture
def world() -> worlds.World:
    """Return a world of one entry and two agents."""
    made = worlds.World(seed=4, entries=1, agents=2)
    made.run(2.0)
    return made


def _notes_of(
    world: worlds.World, name: str, *messages: str
) -> list[_notes.Note]:
    notes = world.nodes[name].core.pop_notes()
    return [note for note in notes if note.message in messages]


def _start(world: worlds.World, count: int = 1, work_s: float = 2.0) -> str:
    """Start a job of which one agent gets a run, and return the agent."""
    world.submit("entry-0", _JOB, count, work_s=work_s, deadline_s=20.0)
    world.run(0.1)
    (agent,) = [name for name in world.agents if world.endpoints[name].runs]
    return agent


def _meter_agent(world: worlds.World, agent: str) -> _AgentMeter:
    meter = _AgentMeter()
    world.nodes[agent].core._notes._meter = meter
    return meter


def _drop_stops(world: worlds.World) -> typing.Any:
    """Lose all stops, and return what carries orders out."""
    carry_out = world._order

    def order(agent: str, action: typing.Any) -> None:
        if not isinstance(action, leases.StopRun):
            carry_out(agent, action)

    world._order = order  # type: ignore[method-assign]
    return carry_out


def test_undisturbed_runs_bring_no_notes(world: worlds.World) -> None:
    for number in range(40):
        world.submit("entry-0", f"{number:016x}", 3, work_s=0.2)
        world.run(0.05)
    world.run(2.0)
    for name in (*world.entries, *world.agents):
        notes = world.nodes[name].core.pop_notes()
        assert not [note for note in notes if note.message in _MESSAGES]
        assert not [note for note in notes if note.urgent]
        assert not [note for note in notes if "stops" in note.facts]


def test_adopted_runs_are_noted_once_a_list(world: worlds.World) -> None:
    agent = _start(world, 3)
    world.kill(agent, 0.1)
    world.run(0.101)
    meter = _meter_agent(world, agent)
    world.run(0.3)
    (note,) = _notes_of(world, agent, _ADOPTED, _UNCLAIMED)
    assert note.message == _ADOPTED
    assert note.urgent
    assert note.facts["runs"] == 3
    assert 0.0 < typing.cast(float, note.facts["started_s"]) < 0.3
    assert meter.counts == {"adopted": 3}


def test_stop_of_unclaimed_runs_is_noted(world: worlds.World) -> None:
    agent = _start(world, 3)
    world.kill("entry-0", 5.0)
    world.kill(agent, 0.1)
    world.run(0.101)
    meter = _meter_agent(world, agent)
    world.run(1.5)
    adopted, stopped = _notes_of(world, agent, _ADOPTED, _UNCLAIMED)
    assert (adopted.message, stopped.message) == (_ADOPTED, _UNCLAIMED)
    assert stopped.urgent
    assert stopped.facts["runs"] == 3
    assert 0.6 < typing.cast(float, stopped.facts["unclaimed_s"]) < 0.8
    assert meter.counts == {"adopted": 3, "unclaimed": 3}


def test_unconfirmed_stop_is_noted_once(world: worlds.World) -> None:
    agent = _start(world)
    meter = _meter_agent(world, agent)
    carry_out = _drop_stops(world)
    world.post("entry-0", leases.JobCancelled(_JOB))
    world.run(1.0)
    (note,) = _notes_of(world, agent, _OVERDUE, "run over")
    assert (note.message, note.job, note.peer) == (_OVERDUE, _JOB, "entry-0")
    assert note.urgent
    assert note.facts["run"] == 1
    assert 0.05 < typing.cast(float, note.facts["waited_s"]) < 0.13
    assert typing.cast(int, note.facts["stops"]) >= 1
    assert note.facts["renewed"]
    assert meter.counts == {"overdue": 1}
    world._order = carry_out
    world.run(0.2)
    (over,) = _notes_of(world, agent, _OVERDUE, "run over")
    assert over.message == "run over"
    assert typing.cast(int, over.facts["stops"]) > 10
    assert 1.0 < typing.cast(float, over.facts["stopping_s"]) < 1.2


def test_unconfirmed_stop_without_renewal_is_told_apart(
    world: worlds.World,
) -> None:
    agent = _start(world)
    world.late_orders = 1.0
    world.run(0.05)
    world.post("entry-0", leases.JobCancelled(_JOB))
    world.run(0.3)
    (note,) = _notes_of(world, agent, _OVERDUE)
    assert not note.facts["renewed"]


def test_confirmed_stop_is_told_by_the_end(world: worlds.World) -> None:
    agent = _start(world)
    world.post("entry-0", leases.JobCancelled(_JOB))
    world.run(0.5)
    (over,) = _notes_of(world, agent, _OVERDUE, "run over")
    assert over.facts["how"] == "stopped"
    assert over.facts["stops"] == 1
    assert typing.cast(float, over.facts["stopping_s"]) < 0.1
