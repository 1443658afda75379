"""An entry that stood still reads requests whose clients have left.

The end of a connection is read after the request, and the client repeats the
job at another entry meanwhile.
"""

import functools

import pytest

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds

_JOB = "a" * 16
_TASKS = 8
_WORK_S = 3.0
#: Seconds from a request to the end of its connection, when both are read
#: from the backlog.
_END_READ_S = 0.005


def _submit(world: worlds.World, entry: str) -> int:
    return world.submit(entry, _JOB, _TASKS, _WORK_S, deadline_s=12.0)


@pytest.mark.parametrize("handovers", [False, True])
@pytest.mark.parametrize("paused_s", [1.6, 3.0])
def test_request_read_after_a_pause_starts_nothing_beside_its_repetition(
    paused_s: float, handovers: bool
) -> None:
    """Guards against a start for a client that has left and come again."""
    world = worlds.World(seed=3, entries=2, agents=3, peers=handovers)
    world.run(3.0)
    world.pause("entry-0", paused_s)
    world.at(faults.REPEAT_S, functools.partial(_submit, world, "entry-1"))
    world.run(paused_s - 1e-6)
    assert world.started[_JOB] == _TASKS
    token = _submit(world, "entry-0")
    world.run(_END_READ_S)
    world.post("entry-0", leases.ClientLeft(token, _JOB))
    world.run(3.0)
    assert not world.violations
    assert world.started[_JOB] == _TASKS


def test_job_starts_soon_after_a_pause_of_its_entry() -> None:
    world = worlds.World(seed=3, entries=1, agents=3)
    world.run(3.0)
    world.pause("entry-0", 2.0)
    world.run(2.0)
    _submit(world, "entry-0")
    world.run(0.5)
    assert world.started[_JOB] == _TASKS


def test_request_that_a_cut_held_up_starts_nothing_beside_its_repetition() -> (
    None
):
    """The request comes late, and the end of its connection just after it."""
    world = worlds.World(seed=3, entries=2, agents=3)
    world.run(3.0)
    _submit(world, "entry-1")
    world.run(0.5)
    token = _submit(world, "entry-0")
    world.run(_END_READ_S)
    world.post("entry-0", leases.ClientLeft(token, _JOB))
    world.run(1.0)
    assert not world.violations


def test_entry_does_not_spin_while_placement_waits_after_a_pause() -> None:
    """An order that waited for the link is overdue when the entry wakes."""
    world = worlds.World(seed=3, entries=1, agents=3)
    world.run(3.0)
    entry = world.nodes["entry-0"].core
    entry._scheduler._place_at = world.now + 0.5
    world.pause("entry-0", 2.0)
    world.run(2.0)
    assert entry.wake_at() > world.now
