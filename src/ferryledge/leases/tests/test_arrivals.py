"""What an entry learns of the work that comes to it."""

import pytest

from ferryledge.leases import _arrivals


def _steady(until: float, each_s: float) -> _arrivals.Arrivals:
    """Let a job of two core-seconds come each so many seconds."""
    arrivals = _arrivals.Arrivals()
    for number in range(round(until / each_s)):
        arrivals.note(number * each_s, "quick", "desk", 2.0, 0.1)
    return arrivals


def test_rate_is_right_before_its_whole_span_has_passed() -> None:
    inflow = _steady(3.0, 0.1).inflow(3.0, "desk")
    assert inflow.lately == pytest.approx(20.0, rel=0.1)
    assert inflow.usually == pytest.approx(20.0, rel=0.1)


def test_rate_of_a_crest_drifts_back_to_the_usual_one() -> None:
    arrivals = _steady(30.0, 0.1)
    for number in range(60):
        arrivals.note(30.0 + number / 30, "quick", "desk", 2.0, 0.1)
    inflow = arrivals.inflow(32.0, "desk")
    assert inflow.cores(0.0) > 50.0
    assert inflow.cores(0.0) > inflow.cores(2.0) > inflow.cores(8.0)
    assert inflow.cores(8.0) == pytest.approx(inflow.usually, rel=0.1)


def test_overload_that_lasts_is_the_usual_rate() -> None:
    arrivals = _steady(30.0, 0.02)
    assert arrivals.inflow(30.0, "desk").cores(5.0) > 90.0


def test_what_may_wait_longer_does_not_go_ahead() -> None:
    inflow = _arrivals.Inflow(
        (
            _arrivals.QueueFlow("quick", 10.0, 10.0, 0.1),
            _arrivals.QueueFlow("long", 20.0, 20.0, 0.6),
        )
    )
    assert inflow.overtaking_work(0.05) == 0.0
    assert inflow.overtaking_work(0.5) == pytest.approx(4.0)


def test_jobs_that_were_put_back_do_not_go_ahead() -> None:
    arrivals = _steady(30.0, 0.1)
    before = arrivals.inflow(30.0, "desk").lately
    arrivals.move(30.0, "quick", -5.0)
    assert arrivals.inflow(30.0, "desk").lately == pytest.approx(before - 10.0)


def test_other_services_are_passed_over() -> None:
    assert _steady(3.0, 0.1).inflow(3.0, "studio").lately == 0.0
