"""Jobs that are cancelled, at the entry that holds them or at another one."""

import pytest

from ferryledge import leases
from ferryledge.leases.tests import registering
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

JOB = registering.JOB
TASKS = 4
#: The first step of the job lasts longer than each test takes to cancel it.
WORK_S = 2.5
#: Seconds from the acknowledgement of a cancel until nothing may start.
CANCEL_S = 3.0
FOUND = leases.QueryResult.FOUND
ABSENT = leases.QueryResult.ABSENT
UNKNOWN = leases.QueryResult.UNKNOWN
MANY_AND_FEW = [2, 4, 5, 8]


def _submit(
    world: worlds.World,
    entry: str = "entry-0",
    deadline_s: float = 20.0,
    work_s: float = WORK_S,
) -> int:
    """Submit a job of two steps, the second of which has one task."""
    need = wire.Resources(1000, 100, 0)
    steps = (
        leases.JobStep(TASKS, need, work_s),
        leases.JobStep(1, need, work_s, depends_on=(0,)),
    )
    return world.submit(
        entry, JOB, work_s=work_s, deadline_s=deadline_s, steps=steps
    )


def _start(world: worlds.World, work_s: float = WORK_S) -> int:
    token = _submit(world, work_s=work_s)
    world.run(0.3)
    assert world.started[JOB] == TASKS
    return token


def _is_running(world: worlds.World) -> bool:
    return any(
        alive for (job, _, _), alive in world.alive_runs.items() if job == JOB
    )


def _assert_stops(world: worlds.World, tasks: int = TASKS) -> None:
    """Check that nothing starts or runs once a cancel is in force."""
    world.run(CANCEL_S)
    assert not _is_running(world)
    world.run(4.0)
    assert not _is_running(world)
    assert world.started[JOB] == tasks
    assert not world.violations


def _is_cancelled(world: worlds.World, token: int) -> bool:
    match world.outcome(token):
        case outcomes.FailedMayHaveRun(outcomes.Reason.CANCELLED):
            return True
    return False


def _cut_off(world: worlds.World, name: str, for_s: float) -> None:
    """Cut an entry off from all others, but not from the agents."""
    for other in world.entries:
        if other != name:
            world.cut(name, other, for_s)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_cancel_at_another_entry_stops_the_job(entries: int) -> None:
    """Guards against a cancel that only the asked entry's jobs obey."""
    world = registering.make_world(entries=entries)
    token = _start(world)
    world.post(world.entries[-1], leases.JobCancelled(JOB))
    world.run(0.1)
    assert not _is_running(world)
    assert _is_cancelled(world, token)
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("asked", [0, 1, -1])
def test_cancel_is_acknowledged_at_each_entry(
    entries: int, asked: int
) -> None:
    world = registering.make_world(entries=entries)
    _start(world)
    asked_at = world.now
    token = world.cancel(world.entries[asked], JOB)
    world.run(0.1)
    assert world.results[token] is FOUND
    assert world.answered_at[token] - asked_at < 0.02
    again = world.cancel(world.entries[-1], JOB)
    world.run(0.1)
    assert world.results[again] is FOUND


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_cancel_of_an_unknown_job_is_answered_at_once(entries: int) -> None:
    world = registering.make_world(entries=entries)
    asked_at = world.now
    token = world.cancel("entry-1", JOB)
    world.run(0.1)
    assert world.results[token] is ABSENT
    assert world.answered_at[token] - asked_at < 0.02


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_cancel_of_a_complete_job_changes_nothing(entries: int) -> None:
    world = registering.make_world(entries=entries)
    first = _submit(world, work_s=0.2)
    world.run(1.0)
    assert isinstance(world.outcome(first), outcomes.Complete)
    token = world.cancel(world.entries[-1], JOB)
    world.run(0.1)
    assert world.results[token] is ABSENT
    again = _submit(world, "entry-1", 15.0, 0.2)
    world.run(0.5)
    assert isinstance(world.outcome(again), outcomes.Complete)
    assert world.started[JOB] == TASKS + 1


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("for_s", [0.3, 1.2, 1.5, 2.5, 4.0])
def test_paused_holder_does_not_run_a_cancelled_job(
    entries: int, for_s: float
) -> None:
    """Guards against runs that a paused entry orders anew as it wakes."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.pause("entry-0", for_s)
    token = world.cancel(world.entries[-1], JOB)
    world.run(for_s + 0.2)
    assert world.results[token] in (FOUND, UNKNOWN)
    _assert_stops(world)
    again = world.cancel(world.entries[-1], JOB)
    world.run(0.1)
    assert world.results[again] is FOUND


@pytest.mark.parametrize("entries", [3, 4, 5, 8, 10])
def test_cancel_reaches_an_entry_through_others(entries: int) -> None:
    """Guards against a cut between the asked entry and the holder."""
    world = registering.make_world(entries=entries)
    _start(world)
    asked = world.entries[-1]
    world.cut("entry-0", asked, 3.0)
    token = world.cancel(asked, JOB)
    world.run(1.0)
    assert world.results[token] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("for_s", [1.0, 3.0, 6.0])
def test_cancel_is_not_acknowledged_while_the_holder_is_cut_off(
    entries: int, for_s: float
) -> None:
    """Guards against a refusal that counts silence as absence."""
    world = registering.make_world(entries=entries)
    _start(world, work_s=9.0)
    _cut_off(world, "entry-0", for_s)
    asked_at = world.now
    token = world.cancel(world.entries[-1], JOB)
    world.run(1.6)
    assert world.results[token] is (FOUND if for_s < 1.5 else UNKNOWN)
    assert world.answered_at[token] - asked_at <= 1.51
    world.run(max(0.0, for_s + 0.5 - 1.6))
    assert not _is_running(world)
    again = world.cancel(world.entries[-1], JOB)
    world.run(0.2)
    assert world.results[again] is FOUND


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_cancel_is_acknowledged_once_two_entries_know(entries: int) -> None:
    """Guards against a cancel that is lost with the job's entry."""
    world = registering.make_world(entries=entries)
    _start(world)
    _cut_off(world, "entry-0", 3.0)
    token = world.cancel("entry-0", JOB)
    world.run(0.1)
    assert not _is_running(world)
    assert token not in world.results
    world.run(1.5)
    assert world.results[token] is UNKNOWN
    world.run(2.0)
    again = world.cancel("entry-0", JOB)
    world.run(0.1)
    assert world.results[again] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", [3, 5, 8])
