"""An entry that is cut off from all agents refuses jobs promptly.

Guards against jobs that wait for silent agents while other entries could run
them.
"""

import pytest

from ferryledge import loads as worlds
from ferryledge import outcomes

#: Seconds until an entry notices a cut: agents are due to send every 0.3 s,
#: and two messages may be lost.
_DETECTION_S = 0.75


@pytest.fixture
def world() -> worlds.World:
    world = worlds.World(seed=2)
    world.run(2.0)
    return world


def _cut_off(world: worlds.World, entry: str, for_s: float) -> None:
    for agent in world.agents:
        world.cut(entry, agent, for_s)


def test_jobs_are_refused_promptly(world: worlds.World) -> None:
    _cut_off(world, "entry-0", 2.5)
    world.run(_DETECTION_S)
    for number in range(15):
        token = world.submit("entry-0", f"{number:016x}", work_s=0.1)
        arrived_at = world.now
        world.run(0.1)
        assert isinstance(world.outcome(token), outcomes.Refused)
        assert world.answered_at[token] - arrived_at < 0.1
    assert not world.violations


def test_jobs_are_accepted_after_the_cut(world: worlds.World) -> None:
    _cut_off(world, "entry-0", 2.5)
    world.run(3.5)
    token = world.submit("entry-0", "a" * 16, work_s=0.1)
    world.run(0.3)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_jobs_wait_for_restarting_agents(world: worlds.World) -> None:
    for agent in world.agents:
        world.kill(agent, 0.6)
    world.run(0.3)
    token = world.submit("entry-0", "a" * 16, work_s=0.1)
    world.run(1.0)
    assert isinstance(world.outcome(token), outcomes.Complete)
