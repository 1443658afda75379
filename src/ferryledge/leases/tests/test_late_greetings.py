"""The greeting of a stream that was given up arrives after a newer one's.

Guards against entries that take the list of runs on the older stream for the
newest one. They would order runs again that were ordered over the newer
stream.
"""

import pytest

from ferryledge import loads as worlds
from ferryledge import outcomes

_SETTLE_S = 2.0
_STEP_S = 0.01
#: Seconds within which an agent that has runs opens two new streams.
_REOPENED_WITHIN_S = 1.0
_FIRST_JOB = "a" * 16
_SECOND_JOB = "b" * 16


@pytest.mark.parametrize("late_s", [0.6, 0.8, 1.0])
def test_run_of_the_newer_stream_is_not_ordered_twice(late_s: float) -> None:
    world = worlds.World(seed=0, entries=1, agents=2)
    world.run(_SETTLE_S)
    # An agent that has runs soon notices that its stream is silent.
    world.submit("entry-0", _FIRST_JOB, count=4, work_s=1.5)
    world.run(0.2)
    world.late_greetings["agent-0", "entry-0"] = late_s
    world.silence_stream("agent-0", "entry-0")
    silent_at = world.now
    while world.reopened < 2:
        assert world.now < silent_at + _REOPENED_WITHIN_S
        world.run(_STEP_S)
    world.run(0.1)
    token = world.submit("entry-0", _SECOND_JOB, count=4, work_s=0.8)
    world.run(_SETTLE_S)
    assert not world.violations
    assert world.started[_SECOND_JOB] == 4
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_late_greeting_reaches_no_successor_of_a_killed_entry() -> None:
    """Guards against a world that delivers what only the dead could read."""
    world = worlds.World(seed=0, entries=1, agents=2)
    world.run(_SETTLE_S)
    world.submit("entry-0", _FIRST_JOB, count=4, work_s=1.5)
    world.run(0.2)
    world.late_greetings["agent-0", "entry-0"] = 1.0
    world.silence_stream("agent-0", "entry-0")
    while not world.reopened:
        world.run(_STEP_S)
    world.run(0.1)
    world.kill("agent-0", 0.2)
    world.kill("entry-0", 0.2)
    world.run(0.8)
    world.submit("entry-0", _SECOND_JOB, count=12, work_s=0.8)
    world.run(_SETTLE_S)
    assert not world.violations
    assert world.started[_SECOND_JOB] == 12
