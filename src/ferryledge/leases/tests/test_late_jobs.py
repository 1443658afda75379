"""Which waiting jobs are deferred, and which would be too late."""

from ferryledge.leases import _arrivals
from ferryledge.leases import _forecast
from ferryledge.leases import _late_jobs

_NOW = 100.0
_IN_TIME = _forecast.Prospect.IN_TIME
_LATE = _forecast.Prospect.LATE
_TOO_LATE = _forecast.Prospect.TOO_LATE


def _prospects(
    *demands: _forecast.Demand, ahead: float = 0.0
) -> list[_forecast.Prospect]:
    capacity = _forecast.AvailableCapacity(10.0)
    forecaster = _forecast.Forecaster(_NOW, capacity, _arrivals.Inflow())
    jobs = [
        _late_jobs.WaitingJob(number, demand)
        for number, demand in enumerate(demands)
    ]
    forecasts = _late_jobs.forecast_jobs(_NOW, forecaster, jobs, ahead)
    return [forecasts[number].prospect for number in range(len(demands))]


def _demand(
    work: float, slack_s: float, useful_s: float = 9.0
) -> _forecast.Demand:
    return _forecast.Demand(work, 0.5, _NOW + slack_s, _NOW + useful_s)


def test_jobs_are_on_time_with_enough_capacity() -> None:
    prospects = _prospects(_demand(1.0, 0.2), _demand(5.0, 0.6))
    assert prospects == [_IN_TIME, _IN_TIME]


def test_largest_job_is_deferred_for_jobs_that_would_be_late() -> None:
    """A large job at the front would make three small ones late."""
    large, small = _demand(5.0, 0.55), _demand(1.0, 0.6)
    prospects = _prospects(large, small, small, small)
    assert prospects == [_LATE, _IN_TIME, _IN_TIME, _IN_TIME]


def test_job_whose_late_answer_is_useless_is_not_deferred() -> None:
    large = _demand(5.0, 0.55, useful_s=1.0)
    prospects = _prospects(large, _demand(1.5, 0.6))
    assert prospects == [_IN_TIME, _LATE]


def test_job_that_is_late_anyway_defers_no_other() -> None:
    prospects = _prospects(_demand(1.0, -0.1), _demand(2.0, 0.5))
    assert prospects == [_LATE, _IN_TIME]


def test_late_jobs_are_ordered_by_their_last_useful_start() -> None:
    sooner = _demand(4.0, -0.1, useful_s=1.0)
    later = _demand(4.0, -0.1, useful_s=1.2)
    assert _prospects(later, sooner) == [_TOO_LATE, _LATE]


def test_dispatched_jobs_are_placed_first() -> None:
    assert _prospects(_demand(1.0, 0.2), ahead=3.0) == [_LATE]
