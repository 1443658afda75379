"""Registration of jobs under faults of entries, and where it falls short."""

import pytest

from ferryledge import leases
from ferryledge.leases.tests import registering
from ferryledge import loads as worlds
from ferryledge import outcomes


def _leave(
    world: worlds.World,
    entry: str,
    token: int,
    job: str = registering.JOB,
) -> None:
    """Let a client leave an entry."""
    world.post(entry, leases.ClientLeft(token, job))


@pytest.mark.parametrize("pause_s", [0.0, 0.08, 0.15])
def test_late_request_starts_nothing_in_a_hiccup(pause_s: float) -> None:
    """Guards against an entry that stood still and passes over all others."""
    world = registering.make_world()
    world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 3.7)
    world.run(0.3)
    for number in range(16):
        world.submit("entry-0", f"{number:016x}", 1, 0.05, 100, 5.0)
    world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 5.0)
    world.run(0.0009)
    if pause_s:
        world.pause("entry-0", pause_s)
    world.run(2.0)
    assert not world.violations


@pytest.mark.parametrize("pause_s", [0.0, 0.08, 0.15])
def test_late_request_starts_nothing_after_a_hiccup(pause_s: float) -> None:
    """The same for a request that comes after the pause."""
    world = registering.make_world()
    world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 3.7)
    world.run(0.3)
    for number in range(16):
        world.submit("entry-0", f"{number:016x}", 1, 0.05, 100, 5.0)
    world.run(0.0009)
    if pause_s:
        world.pause("entry-0", pause_s)
    world.run(pause_s + 0.2)
    world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 5.0)
    world.run(2.0)
    assert not world.violations


@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.15])
@pytest.mark.parametrize("jobs", [4, 6, 8, 10, 16])
def test_late_request_starts_nothing_after_late_answers(
    late_s: float, jobs: int
) -> None:
    """Guards against a start after the answers of all entries were late."""
    world = registering.make_world()
    world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 3.7)
    world.run(0.3)
    if late_s:
        for other in world.entries[1:]:
            world.cut(other, "entry-0", late_s, both=False)
    for number in range(jobs):
        world.submit("entry-0", f"{number:016x}", 1, 0.05, 100, 5.0)
    world.run(late_s + 0.2)
    world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 5.0)
    world.run(2.0)
    assert not world.violations


def test_registrars_are_asked_although_all_were_late() -> None:
    """Guards against a job that nobody is asked about."""
    registrations = registering.make_registrations()
    for number in range(16):
        registrations.start(0.0, registering.make_job(f"{number:016x}"))
    registrations.pop_messages()
    registrations.check(0.1)
    registrations.pop_messages()
    registrations.pop_decisions()
    job = registering.make_job()
    registrations.start(0.2, job)
    assert registering.asked(registrations)
    assert job.is_registering


@pytest.mark.parametrize("number", [4])
def test_delegate_that_gives_a_job_up_says_so_until_its_runs_stopped(
    number: int,
) -> None:
    """Guards against a start while a delegate stops its runs."""
    job = f"{number:016x}"
    world = registering.make_world(number)
    for agent in world.agents:
        world.cut("entry-0", agent, 30.0)
    world.run(1.6)
    first = world.submit("entry-0", job, 4, 6.0, 1000, 12.0)
    world.run(1.3)
    holders = [n for n in world.entries if world.nodes[n].core.holds(job)]
    (delegate,) = set(holders) - {"entry-0"}
    others = [
        n
        for n in world.entries
        if n not in ("entry-0", delegate)
        and delegate in registering.registrars(n, job, registering.ENTRIES[:8])
    ]
    assert others
    world.submit(delegate, job, 4, 6.0, 1000, 10.7)
    world.run(0.05)
    _leave(world, "entry-0", first, job)
    world.run(2.0)
    world.submit(others[-1], job, 4, 6.0, 1000, 8.6)
    world.run(2.0)
    assert not world.violations


@pytest.mark.parametrize("number", [0, 1, 2, 3, 5])
def test_job_attached_at_a_delegate_is_registered(number: int) -> None:
    """Guards against a start beside a delegate that serves a client itself."""
    job = f"{number:016x}"
    world = registering.make_world(number)
    for agent in world.agents:
        world.cut("entry-0", agent, 30.0)
    world.run(1.6)
    first = world.submit("entry-0", job, 4, 6.0, 1000, 12.0)
    world.run(1.3)
    holders = [n for n in world.entries if world.nodes[n].core.holds(job)]
    (delegate,) = set(holders) - {"entry-0"}
    others = [
        n
        for n in world.entries
        if n not in ("entry-0", delegate)
        and delegate
        not in registering.registrars(n, job, registering.ENTRIES[:8])
    ]
    assert others
    world.submit(delegate, job, 4, 6.0, 1000, 10.7)
    world.run(0.05)
    _leave(world, "entry-0", first, job)
    world.run(2.0)
    assert world.nodes[delegate].core.holds(job)
    world.submit(others[-1], job, 4, 6.0, 1000, 8.6)
    world.run(2.0)
    assert not world.violations


@pytest.mark.parametrize("delay", [0.005 * n for n in range(1, 60, 3)])
def test_entry_that_just_started_starts_no_known_job(delay: float) -> None:
    """Guards against jobs that come before other entries are known."""
    world = registering.make_world()
    world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 3.7)
    world.run(0.3)
    world.kill("entry-0", down_s=0.1)
    world.run(0.1 + delay)
    world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 5.0)
    world.run(2.0)
    assert not world.violations