def test_entry_that_is_cut_off_acknowledges_nothing(entries: int) -> None:
    """Guards against an entry that takes all others for lost."""
    world = registering.make_world(entries=entries)
    _start(world)
    asked = world.entries[-1]
    _cut_off(world, asked, 20.0)
    for agent in world.agents:
        world.cut(asked, agent, 20.0)
    world.run(12.0)
    token = world.cancel(asked, JOB)
    world.run(1.6)
    assert world.results[token] is UNKNOWN


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_job_of_an_entry_that_restarts_is_acknowledged(entries: int) -> None:
    world = registering.make_world(entries=entries)
    _start(world)
    world.kill("entry-0", 0.5)
    token = world.cancel(world.entries[-1], JOB)
    world.run(1.5)
    assert world.results[token] is ABSENT
    _assert_stops(world)


@pytest.mark.parametrize("entries", [2, 4])
def test_job_of_an_ended_entry_is_acknowledged(entries: int) -> None:
    """Guards against cancels that are unanswered for good after a loss."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.kill("entry-0", 600.0)
    token = world.cancel(world.entries[-1], JOB)
    world.run(1.5)
    assert world.results[token] is ABSENT
    _assert_stops(world)


@pytest.mark.parametrize("entries", [5, 8])
def test_entry_that_registered_the_job_is_waited_for(entries: int) -> None:
    """Guards against taking an entry for lost that is known to hold it."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.kill("entry-0", 600.0)
    token = world.cancel(world.entries[-1], JOB)
    world.run(1.6)
    assert world.results[token] is UNKNOWN
    world.run(9.0)
    again = world.cancel(world.entries[-1], JOB)
    world.run(0.5)
    assert world.results[again] is ABSENT
    assert world.started[JOB] == TASKS


