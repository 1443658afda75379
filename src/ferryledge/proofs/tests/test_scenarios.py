"""The scenarios of the feature files, on worlds in virtual time."""

import dataclasses
import functools

import pytest
import pytest_bdd
from pytest_bdd import parsers

from ferryledge import configlog
from ferryledge import core
from ferryledge import harness
from ferryledge import outcomes

pytest_bdd.scenarios("features")

ENTITIES = (
    configlog.Service("lookup", timeout_s=6.0),
    configlog.Service("hold", timeout_s=6.0, repeatable=False),
    configlog.Workspace("shop"),
)
HOLD = b'"hold"'


@pytest.fixture
def told():
    """What the steps of one scenario have to tell each other."""
    return {}


@pytest_bdd.given(
    parsers.parse("{entries:d} entries and {agents:d} agents of 2 slots"),
    target_fixture="world",
)
def a_world(entries, agents):
    options = harness.WorldOptions(entries, agents, 2)
    return harness.World(options, ENTITIES)


def submit(world, number, tasks):
    payloads = [f'"{number}-{n}"'.encode() for n in range(tasks)]
    for payload in payloads:
        world.endpoints.specs[payload] = harness.TaskSpec(0.15)
    request = core.JobRequest(
        f"job-{number}",
        "shop",
        "lookup",
        tuple(core.TaskRequest(payload) for payload in payloads),
    )
    world.submit(request, world.entry_names[number % 3])


@pytest_bdd.when(
    parsers.parse("{jobs:d} jobs of {tasks:d} tasks arrive within 2 seconds")
)
def jobs_arrive(world, told, jobs, tasks):
    told["start"] = world.now
    for number in range(jobs):
        call = functools.partial(submit, world, number, tasks)
        world.clock.after(2.0 * number / jobs, call)


def others(world, name):
    return [other for other in world.nodes if other != name]


def cut_all(world, name):
    for other in others(world, name):
        world.cut(name, other, 0.5)


def cut_late(world, name):
    for other in others(world, name):
        world.half_open(other, name, 1.5)


def lose_endpoint(world, name):
    world.endpoints.states[name].unreachable = True


STRIKES = {
    "is killed": lambda world, name: world.kill(name),
    "is frozen for 5 seconds": lambda world, name: world.freeze(name, 5.0),
    "loses all its streams": cut_all,
    "notices lost streams late": cut_late,
    "loses its endpoint": lose_endpoint,
    "drains": lambda world, name: world.drain(name),
}
FAULTS = "|".join(STRIKES)


@pytest_bdd.when(
    parsers.re(
        rf"(?P<who>the scheduler|agent-\d) (?P<fault>{FAULTS}) after 1 second"
    )
)
def a_fault_strikes(world, told, who, fault):
    world.run(1.0)
    name = world.scheduler if who == "the scheduler" else who
    told["struck"] = (name, world.now)
    STRIKES[fault](world, name)
    world.run(30.0)


@pytest_bdd.then("no task has started twice")
def no_double_starts(world):
    assert world.journal.doubles() == []
    assert world.journal.starts


@pytest_bdd.then("every answer is whole or marked failed")
def whole_answers(world):
    for record in world.records:
        if record.complete:
            wanted = tuple(t.payload for t in record.request.tasks)
            assert record.outcome.results == wanted


@pytest_bdd.then("everyone was answered or lost the connection")
def everyone_answered(world):
    for record in world.records:
        assert record.lost or record.answers == 1


@pytest_bdd.then("what was told not run has not run")
def not_run(world):
    for record in world.records:
        if isinstance(
            record.outcome, outcomes.Refused | outcomes.FailedNotRun
        ):
            for task in record.request.tasks:
                assert not world.journal.count(task.payload)


@pytest_bdd.then("every job is complete")
def all_complete(world, told):
    world.run(30.0)
    assert len(world.records) == 30
    assert [one for one in world.records if not one.complete] == []


@pytest_bdd.then("every job is complete or refused at the draining entry")
def complete_or_refused(world, told):
    name, _ = told["struck"]
    for record in world.records:
        refused = isinstance(record.outcome, outcomes.Refused)
        assert record.complete or (refused and record.entry == name)
    assert sum(one.complete for one in world.records) >= 20


@pytest_bdd.then("agent-3 starts nothing after that")
def nothing_after(world, told):
    name, at = told["struck"]
    late = [
        start
        for start in world.journal.starts
        if start.endpoint == name and start.at > at
    ]
    assert late == []


def hold_request():
    return core.JobRequest(
        "hold-1",
        "shop",
        "hold",
        (core.TaskRequest(HOLD),),
        repeatable=False,
    )


@pytest_bdd.when("a hold is submitted until it is told")
def a_hold(world, told):
    world.endpoints.specs[HOLD] = harness.TaskSpec(0.8)
    told["records"] = world.submit_until_told(
        hold_request(), ["entry-1", "entry-2", "entry-3"]
    )


@pytest_bdd.when("its entry is killed while it runs")
def kill_its_entry(world, told):
    world.run(0.3)
    world.kill(told["records"][-1].entry)
    world.run(30.0)


@pytest_bdd.when("a hold is complete")
def a_complete_hold(world, told):
    a_hold(world, told)
    world.run(5.0)
    assert told["records"][-1].complete


@pytest_bdd.when("the same hold is submitted again through another entry")
def again(world, told):
    first = told["records"][-1]
    request = dataclasses.replace(first.request, request_id="hold-again")
    told["second"] = world.submit(request, "entry-3")
    world.run(5.0)


@pytest_bdd.then("the hold has started once at most")
def one_hold(world):
    assert world.journal.count(HOLD) == 1


@pytest_bdd.then("its client was told the truth")
def the_truth(world, told):
    last = told["records"][-1].outcome
    assert isinstance(last, outcomes.Complete | outcomes.FailedMayHaveRun)


@pytest_bdd.then("the second answer equals the first")
def same_answer(told):
    assert told["second"].outcome == told["records"][-1].outcome


@pytest_bdd.when("two operators publish on the same version")
def race(world):
    for name in ("a", "b"):
        world.publish((configlog.Workspace(name),), name, 1)
    world.run(5.0)


def in_force(world, name):
    return [
        world.nodes[entry].core.rulebook.workspace(name) is not None
        for entry in world.entry_names
    ]


@pytest_bdd.then("one change is in force in every entry")
def first_wins(world):
    assert all(in_force(world, "a"))


@pytest_bdd.then("the other one is not")
def second_loses(world):
    assert not any(in_force(world, "b"))


@pytest_bdd.when("the log goes down")
def log_down(world):
    world.log.down = True


@pytest_bdd.when("a change is published after an hour")
def after_an_hour(world):
    world.run(3600.0)
    world.log.down = False
    world.publish((configlog.Workspace("late"),), "late", 1)


@pytest_bdd.then("it is in force in every entry within 10 seconds")
def within_seconds(world):
    world.run(10.0)
    assert all(in_force(world, "late"))


@pytest_bdd.when("entry-2 is killed and started again")
def restart(world):
    world.kill("entry-2", restart_s=1.0)
    world.run(5.0)


@pytest_bdd.then("entry-2 has the configuration")
def has_configuration(world):
    assert world.nodes["entry-2"].core.rulebook.version == 1


@pytest_bdd.when("the list of VMs comes empty")
def empty_list(world):
    world.list_empty = True
    world.run(5.0)
