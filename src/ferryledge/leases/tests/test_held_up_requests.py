"""Requests that the network delays until their clients have repeated them.

The client closes its connection when it gives up, but the entry reads that
later than the request.
"""

import dataclasses
import functools
import random

import pytest

from ferryledge import leases
from ferryledge.leases import _duplicates
from ferryledge.leases import _entry
from ferryledge.leases import _pool
from ferryledge.leases import _resubmissions
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes

_JOB = "a" * 16
#: They fill an endpoint, so the same job would start at another one.
_TASKS = 8
_WORK_S = 2.0
_DEADLINE_S = 5.0


@dataclasses.dataclass
class _Play:
    """A request that arrives late at the first entry."""

    world: worlds.World
    #: Seconds from its sending to its arrival.
    held_s: float = 1.8
    #: Seconds from its arrival until the entry reads that its client left.
    end_read_s: float = 0.005
    #: The entry that gets the repetition.
    other: str = "entry-1"

    def run(self) -> worlds.World:
        """Play the request and its repetition, and return the world."""
        self.world.run(3.0)
        self.world.at(faults.REPEAT_S, self._repeat)
        self.world.at(self.held_s, self._arrive)
        self.world.run(self.held_s + 3.0)
        return self.world

    def _submit(self, entry: str, waited_s: float) -> int:
        deadline_s = _DEADLINE_S - waited_s
        return self.world.submit(
            entry, _JOB, _TASKS, _WORK_S, 1000, deadline_s
        )

    def _repeat(self) -> None:
        self._submit(self.other, faults.REPEAT_S)

    def _arrive(self) -> None:
        token = self._submit("entry-0", 0.0)
        left = leases.ClientLeft(token, _JOB)
        leave = functools.partial(self.world.post, "entry-0", left)
        self.world.at(self.end_read_s, leave)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("end_read_s", [0.001, 0.005, 0.05, 1.0])
@pytest.mark.parametrize("held_s", [1.45, 1.6, 2.0, 3.0])
def test_late_request_starts_nothing_beside_its_repetition(
    held_s: float, end_read_s: float, seed: int
) -> None:
    """Guards against a start by an entry that no other entry talks to."""
    play = _Play(worlds.World(seed, entries=2, agents=6), held_s, end_read_s)
    world = play.run()
    assert not world.violations
    assert world.started[_JOB] == _TASKS


@pytest.mark.parametrize("entries", [2, 3, 4])
def test_late_request_starts_nothing_at_any_number_of_entries(
    entries: int,
) -> None:
    """Guards against a start at agents that serve all entries."""
    world = worlds.World(5, entries=entries, agents=6, peers=True)
    assert not _Play(world).run().violations


def _submit_usual_jobs(world: worlds.World, entry: str) -> None:
    """Let an entry learn the usual deadlines of first submissions."""
    rng = random.Random(0)
    world.run(3.0)
    for number in range(24):
        deadline_s = _DEADLINE_S * rng.uniform(0.9, 1.1)
        world.submit(entry, f"{number:016x}", 1, 0.02, 100, deadline_s)
        world.run(0.04)


def _play_beside_other_agents(
    other: str, cut_s: float, rules: leases.EntryRules | None = None
) -> worlds.World:
    """Play a repetition at agents that may not serve the first entry.

    :param other: the entry that gets the repetition
    :param cut_s: how long the two entries are cut off from each other
    :param rules: the rules in force; defaults to all
    """
    world = worlds.World(1, entries=8, agents=24, peers=True, rules=rules)
    _submit_usual_jobs(world, other)
    world.at(3.0, lambda: world.cut("entry-0", other, cut_s))
    return _Play(world, other=other).run()


@pytest.mark.parametrize("cut_s", [0.0, 1.7])
@pytest.mark.parametrize("other", ["entry-1", "entry-4", "entry-7"])
def test_late_request_starts_nothing_where_no_agent_knows_its_job(
    other: str, cut_s: float
) -> None:
    """Guards against a start at agents that serve only one of the entries."""
    assert not _play_beside_other_agents(other, cut_s).violations


def _play_after_cut(held_s: float, seed: int) -> worlds.World:
    """Cut the first entry off from all others until the request arrives."""
    world = worlds.World(seed, entries=3, agents=6, peers=True)
    for name in world.nodes:
        if name != "entry-0":
            cut = functools.partial(world.cut, "entry-0", name, held_s)
            world.at(3.0 - 0.001, cut)
    return _Play(world, held_s, end_read_s=0.08).run()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("held_s", [1.8, 3.2])
def test_late_request_starts_nothing_after_a_cut_of_its_entry(
    held_s: float, seed: int
) -> None:
    """Guards against a start by an entry that is just in touch again."""
    assert not _play_after_cut(held_s, seed).violations


