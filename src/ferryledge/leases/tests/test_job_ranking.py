"""How long a job may wait for its start."""

import dataclasses

import pytest

from ferryledge import leases
from ferryledge.leases import _job_ranking
from ferryledge.leases import _jobs
from ferryledge.leases import _pool_share
from ferryledge.leases import _urgency_reports
from ferryledge import placement
from ferryledge import wire

TURNS = _job_ranking.JobRanking()
_CLASS = leases.JobClass("quick", "desk", stretch=1.6, target_s=0.06)


def _job(spread: float) -> _jobs.Job:
    step = leases.JobStep(2, wire.Resources(1000, 100, 0), 1.0)
    request = leases.LeasedJob("a" * 16, _CLASS, "spec", (step,))
    tasks = _jobs.make_tasks(request)
    return _jobs.Job(request, [1], 10.0, 1.0, tasks, spread)


def test_job_of_known_size_may_wait_for_all_its_slack() -> None:
    assert _job(0.0).start_by == pytest.approx(10.0 + 0.66)


def test_job_of_uncertain_size_may_wait_less() -> None:
    assert _job(0.4).start_by == pytest.approx(
        10.0 + 0.06 + 0.6 * 0.6, abs=0.01
    )


def test_spread_is_learned_from_what_tasks_took() -> None:
    times = placement.RunTimes()
    assert times.spread("quick") == pytest.approx(0.7)
    for number in range(400):
        declared_s = 0.2 if number % 2 else 0.3
        times.learn("quick", "endpoint", 0.25, declared_s)
    assert times.spread("quick") < 0.1


def test_begun_job_stays_pressing_for_agents() -> None:
    begun, waiting = _job(0.0), _job(0.0)
    begun.dispatched_at = 10.1
    late = begun.start_by + 1.0
    virtual_deadline = begun.start_by - _job_ranking.DISPATCHED_LEAD_S
    assert (
        TURNS.earliest_deadline(late, [begun, waiting], 0.0)
        == virtual_deadline
    )


def test_begun_job_goes_before_one_that_is_about_as_pressing() -> None:
    begun, waiting = _job(0.0), _job(0.0)
    begun.dispatched_at = 10.1
    begun.arrived_at = waiting.arrived_at + 0.4
    assert TURNS.virtual_deadline(begun, 0.0) < TURNS.virtual_deadline(
        waiting, 0.0
    )
    begun.arrived_at = waiting.arrived_at + 0.6
    assert TURNS.virtual_deadline(begun, 0.0) > TURNS.virtual_deadline(
        waiting, 0.0
    )


def test_urgent_queue_goes_before_one_that_is_about_as_pressing() -> None:
    urgent, other = _job(0.0), _job(0.0)
    job_class = other.request.job_class
    lower = dataclasses.replace(job_class, priority=job_class.priority + 1)
    other.request = dataclasses.replace(other.request, job_class=lower)
    urgent.arrived_at = other.arrived_at + 0.15
    assert TURNS.virtual_deadline(urgent, 0.0) < TURNS.virtual_deadline(
        other, 0.0
    )
    urgent.arrived_at = other.arrived_at + 0.25
    assert TURNS.virtual_deadline(urgent, 0.0) > TURNS.virtual_deadline(
        other, 0.0
    )


def test_late_job_yields_to_all_that_are_not() -> None:
    late, timely = _job(0.0), _job(0.0)
    timely.arrived_at = 11.0
    assert (
        TURNS.earliest_deadline(11.0, [late, timely], 0.0) == timely.start_by
    )
    assert TURNS.earliest_deadline(11.0, [late], 0.0) == pytest.approx(41.0)


def test_wide_job_begins_sooner_than_one_task_of_its_size() -> None:
    job = _job(0.0)
    assert TURNS.next_start_by(job, 0.02) == pytest.approx(job.start_by - 0.04)
    job.set_state(job.all_tasks[0], _jobs.TaskState.BOUND)
    assert TURNS.next_start_by(job, 0.02) == pytest.approx(job.start_by - 0.02)


def test_gap_between_starts_follows_share_and_size() -> None:
    share = _pool_share.PoolShare()
    for tick in range(400):
        share.note_started(tick / 100, 0.5, 2)
    share.update(4.0, 80.0, 4)
    assert share.start_interval_s == pytest.approx(0.25 / 50.0, rel=0.02)


def test_entry_of_many_homes_repeats_itself_less_often() -> None:
    wanting = _urgency_reports.UrgencyReports(
        reported_deadline=1.0, reported_at=5.0, reported_agents=50
    )
    assert wanting.due_at(2.0) == pytest.approx(5.05)
    wanting.reported_agents = 2
    assert wanting.due_at(2.0) == pytest.approx(5.006)
    assert wanting.due_at(1.001) == float("inf")