@pytest.mark.parametrize("entries", [*MANY_AND_FEW, 3, 10])
def test_holder_that_hears_no_entry_is_not_taken_for_lost(
    entries: int,
) -> None:
    """Guards against a refusal since the holder closed its silent streams."""
    world = registering.make_world(entries=entries)
    _start(world, work_s=9.0)
    for other in world.entries[1:]:
        world.cut(other, "entry-0", 7.0, both=False)
    while world.now < 10.0:
        token = world.cancel(world.entries[-1], JOB)
        world.run(1.6)
        assert world.results[token] is UNKNOWN
    world.run(2.0)
    token = world.cancel(world.entries[-1], JOB)
    world.run(0.1)
    assert world.results[token] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_job_of_a_silent_entry_is_acknowledged_later(entries: int) -> None:
    """Guards against taking an entry for lost that may be cut off."""
    world = registering.make_world(entries=entries)
    _start(world)
    _cut_off(world, "entry-0", 600.0)
    for agent in world.agents:
        world.cut("entry-0", agent, 600.0)
    world.run(6.0)
    token = world.cancel(world.entries[-1], JOB)
    world.run(1.6)
    assert world.results[token] is UNKNOWN
    world.run(6.0)
    again = world.cancel(world.entries[-1], JOB)
    world.run(0.5)
    assert world.results[again] is ABSENT


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("up_s", [0.0, 0.01, 0.03, 0.1])
def test_entry_that_just_started_asks_for_the_job(
    entries: int, up_s: float
) -> None:
    """Guards against an entry that knows no other ones yet."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.kill("entry-1", 0.3)
    world.run(0.3 + up_s)
    token = world.cancel("entry-1", JOB)
    world.run(0.5)
    assert world.results[token] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_cancel_outlives_the_entry_that_was_asked(entries: int) -> None:
    """Guards against a cancel that is lost with the asked entry."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.cancel("entry-1", JOB)
    world.run(0.005)
    world.kill("entry-1", 1.0)
    _assert_stops(world)
    again = _submit(world, world.entries[-1], 10.0)
    world.run(1.0)
    assert _is_cancelled(world, again)
    assert world.started[JOB] == TASKS


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("agents_down_s", [0.1, 0.5])
def test_cancel_holds_when_all_agents_restart(
    entries: int, agents_down_s: float
) -> None:
    world = registering.make_world(entries=entries)
    _start(world)
    for agent in world.agents:
        world.kill(agent, agents_down_s)
    token = world.cancel(world.entries[-1], JOB)
    world.run(0.1)
    assert world.results[token] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("asked", [0, 1])
