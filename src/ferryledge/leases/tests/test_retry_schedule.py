"""When refused callers are told to come back, and what that is worth."""

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


def _room_in(work: float) -> float:
    """Return how long work waits where ten cores are left from 1 s on."""
    return 1.0 + work / 10.0


def _never(_work: float) -> float:
    return math.inf


def test_callers_return_one_after_another_as_room_allows(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    told = [
        retry_schedule.schedule(_NOW, name, 5.0, _room_in)
        for name in ("a", "b", "c")
    ]
    assert told == [1.5, 2.0, 2.5]


def test_room_of_those_that_are_due_is_free_again(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    retry_schedule.schedule(_NOW, "a", 5.0, _room_in)
    assert retry_schedule.schedule(_NOW + 2.0, "b", 5.0, _room_in) == 1.5


def test_nobody_is_told_later_than_the_longest(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    told = [
        retry_schedule.schedule(_NOW, f"{number}", 5.0, _never)
        for number in range(50)
    ]
    assert all(2.5 <= one <= 5.0 for one in told)
    assert len(set(told)) > 40


def test_early_return_gains_nothing(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delay_s = retry_schedule.schedule(_NOW, "a", 15.0, _room_in)
    assert not retry_schedule.claim(_NOW + 1.0, "a")
    again_s = retry_schedule.schedule(_NOW + 1.0, "a", 15.0, _room_in)
    assert again_s == pytest.approx(delay_s - 1.0)


def test_return_at_its_time_keeps_its_place_once(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    delay_s = retry_schedule.schedule(_NOW, "a", 5.0, _room_in)
    assert retry_schedule.claim(_NOW + delay_s, "a")
    assert not retry_schedule.claim(_NOW + delay_s, "a")


def test_return_long_after_its_time_is_a_new_one(
    retry_schedule: _retry_schedule.RetrySchedule,
) -> None:
    retry_schedule.schedule(_NOW, "a", 5.0, _room_in)
    assert not retry_schedule.claim(_NOW + 20.0, "a")


def test_place_goes_ahead_of_new_jobs_that_are_about_as_pressing() -> None:
    def make(arrived_at: float) -> _jobs.Job:
        step = leases.JobStep(2, wire.Resources(1000, 100, 0), 1.0)
        request = leases.LeasedJob("a", loads.JOB_CLASS, "spec", (step,))
        tasks = _jobs.make_tasks(request)
        return _jobs.Job(request, [1], arrived_at, 1.0, tasks)

    back, new = make(10.1), make(10.0)
    virtual_deadline = functools.partial(
        _job_ranking.JobRanking().virtual_deadline, start_interval_s=0.0
    )
    assert virtual_deadline(back) > virtual_deadline(new)
    back.is_scheduled_retry = True
    assert virtual_deadline(back) < virtual_deadline(new)


def test_callers_that_are_told_when_are_served_in_the_end() -> None:
    """Twice the room for 3 s; callers come back twice at the most.

    Told a delay by chance they came back into the full pool, and one in
    eight was never served.
    """
    load = loads.read(FILES / "returns.toml")
    refused = loads.JobEnd.REFUSED
    played = loads.play(load, 1)
    without = loads.play(load, 1, loads.without("returns_in_order"))
    assert played.share(refused) < 0.3 * without.share(refused)
    assert not played.violations
