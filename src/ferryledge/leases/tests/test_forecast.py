"""When a job is forecast to get room, and what that makes of it."""

import math

import pytest

from ferryledge.leases import _arrivals
from ferryledge.leases import _forecast

_NOW = 100.0
_IN_TIME = _forecast.Prospect.IN_TIME
_LATE = _forecast.Prospect.LATE
_TOO_LATE = _forecast.Prospect.TOO_LATE


def _forecaster(
    cores: float = 10.0,
    free: float = 0.0,
    comes: float = 0.0,
    changes: tuple[_forecast.CapacityChange, ...] = (),
    link_wait_s: float = 0.0,
) -> _forecast.Forecaster:
    room = _forecast.AvailableCapacity(cores, free, changes, link_wait_s)
    inflow = _arrivals.Inflow(
        (_arrivals.QueueFlow("quick", comes, comes, 0.3),)
    )
    return _forecast.Forecaster(_NOW, room, inflow)


def _need(work: float = 2.0, slack_s: float = 0.5) -> _forecast.Demand:
    """Return what a job of 0.4 s needs that is useful for 1.6 s."""
    return _forecast.Demand(work, 0.4, _NOW + slack_s, _NOW + 1.6)


def test_job_has_room_once_the_work_ahead_is_carried_away() -> None:
    told = _forecaster().forecast_on_time(_need(), 1.0)
    assert told.room_in_s == pytest.approx(0.3)
    assert told.answer_in_s == pytest.approx(0.7)
    assert told.prospect is _IN_TIME


def test_work_to_come_that_goes_ahead_counts() -> None:
    told = _forecaster(comes=9.0).forecast_on_time(_need(), 1.0)
    assert told.room_in_s == pytest.approx(0.48)
    assert (
        _forecaster(comes=10.5).forecast_on_time(_need(), 1.0).prospect
        is _TOO_LATE
    )


def test_late_job_gets_what_those_in_time_leave() -> None:
    told = _forecaster(comes=8.0).late(_need(work=1.0), 1.0)
    assert told.room_in_s == pytest.approx(1.0)
    assert told.prospect is _LATE


def test_late_job_is_in_vain_once_it_would_be_of_no_use() -> None:
    told = _forecaster(comes=8.0).late(_need(work=1.5), 1.0)
    assert told.room_in_s == pytest.approx(1.25)
    assert told.prospect is _TOO_LATE


def test_no_room_at_all_is_in_vain() -> None:
    told = _forecaster(cores=0.0).forecast_on_time(_need(), 0.0)
    assert told.room_in_s == math.inf
    assert told.prospect is _TOO_LATE


def test_job_that_fits_into_free_room_is_in_time() -> None:
    """An entry's small share of a pool that is not full binds nothing.

    Jobs were refused for want of this entry's share while endpoints were
    free.
    """
    forecaster = _forecaster(cores=0.1, free=8.0)
    assert forecaster.forecast_on_time(_need(), 1.0).prospect is _IN_TIME


def test_job_that_fits_into_free_room_is_not_in_vain() -> None:
    """After a loss of power long jobs were refused with endpoints free."""
    forecaster = _forecaster(cores=1.0, free=5.0, comes=8.0)
    assert forecaster.late(_need(), 50.0).prospect is _LATE
    assert forecaster.late(_need(work=4.0), 50.0).prospect is _TOO_LATE


def test_room_that_goes_and_comes_moves_the_forecast() -> None:
    goes = _forecast.CapacityChange(0.0, -10.0)
    comes = _forecast.CapacityChange(0.5, 10.0)
    told = _forecaster(changes=(goes, comes)).late(_need(work=1.0), 0.0)
    assert told.room_in_s == pytest.approx(0.6)


def test_orders_wait_for_the_own_link() -> None:
    told = _forecaster(link_wait_s=0.4).forecast_on_time(_need(), 1.0)
    assert told.room_in_s == pytest.approx(0.7)
    assert told.prospect is _LATE