@pytest.mark.parametrize("again_at", [0, -1])
@pytest.mark.parametrize("after_s", [0.6, 1.3, 3.2])
def test_repetition_of_a_cancelled_job_is_not_run(
    entries: int, asked: int, again_at: int, after_s: float
) -> None:
    """Guards against a repetition that starts what was cancelled."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.cancel(world.entries[asked], JOB)
    world.run(after_s)
    again = _submit(world, world.entries[again_at], 20.0 - after_s)
    world.run(1.0)
    assert _is_cancelled(world, again)
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("asked", [0, 1])
@pytest.mark.parametrize("again_at", [0, 1, -1])
def test_repetition_while_a_cancel_is_told_is_not_run(
    entries: int, asked: int, again_at: int
) -> None:
    """Guards against a start before all entries are told.

    An entry that is not told may know the runs that are being stopped.
    """
    world = registering.make_world(entries=entries)
    _start(world)
    world.cancel(world.entries[asked], JOB)
    world.run(0.002)
    again = _submit(world, world.entries[again_at])
    world.run(1.0)
    match world.outcome(again):
        case outcomes.FailedMayHaveRun(reason):
            assert reason in (
                outcomes.Reason.CANCELLED,
                outcomes.Reason.DUPLICATE,
            )
        case other:
            raise AssertionError(other)
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("submitted_at", [0, 1, -1])
def test_cancel_that_overtakes_its_submission_holds(
    entries: int, submitted_at: int
) -> None:
    world = registering.make_world(entries=entries)
    token = world.cancel("entry-1", JOB)
    world.run(0.4)
    assert world.results[token] is ABSENT
    first = _submit(world, world.entries[submitted_at])
    world.run(1.0)
    assert _is_cancelled(world, first)
    assert not world.started[JOB]


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cancel_is_remembered_through_restarts_in_turn(
    entries: int, seed: int
) -> None:
    """Guards against entries that forget a cancel one by one."""
    world = registering.make_world(seed, entries)
    _start(world)
    world.cancel("entry-1", JOB)
    world.run(0.5)
    for name in world.entries:
        world.kill(name, 0.1)
        world.run(0.5)
    again = _submit(world, world.entries[-1], 10.0)
    world.run(1.0)
    assert _is_cancelled(world, again)
    assert world.started[JOB] == TASKS


@pytest.mark.parametrize("entries", [3, 8])
def test_cancel_is_forgotten_in_the_end(entries: int) -> None:
    """Guards against memory that grows with each cancel."""
    world = registering.make_world(entries=entries)
    for number in range(20):
        world.cancel("entry-1", f"{number:016x}")
    world.run(63.0)
    for name in world.entries:
        jobs = world.nodes[name].core._jobs
        assert not list(jobs.cancelled.items())
        assert not list(jobs._cancelled_here.items())
        assert not world.nodes[name].core._cancellations._queries._queries


def _hand_over(world: worlds.World) -> tuple[int, str]:
    """Let entry-0 hand a job over; return its token and the delegate."""
    for agent in world.agents:
        world.cut("entry-0", agent, 30.0)
    world.run(1.6)
    token = _submit(world)
    world.run(1.3)
    assert world.started[JOB] == TASKS
    (delegate,) = (
        name
        for name in world.entries
        if name != "entry-0" and world.nodes[name].core.holds(JOB)
    )
    return token, delegate


@pytest.mark.parametrize("entries", MANY_AND_FEW)
@pytest.mark.parametrize("asked", ["delegator", "delegate", "other"])
def test_job_that_was_handed_over_is_cancelled(
    entries: int, asked: str
) -> None:
    """Guards against a delegator that runs the job again."""
    world = registering.make_world(entries=entries)
    token, delegate = _hand_over(world)
    others = [n for n in world.entries if n not in ("entry-0", delegate)]
    names = {"delegator": "entry-0", "delegate": delegate}
    name = names.get(asked, others[-1] if others else delegate)
    query = world.cancel(name, JOB)
    world.run(0.2)
    assert world.results[query] is FOUND
    assert _is_cancelled(world, token)
    assert not _is_running(world)
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_delegate_does_not_acknowledge_for_its_delegator(
    entries: int,
) -> None:
    """Guards against a job that its cut off delegator runs again."""
    world = registering.make_world(entries=entries)
    _, delegate = _hand_over(world)
    _cut_off(world, "entry-0", 3.0)
    query = world.cancel(delegate, JOB)
    world.run(1.6)
    assert world.results[query] is UNKNOWN
    world.run(1.6)
    again = world.cancel(delegate, JOB)
    world.run(0.2)
    assert world.results[again] is FOUND
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_delegate_tells_its_delegator_of_a_cancel(entries: int) -> None:
    """Guards against a rerun if the asked entry is lost meanwhile."""
    world = registering.make_world(entries=entries)
    token, delegate = _hand_over(world)
    notice = wire.JobsCancelled((JOB,), 60.0)
    world.post(delegate, wire.Received("lost", notice))
    world.run(0.1)
    assert _is_cancelled(world, token)
    _assert_stops(world)


@pytest.mark.parametrize("entries", MANY_AND_FEW)
def test_look_up_finds_a_job_at_another_entry(entries: int) -> None:
    """Guards against a look-up that only sees the asked entry's jobs."""
    world = registering.make_world(entries=entries)
    _start(world)
    found = world.look_up(world.entries[-1], JOB)
    absent = world.look_up(world.entries[-1], "b" * 16)
    world.run(0.1)
    assert world.results[found] is FOUND
    assert world.results[absent] is ABSENT
    assert _is_running(world)
    _cut_off(world, "entry-0", 3.0)
    unknown = world.look_up(world.entries[-1], JOB)
    world.run(1.6)
    assert world.results[unknown] is UNKNOWN


@pytest.mark.parametrize("entries", [3, 8])
def test_jobs_that_nobody_cancels_cost_no_messages(entries: int) -> None:
    world = registering.make_world(entries=entries)
    for number in range(40):
        world.submit(world.entries[number % entries], f"{number:016x}")
        world.run(0.05)
    world.run(1.0)
    kinds = (wire.FindJobs, wire.JobsFound, wire.JobsCancelled)
    assert not any(world.sent[kind] for kind in kinds)


@pytest.mark.parametrize("entries", [3, 8, 35])
def test_cancel_asks_few_entries(entries: int) -> None:
    """Guards against a cost that grows with the number of entries."""
    world = registering.make_world(entries=entries)
    _start(world)
    world.cancel(world.entries[-1], JOB)
    world.run(0.5)
    assert world.sent[wire.FindJobs] <= 3
    assert world.sent[wire.JobsFound] <= 3
    assert not world.sent[wire.Relay]


def test_entry_stops_with_an_answer() -> None:
    """Guards against a client that waits for an entry that ends."""
    world = registering.make_world(entries=3)
    _cut_off(world, "entry-0", 5.0)
    token = world.cancel("entry-1", JOB)
    world.run(0.1)
    world.post("entry-1", leases.EntryStop())
    world.run(0.01)
    assert world.results[token] is UNKNOWN
