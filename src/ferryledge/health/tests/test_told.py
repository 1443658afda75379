"""What others saw of endpoints counts beside what was seen here."""

import pytest

from ferryledge import health

_ENDPOINTS = [f"endpoint-{n}" for n in range(9)]
_BAD = _ENDPOINTS[0]


@pytest.fixture
def judge() -> health.HealthTracker:
    """Return a judge of nine endpoints of which nothing is known."""
    made = health.HealthTracker()
    for name in _ENDPOINTS:
        made.join(name)
    return made


def _is_out(judge: health.HealthTracker, endpoint: str) -> bool:
    return isinstance(judge.state(endpoint), health.Ejected)


def test_endpoint_that_fails_others_gets_nothing(
    judge: health.HealthTracker,
) -> None:
    judge.told(_BAD, 0.6, 3, 1.0)
    assert _is_out(judge, _BAD)


def test_what_fails_everywhere_is_no_endpoints_fault(
    judge: health.HealthTracker,
) -> None:
    for name in _ENDPOINTS:
        judge.told(name, 0.5, 0, 1.0)
    for name in _ENDPOINTS:
        judge.told(name, 0.5, 3, 1.1)
    assert not any(_is_out(judge, name) for name in _ENDPOINTS)


def test_no_more_than_a_third_is_out(judge: health.HealthTracker) -> None:
    for name in _ENDPOINTS[:5]:
        judge.told(name, 1.0, 9, 1.0)
    out = [name for name in _ENDPOINTS if _is_out(judge, name)]
    assert 0 < len(out) <= len(_ENDPOINTS) * 0.34


def test_old_failures_do_not_speak_against_a_probe(
    judge: health.HealthTracker,
) -> None:
    judge.told(_BAD, 0.6, 3, 1.0)
    assert judge.probes_due(2.1) == [_BAD]
    judge.probe_sent(_BAD)
    judge.ended(_BAD, "quick", "a", True, 2.3)
    judge.told(_BAD, 0.6, 3, 2.4)
    assert judge.state(_BAD) == health.Healthy()
    judge.told(_BAD, 0.6, 4, 2.5)
    assert _is_out(judge, _BAD)


def test_news_of_failures_spares_the_own_probe(
    judge: health.HealthTracker,
) -> None:
    judge.told(_BAD, 0.6, 3, 1.0)
    judge.probes_due(2.1)
    judge.told(_BAD, 0.7, 4, 2.2)
    assert judge.state(_BAD) == health.Ejected(until=4.2)


def test_endpoint_that_does_well_for_others_is_used_at_once(
    judge: health.HealthTracker,
) -> None:
    judge.told(_BAD, 0.6, 3, 1.0)
    judge.told(_BAD, 0.0, 0, 1.4)
    assert judge.state(_BAD) == health.Healthy()


def test_agent_that_starts_anew_counts_from_nothing(
    judge: health.HealthTracker,
) -> None:
    judge.told(_BAD, 0.6, 30, 1.0)
    judge.told(_BAD, 0.0, 0, 1.4)
    judge.told(_BAD, 0.5, 3, 9.0)
    assert _is_out(judge, _BAD)


def test_ejections_that_are_long_over_are_forgotten(
    judge: health.HealthTracker,
) -> None:
    failures = 0
    for at in (1.0, 5.0, 60.0):
        failures += 3
        judge.told(_BAD, 0.6, failures, at)
        assert _is_out(judge, _BAD)
        last = judge.state(_BAD)
        judge.told(_BAD, 0.0, 0, at + 0.5)
    assert last == health.Ejected(until=61.0)
