"""Queries for jobs at other entries, message by message."""

import random

import pytest

from ferryledge import leases
from ferryledge.leases import _job_queries
from ferryledge.leases import _registrars
from ferryledge.leases.tests import registering
from ferryledge import wire

JOB = registering.JOB
ENTRIES = registering.ENTRIES
UNKNOWN = leases.QueryResult.UNKNOWN


class _Queries:
    """The queries of entry-0, with what it sends and answers."""

    def __init__(self, entries: int, finds_jobs: bool = True) -> None:
        self.sent: list[tuple[str, wire.Message]] = []
        self.results: list[leases.QueryResult] = []
        self.is_in_touch = True
        self.runs_elsewhere = False
        names = ENTRIES[:entries]
        registrars = _registrars.Registrars(names[0])
        registrars.learn(0.0, names)
        self.queries = _job_queries.JobQueries(
            names[0],
            registrars,
            lambda now: self.is_in_touch,
            lambda job: self.runs_elsewhere,
            lambda peer, message: self.sent.append((peer, message)),
            lambda token, result: self.results.append(result),
        )
        for name in names[1:]:
            registrars.join(name, registers_jobs=True, relays=True)
            self.queries.join(name, finds_jobs)

    def start(self, now: float = 0.0) -> list[str]:
        """Cancel the job; return the entries that are asked."""
        self.queries.start(now, 1, JOB, (), cancels=True)
        return self.check(now)

    def check(self, now: float) -> list[str]:
        """Return the entries that are asked now."""
        self.sent.clear()
        self.queries.check(now)
        return [
            peer
            for peer, message in self.sent
            if isinstance(message, wire.FindJobs)
        ]

    def answer(self, peer: str, **fields: object) -> None:
        """Let an entry answer; by default it doesn't know the job."""
        values = {"presence": wire.JobPresence.ABSENT, **fields}
        found = wire.JobsFound((wire.FoundJob(JOB, **values),), cancels=True)
        self.queries.receive(0.1, peer, found)
        self.queries.check(0.1)


@pytest.mark.parametrize(("entries", "asked"), [(2, 1), (4, 3), (10, 2)])
def test_absence_is_certain_once_all_have_answered(
    entries: int, asked: int
) -> None:
    play = _Queries(entries)
    names = play.start()
    assert len(names) == asked
    for name in names:
        assert not play.results
        play.answer(name)
    assert play.results == [leases.QueryResult.ABSENT]


def test_cancel_of_a_held_job_is_confirmed_by_one_other_entry() -> None:
    play = _Queries(4)
    play.queries.start(0.0, 1, JOB, (), cancels=True, was_held=True)
    first, *_ = play.check(0.0)
    assert not play.results
    play.answer(first)
    assert play.results == [leases.QueryResult.FOUND]


def test_registrar_that_just_started_is_asked_again() -> None:
    """Guards against the word of an entry that knows nothing yet."""
    play = _Queries(10)
    first, second = play.start()
    play.answer(first)
    play.answer(second, is_starting=True)
    assert not play.results
    assert play.check(0.4) == [second]
    play.answer(second)
    assert play.results == [leases.QueryResult.ABSENT]


def test_entry_that_registered_the_job_is_asked() -> None:
    """Guards against an answer before the job's entry has answered."""
    play = _Queries(10)
    names = play.start()
    other = next(name for name in ENTRIES[1:] if name not in names)
    for name in names:
        play.answer(name, entries=(other,))
    assert not play.results
    assert play.sent[-1] == (other, wire.FindJobs((JOB,), cancels=True))
    play.answer(other, presence=wire.JobPresence.CANCELLED)
    assert play.results == [leases.QueryResult.FOUND]


def test_look_up_does_not_confirm_a_cancel() -> None:
    """Guards against an answer to another query for the same job."""
    play = _Queries(2)
    (name,) = play.start()
    row = wire.FoundJob(JOB, wire.JobPresence.ABSENT)
    play.queries.receive(0.1, name, wire.JobsFound((row,), cancels=False))
    play.answer(name, presence=wire.JobPresence.OPEN, is_starting=True)
    assert not play.results


def test_entry_of_an_earlier_release_is_not_asked() -> None:
    """Guards against taking an entry that can't answer for absent."""
    play = _Queries(2, finds_jobs=False)
    assert not play.start()
    play.check(_job_queries.WAIT_S)
    assert play.results == [UNKNOWN]


@pytest.mark.parametrize("missing", ["is_in_touch", "runs_elsewhere"])
def test_other_evidence_makes_an_absence_uncertain(missing: str) -> None:
    play = _Queries(2)
    setattr(play, missing, missing == "runs_elsewhere")
    (name,) = play.start()
    play.answer(name)
    assert not play.results
    play.check(_job_queries.WAIT_S)
    assert play.results == [UNKNOWN]


def test_cancel_is_delivered_after_its_client_was_answered() -> None:
    """Guards against a cancel that is dropped with its client's request."""
    play = _Queries(2)
    (name,) = play.start()
    play.check(_job_queries.WAIT_S)
    assert play.results == [UNKNOWN]
    assert play.check(_job_queries.WAIT_S + 2.0) == [name]
    play.queries.leave(name)
    play.queries.join(name, finds_jobs=True)
    assert play.check(_job_queries.WAIT_S + 2.1) == [name]
    play.answer(name)
    assert not play.check(10.0)
    assert play.results == [UNKNOWN]


def test_repeated_cancel_asks_again() -> None:
    """Guards against answers that are older than the entries' memory."""
    play = _Queries(4)
    first, *_ = play.start()
    play.answer(first)
    assert first in play.start(50.0)


@pytest.mark.parametrize("asked_at", [0.0, 0.1, 0.199])
def test_entry_has_time_to_answer(asked_at: float) -> None:
    """Guards against a repetition before an answer can have come."""
    play = _Queries(4)
    assert play.start(asked_at)
    assert not play.check(asked_at + 0.15)


def test_unanswered_entry_is_asked_through_others() -> None:
    play = _Queries(4)
    names = play.start()
    play.answer(names[0])
    play.check(0.4)
    relayed = {
        message.target
        for _, message in play.sent
        if isinstance(message, wire.Relay)
    }
    assert relayed == set(names[1:])


def test_many_queries_share_messages_within_limits() -> None:
    """Guards against a message that the decoder refuses."""
    play = _Queries(2)
    play.start()
    for number in range(2500):
        play.queries.start(0.0, 0, f"{number:016x}", (), cancels=True)
    play.check(0.05)
    for now in (2.0, 4.0):
        assert len(play.check(now)) == 3
        for _, message in play.sent:
            assert list(wire.Decoder().feed(wire.encode(message)))


def test_entry_relays_queries_and_answers() -> None:
    core = leases.LeaseEntry("entry-1", "1.1", "north", random.Random(1))
    for name in ("entry-0", "entry-2"):
        hello = wire.Hello(
            wire.Role.ENTRY, name, "1", "north", finds_jobs=name == "entry-2"
        )
        core.receive(0.0, wire.PeerUp(hello))
    core.tick(0.0)
    query = wire.FindJobs((JOB,), cancels=True)
    for target in ("entry-0", "entry-2"):
        relay = wire.Relay("entry-9", target, query)
        core.receive(0.1, wire.Received("entry-9", relay))
    sent = [
        (action.peer, action.message.target)
        for action in core.tick(0.1)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.Relay)
    ]
    assert sent == [("entry-2", "entry-2")]
