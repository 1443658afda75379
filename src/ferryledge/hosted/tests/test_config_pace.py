"""A storm of configurations on a narrow link.

Configurations of 200 kB were replaced three times a second, on entries with
links of 250 kB a second. Each entry read each of them, one after the other:
the link was full for as long as that lasted and for longer, runs were stopped
for want of a grant, and versions were not in force in time.
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
    """Return how late each version was in force, and the link's use."""
    written = [_EVERY_S * n for n in range(int(_STORM_S / _EVERY_S))]
    late: list[float] = []
    at = 0.0
    read = 0
    for _ in itertools.count():
        newest = max((n for n, w in enumerate(written) if w <= at))
        read += size
        done = at + pace.read_s(size)
        late += [done - written[n] for n in range(len(late), newest + 1)]
        if len(late) == len(written):
            break
        at = max(done, at + pace.next_after_s(size))
    return late, read / (done * _LINK)


@pytest.mark.parametrize("bound_s", [2.0, 3.0])
@pytest.mark.parametrize("size", [8_000, 50_000, _SIZE, 262_144])
def test_each_version_is_in_force_in_time(bound_s: float, size: int) -> None:
    pace = _config_pace.ConfigPace(bound_s, _LINK)
    late, _ = _storm(pace, size)
    # One that is written just after a read began waits for two of them.
    fastest_s = 2.0 * size / _LINK
    assert max(late) <= max(0.9 * bound_s, fastest_s)


def test_link_is_left_to_work() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    _, used = _storm(pace, _SIZE)
    assert used < 0.75
    # Reading each version would take far more than there is.
    assert _SIZE / _EVERY_S > 2.0 * _LINK


def test_one_read_never_takes_the_whole_link() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    assert pace.rate(_SIZE) < 0.75 * _LINK


def test_small_configuration_is_not_held_up() -> None:
    pace = _config_pace.ConfigPace(3.0, _LINK)
    assert pace.read_s(8_000) < 0.1
    assert pace.next_after_s(8_000) < 0.2


def test_unknown_link_is_not_spared() -> None:
    pace = _config_pace.ConfigPace(3.0, math.inf)
    assert math.isinf(pace.rate(_SIZE))
    assert pace.next_after_s(_SIZE) == 0.0
    assert _config_pace.window_bytes(math.inf) == 0


def test_window_fills_the_link_for_a_moment_only() -> None:
    for link in (_LINK, 10.0 * _LINK, 100.0 * _LINK):
        assert _config_pace.window_bytes(link) / link <= 0.05
