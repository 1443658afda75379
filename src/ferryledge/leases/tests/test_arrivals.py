"""Estimates of the work that arrives at an entry."""

import pytest

from ferryledge.leases import _arrivals


def _regular_arrivals(until: float, interval_s: float) -> _arrivals.Arrivals:
    """Return arrivals of jobs of two core-seconds at a regular interval."""
    arrivals = _arrivals.Arrivals()
    for number in range(round(until / interval_s)):
        arrivals.note(number * interval_s, "quick", "desk", 2.0, 0.1)
    return arrivals


def test_rate_is_right_before_its_averaging_time_has_passed() -> None:
    inflow = _regular_arrivals(3.0, 0.1).inflow(3.0, "desk")
    assert inflow.lately == pytest.approx(20.0, rel=0.1)
    assert inflow.usually == pytest.approx(20.0, rel=0.1)


def test_rate_of_a_peak_decays_to_the_usual_rate() -> None:
    arrivals = _regular_arrivals(30.0, 0.1)
    for number in range(60):
        arrivals.note(30.0 + number / 30, "quick", "desk", 2.0, 0.1)
    inflow = arrivals.inflow(32.0, "desk")
    assert inflow.cores(0.0) > 50.0
    assert inflow.cores(0.0) > inflow.cores(2.0) > inflow.cores(8.0)
    assert inflow.cores(8.0) == pytest.approx(inflow.usually, rel=0.1)


def test_lasting_overload_becomes_the_usual_rate() -> None:
    arrivals = _regular_arrivals(30.0, 0.02)
    assert arrivals.inflow(30.0, "desk").cores(5.0) > 90.0


def test_jobs_with_more_slack_do_not_overtake() -> None:
    inflow = _arrivals.Inflow(
        (
            _arrivals.QueueFlow("quick", 10.0, 10.0, 0.1),
            _arrivals.QueueFlow("long", 20.0, 20.0, 0.6),
        )
    )
    assert inflow.overtaking_work(0.05) == 0.0
    assert inflow.overtaking_work(0.5) == pytest.approx(4.0)


def test_deferred_jobs_are_not_counted_as_arrivals() -> None:
    arrivals = _regular_arrivals(30.0, 0.1)
    before = arrivals.inflow(30.0, "desk").lately
    arrivals.move(30.0, "quick", -5.0)
    assert arrivals.inflow(30.0, "desk").lately == pytest.approx(before - 10.0)


def test_other_services_are_ignored() -> None:
    assert _regular_arrivals(3.0, 0.1).inflow(3.0, "studio").lately == 0.0
