"""Whom the giver asks and offers to, without a network."""

import collections
import random
import typing

import pytest

from ferryledge import leases
from ferryledge.leases import _entry_notes
from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge.leases import _outgoing_handovers
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire


class Giver:
    """A giver, and what it does."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, wire.Message]] = []
        self.finished: list[outcomes.JobOutcome] = []
        notes = _entry_notes.EntryNotes(_meters.EntryMeter())
        self.core = _outgoing_handovers.OutgoingHandovers(
            "0.1",
            "north",
            leases.LeaseTiming(),
            random.Random(1),
            notes,
            lambda peer, message: self.sent.append((peer, message)),
            lambda now, job, outcome: self.finished.append(outcome),
        )

    def join(self, *names: str, zone: str = "north") -> None:
        """Let entries greet it."""
        for name in names:
            hello = wire.Hello(
                wire.Role.ENTRY, name, f"{name}.1", zone, takes_jobs=True
            )
            self.core.join(hello)

    def tell(self, now: float, name: str, cpu_millis: int) -> None:
        """Let an entry tell its room."""
        self.core.hear_room(now, name, wire.RoomTold(7, "desk", cpu_millis))

    def asked(self) -> list[str]:
        """Return the entries that were asked."""
        return [n for n, one in self.sent if isinstance(one, wire.AskRoom)]

    def offers(self) -> list[tuple[str, wire.OfferJob]]:
        """Return what was offered to whom."""
        return [
            (name, one)
            for name, one in self.sent
            if isinstance(one, wire.OfferJob)
        ]


@pytest.fixture
def delegator() -> Giver:
    return Giver()


def _job(number: int = 0, cpu_millis: int = 1000) -> _jobs.Job:
    step = leases.JobStep(1, wire.Resources(cpu_millis, 100, 0), 0.2)
    request = leases.LeasedJob(
        f"{number:016x}", worlds.JOB_CLASS, "spec", (step,), 5.0
    )
    return _jobs.Job(request, [1], 0.0, 0.2, _jobs.make_tasks(request))


def test_it_asks_four_half_of_them_in_its_zone(delegator: Giver) -> None:
    delegator.join(*(f"near-{n}" for n in range(8)))
    delegator.join(*(f"far-{n}" for n in range(8)), zone="south")
    delegator.core.plan(0.0, [_job()])
    zones = collections.Counter(
        one.partition("-")[0] for one in delegator.asked()
    )
    assert zones == {"near": 2, "far": 2}


def test_it_asks_less_often_while_none_has_room(delegator: Giver) -> None:
    delegator.join("entry-1")
    for tick in range(100):
        delegator.core.plan(tick * 0.01, [_job()])
    assert len(delegator.asked()) < 9


def test_it_offers_at_its_zone_first(delegator: Giver) -> None:
    delegator.join("entry-1")
    delegator.join("entry-2", zone="south")
    delegator.tell(0.0, "entry-1", 1000)
    delegator.tell(0.0, "entry-2", 8000)
    delegator.core.plan(0.01, [_job(0), _job(1)])
    assert [name for name, _ in delegator.offers()] == ["entry-1", "entry-2"]


def test_it_counts_what_it_offered(delegator: Giver) -> None:
    delegator.join("entry-1")
    delegator.tell(0.0, "entry-1", 2500)
    delegator.core.plan(0.01, [_job(number) for number in range(5)])
    assert len(delegator.offers()) == 2


def test_it_goes_by_no_old_word(delegator: Giver) -> None:
    delegator.join("entry-1")
    delegator.tell(0.0, "entry-1", 8000)
    delegator.core.plan(_outgoing_handovers.ROOM_FOR_S, [_job()])
    assert not delegator.offers()


def test_a_handed_in_job_goes_no_further(delegator: Giver) -> None:
    delegator.join("entry-1")
    delegator.tell(0.0, "entry-1", 8000)
    job = _job()
    job.is_incoming = True
    delegator.core.plan(0.01, [job])
    assert not delegator.sent


def _offered(delegator: Giver) -> tuple[_jobs.Job, wire.OfferJob]:
    delegator.join("entry-1")
    delegator.tell(0.0, "entry-1", 8000)
    job = _job()
    delegator.core.plan(0.01, [job])
    return job, delegator.offers()[0][1]


def test_a_declined_job_never_ran(delegator: Giver) -> None:
    job, offer = _offered(delegator)
    assert job.is_dispatched
    declined = wire.Declined.ROOM
    answer = wire.OfferAnswered(offer.delegator, offer.number, declined)
    delegator.core.answered(0.02, "entry-1", answer)
    assert not job.is_dispatched
    assert not job.is_delegated


@pytest.mark.parametrize(
    "peer,change",
    [
        ("entry-2", {}),
        ("entry-1", {"delegator": "0.0"}),
        ("entry-1", {"number": 9}),
    ],
)
def test_a_result_of_something_else_is_dropped(
    delegator: Giver, peer: str, change: dict[str, typing.Any]
) -> None:
    _, offer = _offered(delegator)
    named = {"delegator": offer.delegator, "number": offer.number} | change
    handled = wire.JobHandled(how=wire.HowHandled.DONE, **named)
    delegator.core.handled(0.1, peer, handled)
    assert not delegator.finished


def test_a_lost_job_comes_back_when_all_runs_are_over(
    delegator: Giver,
) -> None:
    job, offer = _offered(delegator)
    ask = wire.AskHandedIn(offer.delegator, 1, (offer.number,))
    delegator.core.asked(0.1, "entry-1", ask)
    over_after_s = leases.LeaseTiming().over_after_s
    assert not delegator.core.look(0.1 + over_after_s)
    assert delegator.core.look(
        0.11 + over_after_s + _outgoing_handovers.ROOM_FOR_S
    )
    assert not job.is_delegated
    assert job.is_dispatched


def test_a_lost_job_gets_no_sign_any_more(delegator: Giver) -> None:
    _, offer = _offered(delegator)
    delegator.core.look(1.0)
    ask = wire.AskHandedIn(offer.delegator, 1, (offer.number,))
    delegator.core.asked(1.0, "entry-1", ask)
    assert delegator.sent[-1][1] == wire.GrantHandedIn(offer.delegator, 1, ())
