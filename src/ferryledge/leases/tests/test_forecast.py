"""Forecasts of a waiting job's start and prospect."""

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
    arriving: float = 0.0,
    changes: tuple[_forecast.CapacityChange, ...] = (),
    link_wait_s: float = 0.0,
) -> _forecast.Forecaster:
    capacity = _forecast.AvailableCapacity(cores, free, changes, link_wait_s)
    inflow = _arrivals.Inflow(
        (_arrivals.QueueFlow("quick", arriving, arriving, 0.3),)
    )
    return _forecast.Forecaster(_NOW, capacity, inflow)


def _demand(work: float = 2.0, slack_s: float = 0.5) -> _forecast.Demand:
    """Return the demand of a job of 0.4 s whose answer is useful for 1.6 s."""
    return _forecast.Demand(work, 0.4, _NOW + slack_s, _NOW + 1.6)


def test_job_starts_once_the_work_ahead_is_done() -> None:
    forecast = _forecaster().forecast_on_time(_demand(), 1.0)
    assert forecast.room_in_s == pytest.approx(0.3)
    assert forecast.answer_in_s == pytest.approx(0.7)
    assert forecast.prospect is _IN_TIME


def test_arrivals_that_overtake_delay_a_job() -> None:
    forecast = _forecaster(arriving=9.0).forecast_on_time(_demand(), 1.0)
    assert forecast.room_in_s == pytest.approx(0.48)
    assert (
        _forecaster(arriving=10.5).forecast_on_time(_demand(), 1.0).prospect
        is _TOO_LATE
    )


def test_late_job_gets_the_capacity_that_others_leave() -> None:
    forecast = _forecaster(arriving=8.0).forecast_deferred(
        _demand(work=1.0), 1.0
    )
    assert forecast.room_in_s == pytest.approx(1.0)
    assert forecast.prospect is _LATE


def test_late_job_whose_answer_is_useless_is_too_late() -> None:
    forecast = _forecaster(arriving=8.0).forecast_deferred(
        _demand(work=1.5), 1.0
    )
    assert forecast.room_in_s == pytest.approx(1.25)
    assert forecast.prospect is _TOO_LATE


def test_job_is_too_late_without_any_capacity() -> None:
    forecast = _forecaster(cores=0.0).forecast_on_time(_demand(), 0.0)
    assert forecast.room_in_s == math.inf
    assert forecast.prospect is _TOO_LATE


def test_job_that_fits_idle_cores_is_in_time() -> None:
    """A small share of the pool must not delay a job while cores are idle."""
    forecaster = _forecaster(cores=0.1, free=8.0)
    assert forecaster.forecast_on_time(_demand(), 1.0).prospect is _IN_TIME


def test_job_that_fits_idle_cores_is_not_too_late() -> None:
    """Long jobs must not be refused while endpoints are idle."""
    forecaster = _forecaster(cores=1.0, free=5.0, arriving=8.0)
    assert forecaster.forecast_deferred(_demand(), 50.0).prospect is _LATE
    assert (
        forecaster.forecast_deferred(_demand(work=4.0), 50.0).prospect
        is _TOO_LATE
    )


def test_capacity_changes_delay_the_start() -> None:
    loss = _forecast.CapacityChange(0.0, -10.0)
    gain = _forecast.CapacityChange(0.5, 10.0)
    forecast = _forecaster(changes=(loss, gain)).forecast_deferred(
        _demand(work=1.0), 0.0
    )
    assert forecast.room_in_s == pytest.approx(0.6)


def test_orders_wait_for_the_network_link() -> None:
    forecast = _forecaster(link_wait_s=0.4).forecast_on_time(_demand(), 1.0)
    assert forecast.room_in_s == pytest.approx(0.7)
    assert forecast.prospect is _LATE
