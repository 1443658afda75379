"""A wave whose crest is above the room for some seconds.

On two days in a row one job in a hundred was refused within the four seconds
of a crest, although the load fell right after it and nearly all clients would
have had use for an answer that came somewhat late. By the latest start alone
jobs of all kinds became late at the same moment.
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
    return sum(one.share(end) for one in played) / len(played)


@pytest.fixture(scope="module")
def crest() -> list[loads.Results]:
    return _play("crest")


def test_half_of_the_refusals_on_a_crest_are_needless(
    crest: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("late_answers"))
    end = loads.JobEnd
    assert _mean(crest, end.REFUSED) < 0.6 * _mean(without, end.REFUSED)
    assert _mean(crest, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.04
    assert not any(one.violations for one in crest)


def test_fewer_are_late_where_the_largest_wait(
    crest: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("largest_late"))
    end = loads.JobEnd
    assert _mean(crest, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.02
    assert _mean(crest, end.REFUSED) < _mean(without, end.REFUSED)


def test_hardly_an_answer_is_of_no_use(crest: list[loads.Results]) -> None:
    for one in crest:
        useless = sum(
            ended.took_s is not None
            and ended.end is loads.JobEnd.LATE
            and not ended.is_useful
            for ended in one.ended
        )
        assert useless / len(one.ended) < 0.005


def test_what_is_refused_is_refused_promptly(
    crest: list[loads.Results],
) -> None:
    assert all(one.refusal_s() < 0.3 for one in crest)


def test_a_burst_of_one_queue_costs_fewer_refusals() -> None:
    load = loads.read(FILES / "one-queue-bursts.toml")
    refused = loads.JobEnd.REFUSED
    played = loads.play(load, 1)
    without = loads.play(load, 1, loads.without("late_answers"))
    assert played.share(refused) < 0.75 * without.share(refused)
    for queue in ("quick", "plain"):
        assert played.useful(queue) > without.useful(queue)
    assert not played.violations


_PATIENT = dataclasses.replace(loads.JOB_CLASS, late_factor=3.0)


def test_job_is_not_held_beyond_its_use_while_agents_stay_away() -> None:
    """While agents are likely to come back no forecast can be made."""
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


def test_job_waits_for_an_agent_that_is_back_in_time_to_be_of_use() -> None:
    world = loads.World(seed=1, entries=1, agents=1)
    world.run(2.0)
    world.kill("agent-0", down_s=0.3)
    token = world.submit(
        "entry-0", "a" * 16, work_s=0.2, deadline_s=6.0, job_class=_PATIENT
    )
    world.run(3.0)
    assert isinstance(world.outcome(token), outcomes.Complete)


def test_any_job_can_be_forecast() -> None:
    """An entry that may hand a job on asks for its prospect first."""
    world = loads.World(seed=1, entries=1, agents=1)
    world.run(2.0)
    core = world.nodes["entry-0"].core
    step = leases.JobStep(1, wire.Resources(1000, 100, 0), 0.2)
    request = leases.LeasedJob("b" * 16, _PATIENT, "spec", (step,), 6.0)
    tasks = _jobs.make_tasks(request)
    job = _jobs.Job(request, [1], world.now, 0.2, tasks)
    told = core._scheduler.forecast(world.now, job)
    assert told.prospect is _forecast.Prospect.IN_TIME
    world.submit("entry-0", "c" * 16, 80, 2.0, deadline_s=60.0)
    world.run(0.2)
    job.arrived_at = world.now
    told = core._scheduler.forecast(world.now, job)
    assert told.prospect is not _forecast.Prospect.IN_TIME
