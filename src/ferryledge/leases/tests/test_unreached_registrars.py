"""Jobs whose registrars are not reached by one of their two entries.

A request arrives after its client has submitted the job again at another
entry. Each of the two registers the job, and one of them reaches few entries,
or those that the other one chose have just started.
"""

import collections
from collections import abc
import dataclasses
import functools
import random

import pytest

from ferryledge import leases
from ferryledge.leases import _registration
from ferryledge.leases.tests import faults
from ferryledge.leases.tests import registering
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

#: Seconds from the sending of the first request to its arrival.
_HELD_S = 1.8
_TASKS = 8
_DEADLINE_S = 5.0


@dataclasses.dataclass
class _Play:
    """A late request beside its repetition, which starts first."""

    seed: int
    number: int
    entries: int

    def __post_init__(self) -> None:
        self.job = f"{self.number:016x}"
        self.names = tuple(f"entry-{n}" for n in range(self.entries))
        rng = random.Random(self.seed * 1000 + self.number)
        #: The entries of the late request and of the repetition.
        self.late, self.other = rng.sample(self.names, 2)
        self.again = 0
        self.world = worlds.World(
            self.seed,
            entries=self.entries,
            agents=3 * self.entries,
            peers=True,
        )
        self.world.run(7.0)

    @property
    def registrars(self) -> list[str]:
        """The registrars that both would choose, without the two."""
        both = registering.registrars(self.late, self.job, self.names)
        both |= registering.registrars(self.other, self.job, self.names)
        return sorted(both - {self.late, self.other})

    @property
    def rest(self) -> list[str]:
        """All entries but the two."""
        return [n for n in self.names if n not in (self.late, self.other)]

    def cut(self, one: str, others: abc.Iterable[str]) -> None:
        """Cut an entry off from others before the repetition comes."""
        for other in others:
            self.world.at(
                0.5, functools.partial(self.world.cut, one, other, 4.0)
            )

    def restart(self, names: abc.Iterable[str], up_s: float) -> None:
        """Restart entries; they are up shortly before the late request."""
        for name in names:
            self.world.at(
                _HELD_S - 0.2 - up_s,
                functools.partial(self.world.kill, name, 0.2),
            )

    def run(self) -> None:
        """Play both requests, and check that one of them was served."""
        self.world.at(faults.REPEAT_S, self._repeat)
        self.world.at(_HELD_S, self._arrive)
        self.world.run(_HELD_S + 3.0)
        assert not self.world.violations
        assert self.world.started[self.job] == _TASKS
        assert isinstance(self.world.outcome(self.again), outcomes.Complete)

    def _submit(self, entry: str, waited_s: float) -> int:
        deadline_s = _DEADLINE_S - waited_s
        return self.world.submit(
            entry, self.job, _TASKS, 2.0, 1000, deadline_s
        )

    def _repeat(self) -> None:
        self.again = self._submit(self.other, faults.REPEAT_S)

    def _arrive(self) -> None:
        token = self._submit(self.late, 0.0)
        left = leases.ClientLeft(token, self.job)
        self.world.at(
            0.005, functools.partial(self.world.post, self.late, left)
        )


# Requests through others.


def _make_registrations(
    missing: abc.Collection[str], silent_s: float = 1.0
) -> _registration.Registrations:
    """Return those of an entry that knows all entries but misses some.

    :param missing: entries without a stream
    :param silent_s: seconds since the last message of the others
    """
    peers = tuple(n for n in registering.ENTRIES if n not in missing)
    registrations = registering.make_registrations(peers=(), silent_s=silent_s)
    registrations.learn_entries(0.0, registering.ENTRIES)
    for name in peers[1:]:
        registrations.join(0.0, name, registers_jobs=True, relays=True)
    return registrations


def _first_registrar(job: str = registering.JOB) -> str:
    names = registering.ENTRIES
    return sorted(registering.registrars("entry-0", job, names))[0]


def _split(
    registrations: _registration.Registrations,
) -> tuple[list[str], list[tuple[str, wire.Relay]]]:
    """Return the entries that are asked directly, and the relayed requests."""
    messages = registrations.pop_messages()
    relayed = [
        (name, message)
        for name, message in messages
        if isinstance(message, wire.Relay)
    ]
    direct = [
        name
        for name, message in messages
        if not isinstance(message, wire.Relay)
    ]
    return direct, relayed


