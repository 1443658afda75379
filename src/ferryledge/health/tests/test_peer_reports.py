"""Failure rates that peers report eject and readmit endpoints."""

import pytest

from ferryledge import health

_ENDPOINTS = [f"endpoint-{n}" for n in range(9)]
_FAILING = _ENDPOINTS[0]


@pytest.fixture
def tracker() -> health.HealthTracker:
    """Return a tracker of nine endpoints without history."""
    tracker = health.HealthTracker()
    for name in _ENDPOINTS:
        tracker.join(name)
    return tracker


def _is_ejected(tracker: health.HealthTracker, endpoint: str) -> bool:
    return isinstance(tracker.state(endpoint), health.Ejected)


def test_endpoint_that_fails_for_peers_is_ejected(
    tracker: health.HealthTracker,
) -> None:
    tracker.record_report(_FAILING, 0.6, 3, 1.0)
    assert _is_ejected(tracker, _FAILING)


def test_failures_everywhere_eject_no_endpoint(
    tracker: health.HealthTracker,
) -> None:
    for name in _ENDPOINTS:
        tracker.record_report(name, 0.5, 0, 1.0)
    for name in _ENDPOINTS:
        tracker.record_report(name, 0.5, 3, 1.1)
    assert not any(_is_ejected(tracker, name) for name in _ENDPOINTS)


def test_ejected_share_is_limited(tracker: health.HealthTracker) -> None:
    for name in _ENDPOINTS[:5]:
        tracker.record_report(name, 1.0, 9, 1.0)
    ejected = [name for name in _ENDPOINTS if _is_ejected(tracker, name)]
    assert 0 < len(ejected) <= len(_ENDPOINTS) * 0.34


def test_failures_before_a_readmission_are_ignored(
    tracker: health.HealthTracker,
) -> None:
    tracker.record_report(_FAILING, 0.6, 3, 1.0)
    assert tracker.probes_due(2.1) == [_FAILING]
    tracker.probe_sent(_FAILING)
    tracker.ended(_FAILING, "quick", "a", True, 2.3)
    tracker.record_report(_FAILING, 0.6, 3, 2.4)
    assert tracker.state(_FAILING) == health.Healthy()
    tracker.record_report(_FAILING, 0.6, 4, 2.5)
    assert _is_ejected(tracker, _FAILING)


def test_new_failures_eject_an_endpoint_before_its_probe(
    tracker: health.HealthTracker,
) -> None:
    tracker.record_report(_FAILING, 0.6, 3, 1.0)
    tracker.probes_due(2.1)
    tracker.record_report(_FAILING, 0.7, 4, 2.2)
    assert tracker.state(_FAILING) == health.Ejected(until=4.2)


def test_endpoint_that_works_for_peers_is_readmitted(
    tracker: health.HealthTracker,
) -> None:
    tracker.record_report(_FAILING, 0.6, 3, 1.0)
    tracker.record_report(_FAILING, 0.0, 0, 1.4)
    assert tracker.state(_FAILING) == health.Healthy()


def test_restarted_failure_count_is_accepted(
    tracker: health.HealthTracker,
) -> None:
    tracker.record_report(_FAILING, 0.6, 30, 1.0)
    tracker.record_report(_FAILING, 0.0, 0, 1.4)
    tracker.record_report(_FAILING, 0.5, 3, 9.0)
    assert _is_ejected(tracker, _FAILING)


def test_ejection_length_is_reset_after_a_while(
    tracker: health.HealthTracker,
) -> None:
    failures = 0
    for at in (1.0, 5.0, 60.0):
        failures += 3
        tracker.record_report(_FAILING, 0.6, failures, at)
        assert _is_ejected(tracker, _FAILING)
        state = tracker.state(_FAILING)
        tracker.record_report(_FAILING, 0.0, 0, at + 0.5)
    assert state == health.Ejected(until=61.0)
