"""Which of the waiting jobs are put back, and which are in vain."""

from ferryledge.leases import _arrivals
from ferryledge.leases import _forecast
from ferryledge.leases import _late_jobs

_NOW = 100.0
_IN_TIME = _forecast.Prospect.IN_TIME
_LATE = _forecast.Prospect.LATE
_TOO_LATE = _forecast.Prospect.TOO_LATE


def _review_all(
    *needs: _forecast.Demand, ahead: float = 0.0
) -> list[_forecast.Prospect]:
    room = _forecast.AvailableCapacity(10.0)
    forecaster = _forecast.Forecaster(_NOW, room, _arrivals.Inflow())
    jobs = [
        _late_jobs.Waiting(number, demand)
        for number, demand in enumerate(needs)
    ]
    told = _late_jobs.review(_NOW, forecaster, jobs, ahead)
    return [told[number].prospect for number in range(len(needs))]


def _need(
    work: float, slack_s: float, useful_s: float = 9.0
) -> _forecast.Demand:
    return _forecast.Demand(work, 0.5, _NOW + slack_s, _NOW + useful_s)


def test_all_are_in_time_where_room_is_enough() -> None:
    prospects = _review_all(_need(1.0, 0.2), _need(5.0, 0.6))
    assert prospects == [_IN_TIME, _IN_TIME]


def test_largest_is_put_back_for_those_that_would_be_late() -> None:
    """One large job that goes first would make three small ones late."""
    large, small = _need(5.0, 0.55), _need(1.0, 0.6)
    prospects = _review_all(large, small, small, small)
    assert prospects == [_LATE, _IN_TIME, _IN_TIME, _IN_TIME]


def test_one_that_could_not_wait_is_not_put_back() -> None:
    large = _need(5.0, 0.55, useful_s=1.0)
    prospects = _review_all(large, _need(1.5, 0.6))
    assert prospects == [_IN_TIME, _LATE]


def test_one_that_is_late_anyway_puts_nothing_back() -> None:
    prospects = _review_all(_need(1.0, -0.1), _need(2.0, 0.5))
    assert prospects == [_LATE, _IN_TIME]


def test_late_ones_are_in_vain_behind_those_that_are_useless_sooner() -> None:
    sooner = _need(4.0, -0.1, useful_s=1.0)
    later = _need(4.0, -0.1, useful_s=1.2)
    assert _review_all(later, sooner) == [_TOO_LATE, _LATE]


def test_work_that_has_begun_goes_first() -> None:
    assert _review_all(_need(1.0, 0.2), ahead=3.0) == [_LATE]
