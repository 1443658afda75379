"""The notes that tell why a task ran twice at the same time."""

import collections
import typing

import pytest

from ferryledge import leases
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _presumed_ends
from ferryledge import loads as worlds
from ferryledge import wire

_JOB = "a" * 16
_ADOPTED = "runs of an earlier incarnation adopted"
_UNCLAIMED = "runs stopped: no entry claimed them"
_OVERDUE = "stop not confirmed in time"
_OUTLIVED = "run counted as over reported by its agent"
_ENDED = "run ended without a result"
_MESSAGES = (_ADOPTED, _UNCLAIMED, _OVERDUE, _OUTLIVED, _ENDED)


class _EntryMeter(_meters.EntryMeter):
    def __init__(self) -> None:
        self.outlived: list[bool] = []

    def run_outlived(self, proven: bool) -> None:
        self.outlived.append(proven)


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


def _meter_entry(world: worlds.World) -> _EntryMeter:
    meter = _EntryMeter()
    world.nodes["entry-0"].core._notes._meter = meter
    return meter


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
    assert note.facts["jobs"] == [_JOB]
    assert 0.0 < typing.cast(float, note.facts["started_s"]) < 0.3
    assert meter.counts == {"adopted": 3}


def test_stop_of_unclaimed_runs_is_noted(world: worlds.World) -> None:
    agent = _start(world, 3)
    world.kill("entry-0", 5.0)
    world.kill(agent, 0.1)
    world.run(0.101)
    meter = _meter_agent(world, agent)
    world.run(1.5)
    adopted, stopped, *overs = _notes_of(
        world, agent, _ADOPTED, _UNCLAIMED, "run over"
    )
    assert (adopted.message, stopped.message) == (_ADOPTED, _UNCLAIMED)
    assert stopped.urgent
    assert stopped.facts["runs"] == 3
    assert stopped.facts["jobs"] == [_JOB]
    assert [over.urgent for over in overs] == [True] * 3
    assert 0.15 <= typing.cast(float, stopped.facts["unclaimed_s"]) < 0.35
    assert meter.counts == {"adopted": 3, "unclaimed": 3}


def test_unconfirmed_stop_is_noted_once(world: worlds.World) -> None:
    agent = _start(world)
    meter = _meter_agent(world, agent)
    world.lost_stops.add(agent)
    world.post("entry-0", leases.JobCancelled(_JOB))
    world.run(1.0)
    note, over = _notes_of(world, agent, _OVERDUE, "run over")
    assert (note.message, note.job, note.peer) == (_OVERDUE, _JOB, "entry-0")
    assert note.urgent
    assert note.facts["run"] == 1
    assert 0.05 < typing.cast(float, note.facts["waited_s"]) < 0.13
    assert typing.cast(int, note.facts["stops"]) >= 1
    assert note.facts["renewed"]
    assert meter.counts == {"overdue": 1}
    assert over.urgent
    assert over.facts["how"] == "lapsed"
    assert typing.cast(int, over.facts["stops"]) > 10
    assert 0.65 < typing.cast(float, over.facts["stopping_s"]) < 0.75


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
    assert not over.urgent
    assert over.facts["how"] == "stopped"
    assert over.facts["stops"] == 1
    assert typing.cast(float, over.facts["stopping_s"]) < 0.1


def test_end_tells_that_the_agent_reported_it(world: worlds.World) -> None:
    agent = _start(world)
    world.crash_endpoint(agent)
    world.run(2.0)
    (note,) = _notes_of(world, "entry-0", _ENDED, _OUTLIVED)
    assert (note.message, note.facts["source"]) == (_ENDED, "agent")


def _list(world: worlds.World, agent: str, *held: wire.HeldRun) -> None:
    """Let the entry receive a forged first list of runs."""
    world.nodes["entry-0"].core.pool.find(agent).reconciled = False
    world.post("entry-0", wire.Received(agent, wire.RunsHeld(held)))


