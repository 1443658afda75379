"""An entry behind a narrow link serves as much as the link carries.

Guards against a full link that delays grants and orders, which then expire
and are repeated over the same link.
"""

import random

import pytest

from ferryledge.leases.tests import loads
from ferryledge import loads as worlds
from ferryledge import outcomes

_LINK_BYTES_PER_S = 250_000.0
_LOAD = loads.Load(
    share=0.75, tasks=2, spec_bytes=3_000, seconds=6.0, deadline_s=1.565
)


def _play(seed: int) -> loads.Played:
    world = worlds.World(seed, 1, 15, link_bytes_per_s=_LINK_BYTES_PER_S)
    rng = random.Random(seed)
    return loads.play(world, _LOAD, rng, loads.OBJECTIVE_S)


@pytest.mark.parametrize("seed", range(3))
def test_most_jobs_end_on_time_up_to_link_rate(seed: int) -> None:
    played = _play(seed)
    assert not played.world.violations
    assert not played.count(outcomes.FailedMayHaveRun)
    for second in range(6):
        assert played.in_time(float(second), 1.0) > 0.6


@pytest.mark.parametrize("seed", range(3))
def test_no_run_is_repeated(seed: int) -> None:
    played = _play(seed)
    starts = sum(played.world.started.values())
    complete = played.count(outcomes.Complete)
    assert starts == complete * _LOAD.tasks


@pytest.mark.parametrize("seed", range(3))
def test_refusals_are_prompt(seed: int) -> None:
    played = _play(seed)
    waits = played.waits(outcomes.Refused)
    assert all(wait_s < 0.4 for wait_s in waits)