def test_first_entry_gives_up_a_job_that_its_client_submitted_again() -> None:
    """Guards against a run for a client that left without being noticed."""
    world = worlds.World(2, entries=2, agents=6, peers=True)
    _submit_usual_jobs(world, "entry-1")
    first = world.submit("entry-0", _JOB, _TASKS, 4.0, 1000, _DEADLINE_S)
    for waited_s in (faults.REPEAT_S, 2 * faults.REPEAT_S):
        world.run(faults.REPEAT_S)
        deadline_s = _DEADLINE_S - waited_s
        again = world.submit("entry-1", _JOB, _TASKS, 0.2, 1000, deadline_s)
    world.run(1.0)
    given_up = world.outcome(first)
    assert isinstance(given_up, outcomes.FailedMayHaveRun)
    assert given_up.reason is outcomes.Reason.DUPLICATE
    assert isinstance(world.outcome(again), outcomes.Complete)
    assert not world.violations


def test_late_request_is_answered_as_possibly_run() -> None:
    """Guards against a refusal that claims that the job never runs."""
    world = worlds.World(seed=3, entries=2, agents=6)
    world = _Play(world, end_read_s=1.0).run()
    late = world.outcome(max(world.jobs))
    assert isinstance(late, outcomes.FailedMayHaveRun)
    assert late.reason is outcomes.Reason.DUPLICATE


def test_repetition_is_served_after_its_first_entry_is_lost() -> None:
    """Guards against runs of a lost entry that keep a job from starting."""
    for seed in range(8):
        world = worlds.World(seed, entries=2, agents=6)
        world.run(3.0)
        world.submit("entry-0", _JOB, _TASKS, _WORK_S)
        world.run(0.2)
        world.kill("entry-0", down_s=6.0)
        world.run(faults.REPEAT_S)
        token = world.submit("entry-1", _JOB, _TASKS, _WORK_S)
        world.run(3.0)
        assert isinstance(world.outcome(token), outcomes.Complete)
        assert not world.violations


def test_repetition_is_served_after_its_client_left_another_entry() -> None:
    """Guards against reports of runs that ended long ago."""
    for seed in range(8):
        world = worlds.World(seed, entries=2, agents=6)
        world.run(3.0)
        token = world.submit("entry-0", _JOB, _TASKS, _WORK_S)
        world.run(0.5)
        world.post("entry-0", leases.ClientLeft(token, _JOB))
        world.run(0.6)
        token = world.submit("entry-1", _JOB, _TASKS, _WORK_S)
        world.run(3.0)
        assert isinstance(world.outcome(token), outcomes.Complete)


def test_late_request_that_nobody_recognizes_starts_nothing() -> None:
    """Guards against a start where no agent serves both entries.

    The entry of the repetition knows no usual deadlines yet.
    """
    world = worlds.World(1, entries=8, agents=24, peers=True)
    world.run(4.0)
    assert not _Play(world, other="entry-7").run().violations


def test_late_request_starts_nothing_while_two_entries_are_cut_off() -> None:
    """Guards against a start where the announcement can't arrive."""
    assert not _play_beside_other_agents("entry-7", 5.0).violations


def test_repetition_starts_nothing_beside_runs_of_its_first_entry() -> None:
    """Guards against a start before the first entry has stopped its runs.

    The client left the first entry unnoticed, and no agent serves both.
    """
    world = worlds.World(1, entries=8, agents=24, peers=True)
    _submit_usual_jobs(world, "entry-7")
    world.submit("entry-0", _JOB, _TASKS, _WORK_S, 1000, _DEADLINE_S)
    world.run(faults.REPEAT_S)
    deadline_s = _DEADLINE_S - faults.REPEAT_S
    world.submit("entry-7", _JOB, _TASKS, _WORK_S, 1000, deadline_s)
    world.run(3.0)
    assert not world.violations


def _ignore(*_: object) -> None:
    """Find nothing."""


def test_reports_of_agents_are_needed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_pool.Pool, "find_other_run", _ignore)
    monkeypatch.setattr(_duplicates.Duplicates, "note_other_jobs", _ignore)
    assert _Play(worlds.World(1, entries=2, agents=6)).run().violations


def test_announcements_are_needed(monkeypatch: pytest.MonkeyPatch) -> None:
    resubmissions = _resubmissions.Resubmissions
    monkeypatch.setattr(resubmissions, "note_submission", _ignore)
    rules = leases.EntryRules(registers_jobs=False)
    assert _play_beside_other_agents("entry-7", 0.0, rules).violations


def test_pause_after_a_cut_is_needed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_entry, "_ISOLATION_S", float("inf"))
    assert _play_after_cut(1.8, 0).violations
