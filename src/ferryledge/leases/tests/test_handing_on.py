"""Whom the giver asks and offers to, without a network."""

import collections
import random
import typing

import pytest

from ferryledge import leases
from ferryledge.leases import _entry_notes
from ferryledge.leases import _handing_on
from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire


class Giver:
    """A giver, and what it does."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, wire.Message]] = []
        self.finished: list[outcomes.JobOutcome] = []
        notes = _entry_notes.EntryNotes(_meters.EntryMeter())
        self.core = _handing_on.HandingOn(
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
def giver() -> Giver:
    return Giver()


def _job(number: int = 0, cpu_millis: int = 1000) -> _jobs.Job:
    step = leases.JobStep(1, wire.Resources(cpu_millis, 100, 0), 0.2)
    request = leases.LeasedJob(
        f"{number:016x}", worlds.JOB_CLASS, "spec", (step,), 5.0
    )
    return _jobs.Job(request, [1], 0.0, 0.2, _jobs.make_tasks(request))


def test_it_asks_four_half_of_them_in_its_zone(giver: Giver) -> None:
    giver.join(*(f"near-{n}" for n in range(8)))
    giver.join(*(f"far-{n}" for n in range(8)), zone="south")
    giver.core.plan(0.0, [_job()])
    zones = collections.Counter(one.partition("-")[0] for one in giver.asked())
    assert zones == {"near": 2, "far": 2}


def test_it_asks_less_often_while_none_has_room(giver: Giver) -> None:
    giver.join("entry-1")
    for tick in range(100):
        giver.core.plan(tick * 0.01, [_job()])
    assert len(giver.asked()) < 9


def test_it_offers_at_its_zone_first(giver: Giver) -> None:
    giver.join("entry-1")
    giver.join("entry-2", zone="south")
    giver.tell(0.0, "entry-1", 1000)
    giver.tell(0.0, "entry-2", 8000)
    giver.core.plan(0.01, [_job(0), _job(1)])
    assert [name for name, _ in giver.offers()] == ["entry-1", "entry-2"]


def test_it_counts_what_it_offered(giver: Giver) -> None:
    giver.join("entry-1")
    giver.tell(0.0, "entry-1", 2500)
    giver.core.plan(0.01, [_job(number) for number in range(5)])
    assert len(giver.offers()) == 2


def test_it_goes_by_no_old_word(giver: Giver) -> None:
    giver.join("entry-1")
    giver.tell(0.0, "entry-1", 8000)
    giver.core.plan(_handing_on.ROOM_FOR_S, [_job()])
    assert not giver.offers()


def test_a_handed_in_job_goes_no_further(giver: Giver) -> None:
    giver.join("entry-1")
    giver.tell(0.0, "entry-1", 8000)
    job = _job()
    job.is_handed_in = True
    giver.core.plan(0.01, [job])
    assert not giver.sent


def _offered(giver: Giver) -> tuple[_jobs.Job, wire.OfferJob]:
    giver.join("entry-1")
    giver.tell(0.0, "entry-1", 8000)
    job = _job()
    giver.core.plan(0.01, [job])
    return job, giver.offers()[0][1]


def test_a_declined_job_never_ran(giver: Giver) -> None:
    job, offer = _offered(giver)
    assert job.has_begun
    declined = wire.Declined.ROOM
    answer = wire.OfferAnswered(offer.giver, offer.number, declined)
    giver.core.answered(0.02, "entry-1", answer)
    assert not job.has_begun
    assert not job.is_away


@pytest.mark.parametrize(
    "peer,change",
    [
        ("entry-2", {}),
        ("entry-1", {"giver": "0.0"}),
        ("entry-1", {"number": 9}),
    ],
)
def test_a_result_of_something_else_is_dropped(
    giver: Giver, peer: str, change: dict[str, typing.Any]
) -> None:
    _, offer = _offered(giver)
    named = {"giver": offer.giver, "number": offer.number} | change
    handled = wire.JobHandled(how=wire.HowHandled.DONE, **named)
    giver.core.handled(0.1, peer, handled)
    assert not giver.finished


def test_a_lost_job_comes_back_when_all_runs_are_over(giver: Giver) -> None:
    job, offer = _offered(giver)
    ask = wire.AskHandedIn(offer.giver, 1, (offer.number,))
    giver.core.asked(0.1, "entry-1", ask)
    over_after_s = leases.LeaseTiming().over_after_s
    assert not giver.core.look(0.1 + over_after_s)
    assert giver.core.look(0.11 + over_after_s + _handing_on.ROOM_FOR_S)
    assert not job.is_away
    assert job.has_begun


def test_a_lost_job_gets_no_sign_any_more(giver: Giver) -> None:
    _, offer = _offered(giver)
    giver.core.look(1.0)
    ask = wire.AskHandedIn(offer.giver, 1, (offer.number,))
    giver.core.asked(1.0, "entry-1", ask)
    assert giver.sent[-1][1] == wire.GrantHandedIn(offer.giver, 1, ())
