"""Failure rates that peers report eject and readmit endpoints."""

import pytest

from ferryledge import health

_ENDPOINTS = [f"endpoint-{n}" for n in range(9)]
_FAILING = _ENDPOINTS[0]


@pytest.fixture
def judge() -> health.HealthTracker:
    """Return a tracker of nine endpoints without history."""
    tracker = health.HealthTracker()
    for name in _ENDPOINTS:
        tracker.join(name)
    return tracker


def _is_ejected(judge: health.HealthTracker, endpoint: str) -> bool:
    return isinstance(judge.state(endpoint), health.Ejected)


def test_endpoint_that_fails_for_peers_is_ejected(
    judge: health.HealthTracker,
) -> None:
    judge.told(_FAILING, 0.6, 3, 1.0)
    assert _is_ejected(judge, _FAILING)


def test_failures_everywhere_eject_no_endpoint(
    judge: health.HealthTracker,
) -> None:
    for name in _ENDPOINTS:
        judge.told(name, 0.5, 0, 1.0)
    for name in _ENDPOINTS:
        judge.told(name, 0.5, 3, 1.1)
    assert not any(_is_ejected(judge, name) for name in _ENDPOINTS)


def test_ejected_share_is_limited(judge: health.HealthTracker) -> None:
    for name in _ENDPOINTS[:5]:
        judge.told(name, 1.0, 9, 1.0)
    ejected = [name for name in _ENDPOINTS if _is_ejected(judge, name)]
    assert 0 < len(ejected) <= len(_ENDPOINTS) * 0.34


def test_failures_before_a_readmission_are_ignored(
    judge: health.HealthTracker,
) -> None:
    judge.told(_FAILING, 0.6, 3, 1.0)
    assert judge.probes_due(2.1) == [_FAILING]
    judge.probe_sent(_FAILING)
    judge.ended(_FAILING, "quick", "a", True, 2.3)
    judge.told(_FAILING, 0.6, 3, 2.4)
    assert judge.state(_FAILING) == health.Healthy()
    judge.told(_FAILING, 0.6, 4, 2.5)
    assert _is_ejected(judge, _FAILING)


def test_new_failures_eject_an_endpoint_before_its_probe(
    judge: health.HealthTracker,
) -> None:
    judge.told(_FAILING, 0.6, 3, 1.0)
    judge.probes_due(2.1)
    judge.told(_FAILING, 0.7, 4, 2.2)
    assert judge.state(_FAILING) == health.Ejected(until=4.2)


def test_endpoint_that_works_for_peers_is_readmitted(
    judge: health.HealthTracker,
) -> None:
    judge.told(_FAILING, 0.6, 3, 1.0)
    judge.told(_FAILING, 0.0, 0, 1.4)
    assert judge.state(_FAILING) == health.Healthy()


def test_restarted_failure_count_is_accepted(
    judge: health.HealthTracker,
) -> None:
    judge.told(_FAILING, 0.6, 30, 1.0)
    judge.told(_FAILING, 0.0, 0, 1.4)
    judge.told(_FAILING, 0.5, 3, 9.0)
    assert _is_ejected(judge, _FAILING)


def test_ejection_length_is_reset_after_a_while(
    judge: health.HealthTracker,
) -> None:
    failures = 0
    for at in (1.0, 5.0, 60.0):
        failures += 3
        judge.told(_FAILING, 0.6, failures, at)
        assert _is_ejected(judge, _FAILING)
        state = judge.state(_FAILING)
        judge.told(_FAILING, 0.0, 0, at + 0.5)
    assert state == health.Ejected(until=61.0)