def test_nothing_is_relayed_while_all_entries_are_reached() -> None:
    """Guards against a cost on calm days."""
    registrations = _make_registrations(missing=())
    for number in range(100):
        registrations.start(0.0, registering.make_job(f"{number:016x}"))
    direct, relayed = _split(registrations)
    assert direct
    assert not relayed


def test_unreached_registrar_is_asked_through_two_others() -> None:
    """Guards against a start that its registrar is not told of."""
    missing = _first_registrar()
    registrations = _make_registrations([missing])
    job = registering.make_job()
    registrations.start(1.0, job)
    direct, relayed = _split(registrations)
    assert len(direct) == 2
    assert [name for name, _ in relayed] == direct
    request = wire.RegisterJobs((wire.SubmittedJob(job.name, 5.0),))
    for _, message in relayed:
        assert message == wire.Relay("entry-0", missing, request)
    for name in direct:
        registrations.receive(1.001, name, wire.RegisteredJob(job.name))
    assert job.is_registering
    newer = wire.RegisteredJob(job.name, "entry-9", 3.7)
    registrations.receive(1.002, missing, newer)
    decisions = registrations.pop_decisions()
    assert decisions == [_registration.HeldElsewhere(job, "entry-9")]


def test_registrar_that_nobody_reaches_is_not_waited_for() -> None:
    """Guards against jobs that wait for an entry that was lost."""
    missing = _first_registrar()
    registrations = _make_registrations([missing])
    job = registering.make_job()
    registrations.start(1.0, job)
    direct, relayed = _split(registrations)
    for name in direct:
        registrations.receive(1.001, name, wire.RegisteredJob(job.name))
    failed = wire.RelayFailed(missing, (job.name,))
    for name, _ in relayed:
        assert job.is_registering
        registrations.receive_failure(1.001, name, failed)
    assert registrations.pop_decisions() == [_registration.Registered(job)]


def test_answer_through_others_is_waited_for_a_bounded_time() -> None:
    """Guards against jobs that wait for a relay that lost a message."""
    registrations = _make_registrations([_first_registrar()])
    job = registering.make_job()
    registrations.start(1.0, job)
    for name in _split(registrations)[0]:
        registrations.receive(1.001, name, wire.RegisteredJob(job.name))
    assert registrations.due_at <= 1.12
    registrations.check(registrations.due_at)
    assert registrations.pop_decisions() == [_registration.Registered(job)]


def test_registrar_that_does_not_answer_is_asked_through_others() -> None:
    """Guards against an entry that takes its own cut for another's loss."""
    registrations = _make_registrations(missing=())
    job = registering.make_job()
    registrations.start(1.0, job)
    (one, silent), _ = _split(registrations)
    registrations.receive(1.001, one, wire.RegisteredJob(job.name))
    registrations.check(registrations.due_at)
    _, relayed = _split(registrations)
    assert {message.target for _, message in relayed} == {silent}
    assert job.is_registering


def test_slow_registrar_is_not_asked_through_others() -> None:
    """Guards against more messages to entries that have too many already."""
    registrations = _make_registrations(missing=(), silent_s=0.1)
    for number in range(20):
        registrations.start(1.0, registering.make_job(f"{number:016x}"))
    registrations.pop_messages()
    while registrations.due_at < float("inf"):
        registrations.check(registrations.due_at)
        assert not _split(registrations)[1]
    assert len(registrations.pop_decisions()) == 20
    registrations.start(1.5, registering.make_job())
    assert not _split(registrations)[1]


def test_entries_lost_for_long_are_asked_for_once_a_second() -> None:
    """Guards against messages about entries that were removed for good."""
    missing = registering.ENTRIES[5:]
    registrations = _make_registrations(missing)
    counts: collections.Counter[str] = collections.Counter()
    for number in range(300):
        now = 20.0 + number / 100
        job = registering.make_job(f"{number:016x}")
        registrations.start(now, job)
        for relay, message in _split(registrations)[1]:
            counts[message.target] += 1
            failed = wire.RelayFailed(message.target, (job.name,))
            registrations.receive_failure(now, relay, failed)
    assert set(counts) == set(missing)
    # Each time through two others.
    assert max(counts.values()) <= 2 * 3