def test_repetition_waits_for_a_cut_off_holder_with_slow_stops() -> None:
    """Guards against a start beside an entry that only registrars reach."""
    world = registering.make_world()
    world.cut("entry-0", "entry-7", 20.0)
    world.run(2.5)
    world.submit("entry-0", registering.JOB, 8, 4.0, 1000, 9.0)
    world.run(1.3)
    for agent in world.agents:
        world.lost_stops.add(agent)
    world.submit("entry-7", registering.JOB, 8, 4.0, 1000, 7.7)
    world.run(3.0)
    assert not world.violations


@pytest.mark.parametrize("lost", [False, True])
def test_third_submission_waits_for_runs_of_the_first(lost: bool) -> None:
    """Guards against a registrar that forgets the first of three entries."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 4.0, 1000, 9.0)
    world.run(1.3)
    if lost:
        for agent in world.agents:
            world.lost_stops.add(agent)
    world.submit("entry-7", registering.JOB, 8, 4.0, 1000, 7.7)
    world.run(0.3)
    world.submit("entry-4", registering.JOB, 8, 4.0, 1000, 7.4)
    world.run(3.0)
    assert not world.violations


def test_late_repetition_does_not_end_a_newer_attached_one() -> None:
    """Guards against comparing with a submission that was repeated here."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 4.0, 1000, 9.0)
    world.run(2.6)
    again = world.submit("entry-0", registering.JOB, 8, 4.0, 1000, 6.4)
    world.run(0.1)
    late = world.submit("entry-7", registering.JOB, 8, 4.0, 1000, 7.7)
    world.run(0.005)
    _leave(world, "entry-7", late)
    world.run(5.0)
    assert isinstance(world.outcome(again), outcomes.Complete)


def test_superseded_job_is_not_refused_as_never_run() -> None:
    """Guards against an untrue refusal of a job that ran elsewhere."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 5.0)
    world.run(1.0)
    for number in range(40):
        world.submit(
            f"entry-{1 + number % 7}", f"{number:016x}", 16, 3.0, 1000, 9.0
        )
    world.run(0.3)
    again = world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 3.7)
    world.run(3.6)
    assert isinstance(world.outcome(again), outcomes.FailedMayHaveRun)


def test_open_jobs_are_registered_with_entries_that_restarted() -> None:
    """Guards against registrars that restart one after the other."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 6.0, 1000, 12.0)
    world.run(0.3)
    for name in sorted(
        registering.registrars(
            "entry-0", registering.JOB, registering.ENTRIES[:8]
        )
        | registering.registrars(
            "entry-7", registering.JOB, registering.ENTRIES[:8]
        )
    ):
        if name not in ("entry-0", "entry-7"):
            world.kill(name, down_s=0.2)
            world.run(1.5)
    world.submit("entry-7", registering.JOB, 8, 6.0, 1000, 7.0)
    world.run(2.0)
    assert not world.violations


def test_unlimited_job_moves_once_its_client_left() -> None:
    """Guards against a failure where nobody waits for the first run."""
    world = registering.make_world()
    first = world.submit("entry-0", registering.JOB, 8, 2.0, 1000, 0.0)
    world.run(0.5)
    _leave(world, "entry-0", first)
    again = world.submit("entry-7", registering.JOB, 8, 2.0, 1000, 0.0)
    world.run(4.0)
    assert not world.violations
    assert isinstance(world.outcome(again), outcomes.Complete)


def test_one_of_two_equal_submissions_is_served() -> None:
    """Guards against two entries that both give a job up."""
    peers = registering.ENTRIES[:8]
    job = next(
        job
        for job in (f"{number:016x}" for number in range(300))
        if "entry-7" in registering.registrars("entry-0", job, peers)
        and "entry-0" in registering.registrars("entry-7", job, peers)
    )
    world = registering.make_world()
    one = world.submit("entry-0", job, 8, 0.3, 1000, 0.0)
    other = world.submit("entry-7", job, 8, 0.3, 1000, 0.0)
    world.run(3.0)
    assert not world.violations
    assert any(
        isinstance(world.outcome(token), outcomes.Complete)
        for token in (one, other)
    )


def test_repetition_of_a_handed_over_job_is_served() -> None:
    """Guards against a failure after the delegate has stopped its runs."""
    world = registering.make_world()
    for agent in world.agents:
        world.cut("entry-0", agent, 30.0)
    world.run(1.6)
    world.submit("entry-0", registering.JOB, 4, 2.0, 1000, 12.0)
    world.run(1.3)
    holders = [
        n for n in world.entries if world.nodes[n].core.holds(registering.JOB)
    ]
    assert len(holders) == 2
    other = next(n for n in reversed(world.entries) if n not in holders)
    again = world.submit(other, registering.JOB, 4, 2.0, 1000, 10.7)
    world.run(5.0)
    assert not world.violations
    assert isinstance(world.outcome(again), outcomes.Complete)


def test_complete_job_is_not_run_again() -> None:
    """Guards against a second run of a job whose answer was lost."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 0.3, 1000, 5.0)
    world.run(1.3)
    world.submit("entry-7", registering.JOB, 8, 0.3, 1000, 3.7)
    world.run(2.0)
    assert world.started[registering.JOB] == 8


def test_job_of_a_lost_entry_is_not_refused_for_capacity() -> None:
    """Guards against a refusal while a job waits for an entry that is lost."""
    world = registering.make_world()
    world.submit("entry-0", registering.JOB, 8, 0.3, 1000, 5.0)
    world.run(0.1)
    world.kill("entry-0", 60.0)
    world.run(1.2)
    again = world.submit("entry-7", registering.JOB, 8, 0.3, 1000, 3.7)
    world.run(3.0)
    assert not world.violations
    assert isinstance(world.outcome(again), outcomes.Complete)
