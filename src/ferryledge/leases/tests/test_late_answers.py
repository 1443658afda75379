"""Load that exceeds the capacity for some seconds.

Guards against refusing jobs whose answer would be late, but still useful once
the peak has passed.
"""

import dataclasses
import pathlib

import pytest

import ferryledge
from ferryledge import leases
from ferryledge.leases import _forecast
from ferryledge.leases import _jobs
from ferryledge import loads
from ferryledge import outcomes
from ferryledge import wire

FILES = pathlib.Path(ferryledge.__file__).parents[2] / "bench" / "loads"
SEEDS = (1, 2, 3)


def _play(
    name: str, rules: leases.EntryRules | None = None
) -> list[loads.Results]:
    load = loads.read(FILES / f"{name}.toml")
    return [loads.play(load, seed, rules) for seed in SEEDS]


def _mean(played: list[loads.Results], end: loads.JobEnd) -> float:
    return sum(results.share(end) for results in played) / len(played)


@pytest.fixture(scope="module")
def peak() -> list[loads.Results]:
    return _play("crest")


def test_late_answers_avoid_refusals_during_a_peak(
    peak: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("late_answers"))
    end = loads.JobEnd
    assert _mean(peak, end.REFUSED) < 0.6 * _mean(without, end.REFUSED)
    assert _mean(peak, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.04
    assert not any(results.violations for results in peak)


def test_fewer_jobs_are_late_if_the_largest_are_deferred(
    peak: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("largest_late"))
    end = loads.JobEnd
    assert _mean(peak, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.02
    assert _mean(peak, end.REFUSED) < _mean(without, end.REFUSED)


def test_hardly_any_answer_is_useless(peak: list[loads.Results]) -> None:
    for results in peak:
        useless = sum(
            ended.took_s is not None
            and ended.end is loads.JobEnd.LATE
            and not ended.is_useful
            for ended in results.ended
        )
        assert useless / len(results.ended) < 0.005


def test_refusals_are_prompt(
    peak: list[loads.Results],
) -> None:
    assert all(results.refusal_s() < 0.3 for results in peak)


def test_late_answers_avoid_refusals_in_a_burst_of_one_queue() -> None:
    load = loads.read(FILES / "one-queue-bursts.toml")
    refused = loads.JobEnd.REFUSED
    played = loads.play(load, 1)
    without = loads.play(load, 1, loads.without("late_answers"))
    assert played.share(refused) < 0.75 * without.share(refused)
    for queue in ("quick", "plain"):
        assert played.useful(queue) > without.useful(queue)
    assert not played.violations


_PATIENT = dataclasses.replace(loads.JOB_CLASS, late_factor=3.0)


def test_job_is_refused_in_time_while_agents_stay_away() -> None:
    """There is no forecast while agents are expected to come back."""
    world = loads.World(seed=1, entries=1, agents=1)
    world.run(2.0)
    world.kill("agent-0", down_s=8.0)
    world.run(0.1)
    sent_at = world.now
    token = world.submit(
        "entry-0", "a" * 16, work_s=0.2, deadline_s=6.0, job_class=_PATIENT
    )
    world.run(3.0)
    assert isinstance(world.outcome(token), outcomes.Refused)
    useful_s = 3.0 * (1.6 * 0.2 + 0.06)
    assert world.answered_at[token] - sent_at < useful_s


def test_job_waits_for_an_agent_that_comes_back_in_time() -> None:
    world = loads.World(seed=1, entries=1, agents=1)
    world.run(2.0)
    world.kill("agent-0", down_s=0.3)
    token = world.submit(
        "entry-0", "a" * 16, work_s=0.2, deadline_s=6.0, job_class=_PATIENT
    )
    world.run(3.0)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_job_that_is_not_held_can_be_forecast() -> None:
    """An entry forecasts a job before it decides on a handover."""
    world = loads.World(seed=1, entries=1, agents=1)
    world.run(2.0)
    core = world.nodes["entry-0"].core
    step = leases.JobStep(1, wire.Resources(1000, 100, 0), 0.2)
    request = leases.LeasedJob("b" * 16, _PATIENT, "spec", (step,), 6.0)
    tasks = _jobs.make_tasks(request)
    job = _jobs.Job(request, [1], world.now, 0.2, tasks)
    forecast = core._scheduler.forecast(world.now, job)
    assert forecast.prospect is _forecast.Prospect.IN_TIME
    world.submit("entry-0", "c" * 16, 80, 2.0, deadline_s=60.0)
    world.run(0.2)
    job.arrived_at = world.now
    forecast = core._scheduler.forecast(world.now, job)
    assert forecast.prospect is not _forecast.Prospect.IN_TIME
