"""Jobs are served when all open streams go silent at once.

Guards against ends of runs that are lost in a silent stream: their tasks would
run again, and their jobs would miss their deadlines.
"""

import random

import pytest

from ferryledge.leases.tests import loads
from ferryledge import loads as worlds
from ferryledge import outcomes

_SETTLE_S = 3.0
_SILENT_AT_S = 2.0
#: Seconds of submissions over which the share of jobs in time is measured.
_BUCKET_S = 0.5


def _play(entries: int, agents: int, share: float, seed: int) -> loads.Played:
    """Submit load, and let all streams go silent after a while."""
    world = worlds.World(seed, entries, agents)
    world.at(_SETTLE_S + _SILENT_AT_S, world.silence_all_streams)
    return loads.play(world, loads.Load(share), random.Random(seed))


@pytest.mark.parametrize("seed", range(3))
def test_no_job_fails_or_is_refused(seed: int) -> None:
    played = _play(entries=3, agents=15, share=0.6, seed=seed)
    assert not played.world.violations
    assert not played.count(outcomes.FailedMayHaveRun)
    assert not played.count(outcomes.Refused)


@pytest.mark.parametrize("seed", range(3))
def test_most_jobs_are_in_time_and_nearly_all_soon_after(seed: int) -> None:
    played = _play(entries=3, agents=15, share=0.6, seed=seed)
    assert played.in_time(_SILENT_AT_S - _BUCKET_S) > 0.7
    assert played.in_time(_SILENT_AT_S) > 0.7
    assert played.in_time(_SILENT_AT_S + _BUCKET_S) > 0.95


def test_nearly_full_pool_of_many_entries_recovers_soon() -> None:
    played = _play(entries=8, agents=32, share=0.85, seed=7)
    assert not played.world.violations
    assert not played.count(outcomes.FailedMayHaveRun)
    assert played.in_time(_SILENT_AT_S - _BUCKET_S) > 0.5
    assert played.in_time(_SILENT_AT_S) > 0.5
    assert played.in_time(_SILENT_AT_S + 2 * _BUCKET_S) > 0.9


@pytest.mark.parametrize("early_s", [0.0005, 0.01, 0.05, 0.15, 0.19])
def test_finished_task_is_not_run_again(early_s: float) -> None:
    """The end of the run is reported into a stream that just went silent."""
    world = worlds.World(3, entries=1, agents=1)
    world.run(_SETTLE_S)
    token = world.submit("entry-0", "a" * 16, 1, loads.WORK_S)
    world.run(loads.WORK_S + 0.002 - early_s)
    world.silence_all_streams()
    world.run(_SETTLE_S)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert world.started["a" * 16] == 1
