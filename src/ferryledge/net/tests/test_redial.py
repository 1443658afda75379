"""A peer that comes back is dialled at once, and one that stays away seldom.

After a loss of all power agents were ready at 38.20 s at the latest and
entries at 38.46, yet streams between them opened from 38.63 to 39.47: each
refused dial doubled the wait for the next one, up to 0.8 s. Of 139 jobs that
came in these two seconds 12 were answered in time.

In another one agents dialled entries whose machines got their power up to
0.3 s later. A dial begun before that was waited for 0.25 s in vain: an entry
that listened at 37.52 s had streams from four of 20 agents only at 37.85 to
37.90.
"""

import pytest

from ferryledge.net import _connecting
from ferryledge.net import _redial

_Result = _redial.DialResult
#: A stream is to be open that soon after the peer listens.
_AIM_S = 0.1
#: The same where its process starts as soon as its machine has power.
_PROMPT_AIM_S = 0.16


def _result_at(now: float, powered_at: float, ready_at: float) -> _Result:
    if now < powered_at:
        return _Result.UNREACHABLE
    return _Result.REFUSED if now < ready_at else _Result.CLOSED


def _dial(
    now: float, tries: int, powered_at: float, ready_at: float
) -> tuple[_Result, float, int]:
    """Return how a dial ends, when, and by which try."""
    for number in range(tries):
        at = now + number * _connecting.ATTEMPT_INTERVAL_S
        result = _result_at(at, powered_at, ready_at)
        if result is not _Result.UNREACHABLE:
            return result, at, number + 1
    return _Result.UNREACHABLE, now + _connecting.CONNECT_TIMEOUT_S, tries


def _reached_at(dark_s: float, start_s: float) -> tuple[float, int]:
    """Return when a peer is reached at the latest, and by which try.

    :param dark_s: seconds until its machine has power
    :param start_s: seconds until its process listens then
    """
    backoff = _redial.RedialBackoff()
    now = 0.0
    tries = 0
    while True:
        result, now, more = _dial(
            now, backoff.max_attempts, dark_s, dark_s + start_s
        )
        tries += more
        if result is _Result.CLOSED:
            return now, tries
        now += 2.0 * backoff.delay_s(result)


@pytest.mark.parametrize("dark_s", [0.0, 0.1, 0.5, 1.5, 3.0])
@pytest.mark.parametrize("start_s", [0.36, 0.5, 1.0, 2.0])
def test_peer_that_comes_back_is_reached_at_once(
    dark_s: float, start_s: float
) -> None:
    reached_at, _ = _reached_at(dark_s, start_s)
    assert reached_at - dark_s - start_s <= _AIM_S


@pytest.mark.parametrize("dark_s", [n * 0.02 for n in range(40)])
@pytest.mark.parametrize("start_s", [0.0, 0.02, 0.1])
def test_peer_that_starts_with_its_machine_is_reached_soon(
    dark_s: float, start_s: float
) -> None:
    reached_at, _ = _reached_at(dark_s, start_s)
    assert reached_at - dark_s - start_s <= _PROMPT_AIM_S


def test_peer_that_refuses_for_good_is_dialled_seldom() -> None:
    backoff = _redial.RedialBackoff()
    waits = [backoff.delay_s(_Result.REFUSED) for _ in range(200)]
    assert waits[-1] == _redial._MAX_BACKOFF_S
    assert sum(waits[:150]) > 10.0


def test_dark_machine_is_dialled_a_few_times_a_second() -> None:
    _, tries = _reached_at(30.0, 0.5)
    assert tries < 30.0 * 4


def test_peer_that_proves_no_key_is_dialled_ever_more_seldom() -> None:
    backoff = _redial.RedialBackoff()
    waits = [backoff.delay_s(_Result.HANDSHAKE_FAILED) for _ in range(6)]
    assert waits == sorted(waits)
    assert waits[-1] == _redial._MAX_BACKOFF_S
    backoff.delay_s(_Result.CLOSED)
    assert backoff.delay_s(_Result.HANDSHAKE_FAILED) == waits[0]
