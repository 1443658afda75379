"""Scheduled retries of refused clients."""

import functools
import math
import pathlib
import random

import pytest

import ferryledge
from ferryledge import leases
from ferryledge.leases import _job_ranking
from ferryledge.leases import _jobs
from ferryledge.leases import _retry_schedule
from ferryledge import loads
from ferryledge import wire

FILES = pathlib.Path(ferryledge.__file__).parents[2] / "bench" / "loads"
_NOW = 100.0


@pytest.fixture
def retry_schedule() -> _retry_schedule.RetrySchedule:
    return _retry_schedule.RetrySchedule(random.Random(1))


def _queueing_delay(work: float) -> float:
    """Return the delay of work with ten spare cores from 1 s on."""
    return 1.0 + work / 10.0


def _never(_work: float) -> float:
    return math.inf


def test_retries_are_spread_by_forecast_capacity(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delays = [
        retry_schedule.schedule(_NOW, name, 5.0, _queueing_delay)
        for name in ("a", "b", "c")
    ]
    assert delays == [1.5, 2.0, 2.5]


def test_due_retries_reserve_no_capacity(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    retry_schedule.schedule(_NOW, "a", 5.0, _queueing_delay)
    assert (
        retry_schedule.schedule(_NOW + 2.0, "b", 5.0, _queueing_delay) == 1.5
    )


def test_retry_delay_is_bounded_and_jittered(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delays = [
        retry_schedule.schedule(_NOW, f"{number}", 5.0, _never)
        for number in range(50)
    ]
    assert all(2.5 <= delay_s <= 5.0 for delay_s in delays)
    assert len(set(delays)) > 40


def test_early_retry_gains_nothing(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delay_s = retry_schedule.schedule(_NOW, "a", 15.0, _queueing_delay)
    assert not retry_schedule.claim(_NOW + 1.0, "a")
    again_s = retry_schedule.schedule(_NOW + 1.0, "a", 15.0, _queueing_delay)
    assert again_s == pytest.approx(delay_s - 1.0)


def test_scheduled_retry_is_claimed_once(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delay_s = retry_schedule.schedule(_NOW, "a", 5.0, _queueing_delay)
    assert retry_schedule.claim(_NOW + delay_s, "a")
    assert not retry_schedule.claim(_NOW + delay_s, "a")


def test_retry_long_after_its_time_counts_as_new(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    retry_schedule.schedule(_NOW, "a", 5.0, _queueing_delay)
    assert not retry_schedule.claim(_NOW + 20.0, "a")


def test_scheduled_retry_precedes_new_jobs_of_similar_urgency() -> None:
    def make(arrived_at: float) -> _jobs.Job:
        step = leases.JobStep(2, wire.Resources(1000, 100, 0), 1.0)
        request = leases.LeasedJob("a", loads.JOB_CLASS, "spec", (step,))
        tasks = _jobs.make_tasks(request)
        return _jobs.Job(request, [1], arrived_at, 1.0, tasks)

    retry, new = make(10.1), make(10.0)
    virtual_deadline = functools.partial(
        _job_ranking.JobRanking().virtual_deadline, start_interval_s=0.0
    )
    assert virtual_deadline(retry) > virtual_deadline(new)
    retry.is_scheduled_retry = True
    assert virtual_deadline(retry) < virtual_deadline(new)


def test_scheduled_retries_are_served_in_the_end() -> None:
    """The load is twice the capacity for 3 s; clients retry twice at most.

    With random delays they retried while the pool was still full.
    """
    load = loads.read(FILES / "returns.toml")
    refused = loads.JobEnd.REFUSED
    played = loads.play(load, 1)
    without = loads.play(load, 1, loads.without("returns_in_order"))
    assert played.share(refused) < 0.3 * without.share(refused)
    assert not played.violations
