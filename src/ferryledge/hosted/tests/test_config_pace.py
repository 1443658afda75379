"""Tests the pace of reads while configurations change fast.

Guards against a narrow link saturated by configuration reads, which lets
grants expire and puts versions in force too late.
"""

import itertools
import math

import pytest

from ferryledge.hosted import _config_pace

_LINK = 250_000.0
_SIZE = 200_000
_EVERY_S = 0.33
_STORM_S = 8.0


def _storm(
    pace: _config_pace.ConfigPace, size: int
) -> tuple[list[float], float]:
    """Return the delay of each version and the share of the link in use."""
    written = [_EVERY_S * n for n in range(int(_STORM_S / _EVERY_S))]
    delays: list[float] = []
    at = 0.0
    read = 0
    for _ in itertools.count():
        newest = max((n for n, w in enumerate(written) if w <= at))
        read += size
        done = at + pace.read_s(size)
        delays += [done - written[n] for n in range(len(delays), newest + 1)]
        if len(delays) == len(written):
            break
        at = max(done, at + pace.read_interval_s(size))
    return delays, read / (done * _LINK)


@pytest.mark.parametrize("bound_s", [2.0, 3.0])
@pytest.mark.parametrize("size", [8_000, 50_000, _SIZE, 262_144])
def test_each_version_is_in_force_in_time(bound_s: float, size: int) -> None:
    pace = _config_pace.ConfigPace(bound_s, _LINK)
    delays, _ = _storm(pace, size)
    # A version that is written just after a read began takes two reads.
    fastest_s = 2.0 * size / _LINK
    assert max(delays) <= max(0.9 * bound_s, fastest_s)


def test_reads_leave_bandwidth_for_other_traffic() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    _, used = _storm(pace, _SIZE)
    assert used < 0.75
    # The link could not carry each version.
    assert _SIZE / _EVERY_S > 2.0 * _LINK


def test_one_read_never_takes_the_whole_link() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    assert pace.rate(_SIZE) < 0.75 * _LINK


def test_small_configuration_is_not_delayed() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    assert pace.read_s(8_000) < 0.1
    assert pace.read_interval_s(8_000) < 0.2


def test_reads_on_unknown_link_are_not_limited() -> None:
    pace = _config_pace.ConfigPace(3.0, math.inf)
    assert math.isinf(pace.rate(_SIZE))
    assert pace.read_interval_s(_SIZE) == 0.0
    assert _config_pace.window_bytes(math.inf) == 0


def test_window_is_small_for_the_bandwidth() -> None:
    for link in (_LINK, 10.0 * _LINK, 100.0 * _LINK):
        assert _config_pace.window_bytes(link) / link <= 0.05