def test_unreached_holder_is_asked_at_intervals() -> None:
    """Guards against requests without a pause while no answer comes."""
    missing = _first_registrar()
    registrations = _make_registrations([missing])
    job = registering.make_job(deadline_s=3.7)
    registrations.start(1.0, job)
    held = wire.RegisteredJob(job.name, missing, 5.0)
    for name in _split(registrations)[0]:
        registrations.receive(1.001, name, held)
    registrations.receive(1.002, missing, held)
    # One answer is missed, so that the next ones are not waited for.
    registrations.check(registrations.due_at)
    now = registrations.due_at
    requests = 0
    while job.is_registering:
        registrations.check(now)
        requests += len(_split(registrations)[1])
        if job.is_registering:
            assert registrations.due_at > now
            now = registrations.due_at
    assert now <= 1.25
    assert requests <= 2 * 10
    decisions = registrations.pop_decisions()
    assert decisions == [_registration.HeldElsewhere(job, missing)]


def _make_entry(peers: abc.Iterable[str]) -> leases.LeaseEntry:
    """Return an entry that knows six, with streams to some of them."""
    entry = leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))
    addresses = tuple(
        wire.EntryAddress(name, "host", 1) for name in registering.ENTRIES[:6]
    )
    entry.receive(0.0, leases.EntriesFound(addresses))
    for name in peers:
        hello = wire.Hello(
            wire.Role.ENTRY,
            name,
            "1",
            "north",
            registers_jobs=True,
            relays_registrations=name != "entry-5",
        )
        entry.receive(0.0, wire.PeerUp(hello))
    entry.tick(0.0)
    return entry


def _sent(
    entry: leases.LeaseEntry, now: float
) -> list[tuple[str, wire.Relay | wire.RelayFailed]]:
    return [
        (action.peer, action.message)
        for action in entry.tick(now)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.Relay | wire.RelayFailed)
    ]


_REQUEST = wire.RegisterJobs((wire.SubmittedJob(registering.JOB, 5.0),))
_ANSWER = wire.JobsRegistered((wire.RegisteredJob(registering.JOB),))


@pytest.mark.parametrize(
    ("source", "target", "message"),
    [
        ("entry-1", "entry-2", _REQUEST),
        ("entry-2", "entry-1", _ANSWER),
    ],
)
def test_entry_relays_requests_and_their_answers(
    source: str, target: str, message: wire.RegisterJobs | wire.JobsRegistered
) -> None:
    """Guards against an entry that keeps what is meant for another one."""
    entry = _make_entry(registering.ENTRIES[1:6])
    relayed = wire.Relay(source, target, message)
    entry.receive(1.0, wire.Received(source, relayed))
    assert _sent(entry, 1.0) == [(target, relayed)]


@pytest.mark.parametrize("target", ["entry-5", "entry-9"])
def test_relay_says_that_it_does_not_reach_an_entry(target: str) -> None:
    """Guards against jobs that wait for an earlier release or a lost entry."""
    entry = _make_entry(registering.ENTRIES[1:6])
    relayed = wire.Relay("entry-1", target, _REQUEST)
    entry.receive(1.0, wire.Received("entry-1", relayed))
    failed = wire.RelayFailed(target, (registering.JOB,))
    assert _sent(entry, 1.0) == [("entry-1", failed)]


def test_relay_keeps_back_requests_alone_from_an_entry_it_avoids() -> None:
    """Guards against an answer that is lost since its entry was slow."""
    entry = _make_entry(["entry-1", "entry-2"])
    step = leases.JobStep(1, wire.Resources(100))
    job = leases.LeasedJob("b", worlds.JOB_CLASS, "spec", (step,), 2.0)
    entry.receive(1.0, leases.JobSubmitted(1, job))
    _sent(entry, 1.0)
    # Neither of the two has answered.
    _sent(entry, 1.07)
    for message in (_REQUEST, _ANSWER):
        relayed = wire.Relay("entry-2", "entry-1", message)
        entry.receive(1.1, wire.Received("entry-2", relayed))
    failed = wire.RelayFailed("entry-1", (registering.JOB,))
    answer = wire.Relay("entry-2", "entry-1", _ANSWER)
    sent = _sent(entry, 1.1)
    assert ("entry-2", failed) in sent
    assert ("entry-1", answer) in sent


