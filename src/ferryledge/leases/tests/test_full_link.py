"""An entry behind a narrow link serves what the link carries.

Three entries stood behind links of 2 Mbit/s. Two of them were stopped in
turn during a burst, and the third had to order for all. Its orders, each
with the whole spec of its job, took more than the link: grants and orders
waited, and agents turned down what came as too old. The entry took that for
silent agents and repeated the orders over the same link:

    11.789  run ended without a result  run 6  how stopped  run_s 0.236
    18.713  answered: failed, may have run  runs 53  reason deadline
    21.643  not started  run 1  reason no_answer

There were 1,147 lines with that last reason. Of 343 jobs of four seconds 21
were in time although the endpoints had room, and service came back five
seconds after the burst.
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
def test_most_of_what_the_link_carries_is_served_in_time(seed: int) -> None:
    played = _play(seed)
    assert not played.world.violations
    assert not played.count(outcomes.FailedMayHaveRun)
    for second in range(6):
        assert played.in_time(float(second), 1.0) > 0.6


@pytest.mark.parametrize("seed", range(3))
def test_no_run_is_stopped_for_want_of_a_grant(seed: int) -> None:
    played = _play(seed)
    starts = sum(played.world.started.values())
    complete = played.count(outcomes.Complete)
    assert starts == complete * _LOAD.tasks


@pytest.mark.parametrize("seed", range(3))
def test_refusals_are_prompt(seed: int) -> None:
    played = _play(seed)
    waits = played.waits(outcomes.Refused)
    assert all(wait_s < 0.4 for wait_s in waits)
