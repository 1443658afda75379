"""An endpoint's speed is told apart from guesses that are far off."""

from ferryledge.leases import _speed


def _paces(job: str, count: int, speed: float) -> list[_speed.RunProgress]:
    paces = []
    for _ in range(count):
        progress = _speed.RunProgress(job, 1.0, 0.0)
        progress.start(0.0)
        progress.sample(0.1, 0.1 * speed)
        progress.sample(0.2, 0.2 * speed)
        progress.sample(0.3, 0.3 * speed)
        paces.append(progress)
    return paces


def _many(speed: float) -> list[_speed.RunProgress]:
    return [
        progress for n in range(6) for progress in _paces(str(n), 2, speed)
    ]


def test_one_job_with_a_wrong_guess_makes_no_endpoint_slow() -> None:
    speed = _speed.EndpointSpeed()
    speed.update(0.3, _paces("large", 6, 0.3))
    assert speed.reported_slowness == 1.0


def test_many_slow_jobs_make_an_endpoint_slow() -> None:
    speed = _speed.EndpointSpeed()
    speed.update(0.3, _many(0.2))
    assert speed.reported_slowness >= _speed.SLOW_THRESHOLD


def test_one_job_that_stands_still_makes_an_endpoint_slow() -> None:
    speed = _speed.EndpointSpeed()
    speed.update(0.3, _paces("still", 1, 0.0))
    assert speed.reported_slowness >= _speed.SLOW_THRESHOLD


def test_slow_endpoint_stays_slow_until_a_run_shows_otherwise() -> None:
    speed = _speed.EndpointSpeed()
    speed.update(0.3, _many(0.1))
    speed.update(0.4, [])
    assert speed.reported_slowness >= _speed.SLOW_THRESHOLD
    speed.update(0.5, _paces("trial", 1, 0.1))
    assert speed.reported_slowness >= _speed.SLOW_THRESHOLD
    speed.update(0.6, _paces("trial", 1, 1.0))
    speed.update(0.7, _paces("more", 1, 1.0))
    assert speed.reported_slowness == 1.0