def _held(world: worlds.World, agent: str) -> wire.HeldRun:
    (row,) = world.nodes[agent].core.runs
    return wire.HeldRun(row.key.job, row.key.task_run, row.need)


def test_run_that_a_list_lacked_is_noted_at_its_end(
    world: worlds.World,
) -> None:
    agent = _start(world, work_s=0.5)
    meter = _meter_entry(world)
    _list(world, agent)
    world.run(0.1)
    (ended,) = _notes_of(world, "entry-0", _ENDED, _OUTLIVED)
    assert (ended.message, ended.facts["source"]) == (_ENDED, "list")
    world.run(1.0)
    (note,) = _notes_of(world, "entry-0", _ENDED, _OUTLIVED)
    assert (note.message, note.job, note.peer) == (_OUTLIVED, _JOB, agent)
    assert note.urgent
    assert note.facts["task"] == 0
    assert note.facts["run"] == 1
    assert note.facts["how"] == "done"
    assert note.facts["source"] == "list"
    assert note.facts["proven"]
    held_s = typing.cast(float, note.facts["held_s"])
    assert typing.cast(float, note.facts["run_s"]) > held_s
    assert 0.3 < typing.cast(float, note.facts["over_s"]) < 0.5
    assert meter.outlived == [True]


def test_run_that_a_list_lacked_is_noted_when_listed(
    world: worlds.World,
) -> None:
    agent = _start(world)
    meter = _meter_entry(world)
    held = _held(world, agent)
    _list(world, agent)
    for _ in range(2):
        _list(world, agent, held)
    (note,) = _notes_of(world, "entry-0", _OUTLIVED)
    assert note.facts["how"] == "held"
    assert note.facts["proven"]
    world.run(0.5)
    (note,) = _notes_of(world, "entry-0", _OUTLIVED)
    assert note.facts["how"] == "stopped"
    assert meter.outlived == [True]


def test_late_report_of_an_end_in_time_proves_nothing(
    world: worlds.World,
) -> None:
    """The run ended with its lease, and the report came after a cut."""
    agent = _start(world, work_s=4.0)
    meter = _meter_entry(world)
    world.cut("entry-0", agent, 2.5)
    world.run(2.4)
    (ended,) = _notes_of(world, "entry-0", _ENDED, _OUTLIVED)
    assert (ended.message, ended.facts["source"]) == (_ENDED, "presumed")
    world.run(3.0)
    (note,) = _notes_of(world, "entry-0", _ENDED, _OUTLIVED)
    assert (note.message, note.facts["source"]) == (_OUTLIVED, "presumed")
    assert not note.facts["proven"]
    assert meter.outlived == [False]
    assert not world.violations


def test_second_run_is_noted_as_urgent(world: worlds.World) -> None:
    agent = _start(world)
    (first,) = _notes_of(world, "entry-0", "ordered")
    assert not first.urgent
    assert "runs" not in first.facts
    world.crash_endpoint(agent)
    world.run(1.5)
    (second,) = _notes_of(world, "entry-0", "ordered")
    assert second.urgent
    assert second.facts["runs"] == [2]
    assert second.facts["previous_agents"] == [agent]


def _end_at(at: float) -> _presumed_ends.PresumedEnd:
    return _presumed_ends.PresumedEnd(_presumed_ends.EndSource.LIST, at, 0.1)


def test_table_of_presumed_ends_is_bounded() -> None:
    table = _presumed_ends.PresumedEnds()
    for number in range(2500):
        table.add("agent-0", _JOB, wire.TaskRun(0, number, 1), _end_at(1.0))
    assert len(table) == 2000
    assert table.find(2.0, "agent-0", _JOB, wire.TaskRun(0, 0, 1)) is None
    last = wire.TaskRun(0, 2499, 1)
    assert table.find(30.9, "agent-0", _JOB, last) is not None
    assert table.find(31.1, "agent-0", _JOB, last) is None
    table.add("agent-1", _JOB, last, _end_at(31.1))
    assert len(table) == 1
