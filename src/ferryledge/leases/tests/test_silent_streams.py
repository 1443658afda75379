"""Callers are served while all open streams go silent for good.

All streams between entries and agents went silent at the same moment;
nothing was reset, and new streams worked. An entry closed its side after
0.7 s, an agent opened a new stream after 1.5 s of silence, and what is in
doubt ends 0.6 s after the last answer. Ends that agents had reported into a
silent stream were lost with it: the next list came without those runs, so
their tasks ran once more, and jobs ran into their deadlines. Of a simulation
with 3 entries, 15 agents and a load of 0.6, silent at 3.0 s:

    3.58 to 3.78   45  agent silent: stream closed
    3.62 to 3.86   45  agent connected
    3.64 to 3.86  148  run ended without a result, how lost
    4.13 to 4.53   20  answered: failed, may have run, reason deadline

Of the jobs of the half seconds around that moment 20%, 0%, 24% and 42% were
answered in time. Between real processes, whose agents see no close either,
new streams came 1.2 to 1.7 s after the silence.
"""

import random

import pytest

from ferryledge.leases.tests import loads
from ferryledge import loads as worlds
from ferryledge import outcomes

_SETTLE_S = 3.0
_SILENT_AT_S = 2.0
#: Seconds of submission over which a share is taken.
_BUCKET_S = 0.5


def _play(entries: int, agents: int, share: float, seed: int) -> loads.Played:
    """Offer load; let all streams go silent after a while."""
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
def test_most_jobs_are_in_time_and_all_of_them_soon(seed: int) -> None:
    played = _play(entries=3, agents=15, share=0.6, seed=seed)
    assert played.in_time(_SILENT_AT_S - _BUCKET_S) > 0.7
    assert played.in_time(_SILENT_AT_S) > 0.7
    assert played.in_time(_SILENT_AT_S + _BUCKET_S) > 0.95


def test_a_nearly_full_pool_of_many_entries_recovers_soon() -> None:
    played = _play(entries=8, agents=32, share=0.85, seed=7)
    assert not played.world.violations
    assert not played.count(outcomes.FailedMayHaveRun)
    assert played.in_time(_SILENT_AT_S - _BUCKET_S) > 0.5
    assert played.in_time(_SILENT_AT_S) > 0.5
    assert played.in_time(_SILENT_AT_S + 2 * _BUCKET_S) > 0.9


@pytest.mark.parametrize("early_s", [0.0005, 0.01, 0.05, 0.15, 0.19])
def test_task_that_is_done_is_not_run_again(early_s: float) -> None:
    """Its end is reported into a stream that went silent just before."""
    world = worlds.World(3, entries=1, agents=1)
    world.run(_SETTLE_S)
    token = world.submit("entry-0", "a" * 16, 1, loads.WORK_S)
    world.run(loads.WORK_S + 0.002 - early_s)
    world.silence_all_streams()
    world.run(_SETTLE_S)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert world.started["a" * 16] == 1
