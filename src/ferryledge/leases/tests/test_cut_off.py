"""An entry that is cut off from all agents.

While five of twelve entries were cut off for 2.5 s, 157 of 506 jobs were
refused, the first after 1.38 s: an entry kept jobs waiting for 2 s in the hope
that agents which had gone silent would come back. Its clients could have been
served by other entries meanwhile.
"""

import pytest

from ferryledge import loads as worlds
from ferryledge import outcomes

#: Seconds from the cut in which an entry can't know of it: agents are asked
#: to show themselves each 0.3 s, and two signs may be missed.
_UNNOTICED_S = 0.75


@pytest.fixture
def world() -> worlds.World:
    made = worlds.World(seed=2)
    made.run(2.0)
    return made


def _cut_off(world: worlds.World, entry: str, for_s: float) -> None:
    for agent in world.agents:
        world.cut(entry, agent, for_s)


def test_jobs_are_refused_promptly(world: worlds.World) -> None:
    _cut_off(world, "entry-0", 2.5)
    world.run(_UNNOTICED_S)
    for number in range(15):
        token = world.submit("entry-0", f"{number:016x}", work_s=0.1)
        arrived_at = world.now
        world.run(0.1)
        assert isinstance(world.outcome(token), outcomes.Refused)
        assert world.answered_at[token] - arrived_at < 0.1
    assert not world.violations


def test_jobs_are_taken_again_after_the_cut(world: worlds.World) -> None:
    _cut_off(world, "entry-0", 2.5)
    world.run(3.5)
    token = world.submit("entry-0", "a" * 16, work_s=0.1)
    world.run(0.3)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_jobs_wait_for_agents_that_were_killed(world: worlds.World) -> None:
    for agent in world.agents:
        world.kill(agent, 0.6)
    world.run(0.3)
    token = world.submit("entry-0", "a" * 16, work_s=0.1)
    world.run(1.0)
    assert isinstance(world.outcome(token), outcomes.Complete)
