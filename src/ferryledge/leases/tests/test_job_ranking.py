"""Ranking of waiting jobs, and how long a job may wait."""

import dataclasses

import pytest

from ferryledge import leases
from ferryledge.leases import _job_ranking
from ferryledge.leases import _jobs
from ferryledge.leases import _pool_share
from ferryledge.leases import _urgency_reports
from ferryledge import placement
from ferryledge import wire

RANKING = _job_ranking.JobRanking()
_CLASS = leases.JobClass("quick", "desk", stretch=1.6, target_s=0.06)


def _job(spread: float) -> _jobs.Job:
    step = leases.JobStep(2, wire.Resources(1000, 100, 0), 1.0)
    request = leases.LeasedJob("a" * 16, _CLASS, "spec", (step,))
    tasks = _jobs.make_tasks(request)
    return _jobs.Job(request, [1], 10.0, 1.0, tasks, spread)


def test_job_of_known_size_may_use_all_its_slack() -> None:
    assert _job(0.0).start_by == pytest.approx(10.0 + 0.66)


def test_job_of_uncertain_size_may_wait_less() -> None:
    assert _job(0.4).start_by == pytest.approx(
        10.0 + 0.06 + 0.6 * 0.6, abs=0.01
    )


def test_spread_is_learned_from_run_times() -> None:
    times = placement.RunTimes()
    assert times.spread("quick") == pytest.approx(0.7)
    for number in range(400):
        declared_s = 0.2 if number % 2 else 0.3
        times.learn("quick", "endpoint", 0.25, declared_s)
    assert times.spread("quick") < 0.1


def test_dispatched_job_is_not_late() -> None:
    dispatched, waiting = _job(0.0), _job(0.0)
    dispatched.dispatched_at = 10.1
    late = dispatched.start_by + 1.0
    virtual_deadline = dispatched.start_by - _job_ranking.DISPATCHED_LEAD_S
    assert (
        RANKING.earliest_deadline(late, [dispatched, waiting], 0.0)
        == virtual_deadline
    )


def test_dispatched_job_precedes_one_of_similar_urgency() -> None:
    dispatched, waiting = _job(0.0), _job(0.0)
    dispatched.dispatched_at = 10.1
    dispatched.arrived_at = waiting.arrived_at + 0.4
    assert RANKING.virtual_deadline(
        dispatched, 0.0
    ) < RANKING.virtual_deadline(waiting, 0.0)
    dispatched.arrived_at = waiting.arrived_at + 0.6
    assert RANKING.virtual_deadline(
        dispatched, 0.0
    ) > RANKING.virtual_deadline(waiting, 0.0)


def test_urgent_queue_precedes_one_of_similar_urgency() -> None:
    urgent, other = _job(0.0), _job(0.0)
    job_class = other.request.job_class
    lower = dataclasses.replace(job_class, priority=job_class.priority + 1)
    other.request = dataclasses.replace(other.request, job_class=lower)
    urgent.arrived_at = other.arrived_at + 0.15
    assert RANKING.virtual_deadline(urgent, 0.0) < RANKING.virtual_deadline(
        other, 0.0
    )
    urgent.arrived_at = other.arrived_at + 0.25
    assert RANKING.virtual_deadline(urgent, 0.0) > RANKING.virtual_deadline(
        other, 0.0
    )


def test_late_job_yields_to_jobs_that_are_on_time() -> None:
    late, timely = _job(0.0), _job(0.0)
    timely.arrived_at = 11.0
    assert (
        RANKING.earliest_deadline(11.0, [late, timely], 0.0) == timely.start_by
    )
    assert RANKING.earliest_deadline(11.0, [late], 0.0) == pytest.approx(41.0)


def test_job_of_several_tasks_should_start_earlier() -> None:
    job = _job(0.0)
    assert RANKING.next_start_by(job, 0.02) == pytest.approx(
        job.start_by - 0.04
    )
    job.set_state(job.all_tasks[0], _jobs.TaskState.BOUND)
    assert RANKING.next_start_by(job, 0.02) == pytest.approx(
        job.start_by - 0.02
    )


def test_start_interval_follows_share_and_task_size() -> None:
    share = _pool_share.PoolShare()
    for tick in range(400):
        share.note_started(tick / 100, 0.5, 2)
    share.update(4.0, 80.0, 4)
    assert share.start_interval_s == pytest.approx(0.25 / 50.0, rel=0.02)


def test_reports_to_many_agents_are_less_frequent() -> None:
    reports = _urgency_reports.UrgencyReports(
        reported_deadline=1.0, reported_at=5.0, reported_agents=50
    )
    assert reports.due_at(2.0) == pytest.approx(5.05)
    reports.reported_agents = 2
    assert reports.due_at(2.0) == pytest.approx(5.006)
    assert reports.due_at(1.001) == float("inf")
