"""Notices of complete jobs to other entries."""

import pytest

from ferryledge import leases
from ferryledge.leases import _completion_notices
from ferryledge.leases.tests import registering
from ferryledge import loads as worlds
from ferryledge import wire

PEER = "entry-1"


def test_notices_wait_for_each_other() -> None:
    notices = _completion_notices.CompletionNotices()
    notices.add(1.2, PEER, "a", 11.0)
    notices.add(1.3, PEER, "b", 13.1)
    assert notices.due_at == 1.2
    assert not notices.pop_due(1.15)
    ((peer, notice),) = notices.pop_due(1.2)
    assert peer == PEER
    assert notice.jobs == ("a", "b")
    assert notice.keep_s == pytest.approx(11.9)
    assert notices.due_at == float("inf")


def test_notice_is_sent_once() -> None:
    notices = _completion_notices.CompletionNotices()
    notices.add(1.2, PEER, "a", 11.0)
    assert notices.pop(1.0, PEER) == wire.JobsCompleted(("a",), 10.0)
    assert notices.pop(1.0, PEER) is None
    assert not notices.pop_due(9.0)


def test_notices_for_a_lost_entry_are_dropped() -> None:
    notices = _completion_notices.CompletionNotices()
    notices.add(1.2, PEER, "a", 11.0)
    notices.drop(PEER)
    assert not notices.pop_due(9.0)


def test_all_notices_are_due_when_the_process_ends() -> None:
    notices = _completion_notices.CompletionNotices()
    notices.add(1.2, PEER, "a", 11.0)
    notices.add(1.2, "entry-2", "a", 11.0)
    notices.send_all()
    assert [name for name, _ in notices.pop_due(1.0)] == [PEER, "entry-2"]


def test_notice_keeps_to_the_latest_jobs() -> None:
    jobs = {f"{number:016x}": 10.0 for number in range(1200)}
    notice = _completion_notices.make_notice(1.0, jobs)
    assert notice.jobs == tuple(jobs)[-1000:]


def _count(world: worlds.World, jobs: int, interval_s: float) -> int:
    """Run jobs at one entry; return the number of separate notices."""
    for number in range(jobs):
        world.submit("entry-0", f"{number:016x}", 1, 0.05, 100, 5.0)
        world.run(interval_s)
    world.run(1.0)
    return world.sent[wire.JobsCompleted]


def test_notices_travel_with_registrations() -> None:
    """Guards against a message for each completion."""
    world = registering.make_world(entries=5)
    assert _count(world, 200, 0.02) <= 20


def test_notices_share_messages_where_nothing_is_registered() -> None:
    """The same for up to four entries, which register nothing in calm."""
    world = registering.make_world(entries=3)
    # Two entries are told, ten times in each of the five seconds.
    assert _count(world, 200, 0.02) <= 2 * 10 * 5
    assert not world.sent[wire.RegisterJobs]


def test_entry_that_stops_tells_of_its_last_jobs() -> None:
    """Guards against completions that are lost with a planned stop."""
    world = registering.make_world(entries=2)
    world.submit("entry-0", registering.JOB, 1, 0.05, 100, 5.0)
    world.run(0.07)
    sent = world.sent[wire.JobsCompleted]
    world.post("entry-0", leases.EntryStop())
    world.run(0.01)
    assert world.sent[wire.JobsCompleted] == sent + 1


def test_earlier_release_is_not_sent_notices() -> None:
    """Guards against a message that the receiver can't decode."""
    world = registering.make_world(entries=2)
    core = world.nodes["entry-0"].core
    hello = world.nodes["entry-1"].core.hello()
    old = wire.Hello(**{**_fields(hello), "learns_completions": False})
    core.receive(world.now, wire.PeerDown("entry-1", hello.incarnation))
    core.receive(world.now, wire.PeerUp(old))
    world.submit("entry-0", registering.JOB, 1, 0.05, 100, 5.0)
    world.run(1.0)
    assert not world.sent[wire.JobsCompleted]


def _fields(hello: wire.Hello) -> dict[str, object]:
    return {
        name: getattr(hello, name) for name in type(hello).__struct_fields__
    }
