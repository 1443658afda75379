"""All streams break again and again while jobs run."""

import functools
import random

import pytest

from ferryledge.proofs import _promises
from ferryledge.proofs import _workload


def cut_everything(world, rng):
    """Break every stream, for a while of its own each."""
    names = list(world.nodes)
    for number, first in enumerate(names):
        for second in names[number + 1 :]:
            if frozenset((first, second)) in world.pairs:
                world.cut(first, second, rng.uniform(0.0, 0.4))


@pytest.mark.parametrize("seed", range(60))
def test_promises_hold_when_all_streams_break_again_and_again(seed):
    rng = random.Random(seed)
    world = _workload.new_world(seed)
    workload = _workload.Workload(world, seed)
    for _ in range(6):
        call = functools.partial(cut_everything, world, rng)
        world.clock.after(rng.uniform(0.2, 3.0), call)
    workload.run()
    assert _promises.check(world, workload) == []