def test_relayed_request_is_answered_through_its_relay() -> None:
    """Guards against an answer that its entry can't be sent directly."""
    entry = leases.LeaseEntry("entry-0", "0.1", "north", random.Random(1))
    hello = wire.Hello(
        wire.Role.ENTRY, "entry-1", "1", "north", registers_jobs=True
    )
    entry.receive(0.0, wire.PeerUp(hello))
    entry.tick(0.0)
    for source, deadline_s, holder, held_s in (
        ("entry-8", 5.0, "", 0.0),
        ("entry-9", 3.7, "entry-8", 5.0),
    ):
        submission = wire.SubmittedJob(registering.JOB, deadline_s)
        request = wire.RegisterJobs((submission,))
        relayed = wire.Relay(source, "entry-0", request)
        entry.receive(1.0, wire.Received("entry-1", relayed))
        registered = wire.RegisteredJob(registering.JOB, holder, held_s)
        answer = wire.JobsRegistered((registered,))
        sent = [
            action.message
            for action in entry.tick(1.0)
            if isinstance(action, leases.SendMessage)
            and isinstance(action.message, wire.Relay)
        ]
        assert sent == [wire.Relay("entry-0", source, answer)]


# Whole entries.


@pytest.mark.parametrize(
    ("seed", "number", "entries"), [(4, 3, 8), (1, 0, 10), (6, 12, 10)]
)
def test_repetition_meets_late_request_without_its_registrars(
    seed: int, number: int, entries: int
) -> None:
    """Guards against an entry that starts a job at other registrars.

    It is cut off from those that everybody else reaches.
    """
    play = _Play(seed, number, entries)
    play.cut(play.other, play.registrars)
    play.run()


@pytest.mark.parametrize(
    ("seed", "number", "entries"), [(1, 0, 8), (1, 0, 10), (4, 3, 10)]
)
def test_the_same_while_the_two_entries_are_cut_off_from_each_other(
    seed: int, number: int, entries: int
) -> None:
    """Guards against two entries that only a third one connects."""
    play = _Play(seed, number, entries)
    play.cut(play.other, [*play.registrars, play.late])
    play.run()


@pytest.mark.parametrize(
    ("seed", "number", "entries"), [(1, 0, 8), (1, 0, 10), (4, 3, 10)]
)
def test_late_request_meets_repetition_without_its_registrars(
    seed: int, number: int, entries: int
) -> None:
    """Guards against a late request that asks only those it reaches."""
    play = _Play(seed, number, entries)
    play.cut(play.late, [*play.registrars, play.other])
    play.run()


@pytest.mark.parametrize(
    ("seed", "number", "entries"), [(1, 0, 8), (1, 0, 10), (4, 3, 10)]
)
def test_late_request_meets_repetition_in_a_split(
    seed: int, number: int, entries: int
) -> None:
    """Guards against two entries that reach no common one."""
    play = _Play(seed, number, entries)
    play.cut(play.late, [*play.rest[::2], play.other])
    play.cut(play.other, play.rest[1::2])
    play.run()


@pytest.mark.parametrize("up_s", [0.002, 0.005, 0.02, 0.05, 0.1])
@pytest.mark.parametrize(("seed", "number"), [(3, 2), (5, 7)])
def test_entry_that_just_started_starts_no_repeated_job(
    seed: int, number: int, up_s: float
) -> None:
    """Guards against an entry that asks before its streams are open."""
    play = _Play(seed, number, entries=10)
    play.restart([play.late], up_s)
    play.run()


@pytest.mark.parametrize("up_s", [0.005, 0.02, 0.05])
@pytest.mark.parametrize(("seed", "number"), [(3, 2), (5, 7)])
def test_registrars_that_just_started_are_asked_again(
    seed: int, number: int, up_s: float
) -> None:
    """Guards against the word of a registrar that knows nothing yet."""
    play = _Play(seed, number, entries=10)
    play.restart([play.late, *play.registrars], up_s)
    play.run()


@pytest.mark.parametrize(
    ("seed", "number"), [(11, 27), (18, 26), (21, 47), (24, 18)]
)
def test_jobs_are_registered_anew_when_their_registrars_are_lost(
    seed: int, number: int
) -> None:
    """Guards against a job that nobody knows after its registrars are lost."""
    play = _Play(seed, number, entries=10)
    for name in play.registrars:
        kill = functools.partial(play.world.kill, name, 10.0)
        play.world.at(faults.REPEAT_S + 0.15, kill)
    play.run()
