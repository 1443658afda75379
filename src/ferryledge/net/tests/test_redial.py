"""Delays between dials.

Guards against streams that open late after a power failure, because refused
dials back off or an attempt made before power-on blocks the next one.
"""

import pytest

from ferryledge.net import _connecting
from ferryledge.net import _redial

_DialResult = _redial.DialResult
#: Maximum delay in seconds until a peer that listens is reached.
_MAX_DELAY_S = 0.1
#: The same for a process that starts within 0.1 s of its machine.
_MAX_FAST_START_DELAY_S = 0.16


def _result_at(now: float, power_on_at: float, ready_at: float) -> _DialResult:
    if now < power_on_at:
        return _DialResult.UNREACHABLE
    return _DialResult.REFUSED if now < ready_at else _DialResult.CLOSED


def _dial(
    now: float, attempts: int, power_on_at: float, ready_at: float
) -> tuple[_DialResult, float, int]:
    """Return the result of a dial, its end and the number of attempts."""
    for number in range(attempts):
        at = now + number * _connecting.ATTEMPT_INTERVAL_S
        result = _result_at(at, power_on_at, ready_at)
        if result is not _DialResult.UNREACHABLE:
            return result, at, number + 1
    return (
        _DialResult.UNREACHABLE,
        now + _connecting.CONNECT_TIMEOUT_S,
        attempts,
    )


def _reached_at(power_on_s: float, start_s: float) -> tuple[float, int]:
    """Return the latest time a peer is reached, and the number of attempts.

    :param power_on_s: seconds until its machine is powered on
    :param start_s: seconds from then until its process listens
    """
    backoff = _redial.RedialBackoff()
    now = 0.0
    attempts = 0
    while True:
        result, now, dial_attempts = _dial(
            now, backoff.max_attempts, power_on_s, power_on_s + start_s
        )
        attempts += dial_attempts
        if result is _DialResult.CLOSED:
            return now, attempts
        now += 2.0 * backoff.delay_s(result)


@pytest.mark.parametrize("power_on_s", [0.0, 0.1, 0.5, 1.5, 3.0])
@pytest.mark.parametrize("start_s", [0.36, 0.5, 1.0, 2.0])
def test_restarted_peer_is_reached_promptly(
    power_on_s: float, start_s: float
) -> None:
    reached_at, _ = _reached_at(power_on_s, start_s)
    assert reached_at - power_on_s - start_s <= _MAX_DELAY_S


@pytest.mark.parametrize("power_on_s", [n * 0.02 for n in range(40)])
@pytest.mark.parametrize("start_s", [0.0, 0.02, 0.1])
def test_fast_starting_peer_is_reached_promptly(
    power_on_s: float, start_s: float
) -> None:
    reached_at, _ = _reached_at(power_on_s, start_s)
    assert reached_at - power_on_s - start_s <= _MAX_FAST_START_DELAY_S


def test_persistent_refusals_back_off() -> None:
    backoff = _redial.RedialBackoff()
    waits = [backoff.delay_s(_DialResult.REFUSED) for _ in range(200)]
    assert waits[-1] == _redial._MAX_BACKOFF_S
    assert sum(waits[:150]) > 10.0


def test_attempts_to_an_unreachable_machine_are_limited() -> None:
    _, attempts = _reached_at(30.0, 0.5)
    assert attempts < 30.0 * 4


def test_failed_handshakes_back_off() -> None:
    backoff = _redial.RedialBackoff()
    waits = [backoff.delay_s(_DialResult.HANDSHAKE_FAILED) for _ in range(6)]
    assert waits == sorted(waits)
    assert waits[-1] == _redial._MAX_BACKOFF_S
    backoff.delay_s(_DialResult.CLOSED)
    assert backoff.delay_s(_DialResult.HANDSHAKE_FAILED) == waits[0]
