"""Which entries get capacity requests and offers; no network."""

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


class Harness:
    """Drives outgoing handovers and records their effects."""

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
        """Open the streams of some entries."""
        for name in names:
            hello = wire.Hello(
                wire.Role.ENTRY, name, f"{name}.1", zone, takes_jobs=True
            )
            self.core.join(hello)

    def report(self, now: float, name: str, cpu_millis: int) -> None:
        """Let an entry report its spare capacity."""
        self.core.note_capacity(
            now, name, wire.CapacityReport(7, "desk", cpu_millis)
        )

    def asked(self) -> list[str]:
        """Return the entries that got a capacity request."""
        return [
            name
            for name, message in self.sent
            if isinstance(message, wire.CapacityRequest)
        ]

    def offers(self) -> list[tuple[str, wire.OfferJob]]:
        """Return the offers and the entries that got them."""
        return [
            (name, message)
            for name, message in self.sent
            if isinstance(message, wire.OfferJob)
        ]


@pytest.fixture
def harness() -> Harness:
    return Harness()


def _job(number: int = 0, cpu_millis: int = 1000) -> _jobs.Job:
    step = leases.JobStep(1, wire.Resources(cpu_millis, 100, 0), 0.2)
    request = leases.LeasedJob(
        f"{number:016x}", worlds.JOB_CLASS, "spec", (step,), 5.0
    )
    return _jobs.Job(request, [1], 0.0, 0.2, _jobs.make_tasks(request))


def test_half_of_four_requests_go_to_own_zone(harness: Harness) -> None:
    harness.join(*(f"near-{n}" for n in range(8)))
    harness.join(*(f"far-{n}" for n in range(8)), zone="south")
    harness.core.offer_jobs(0.0, [_job()])
    zones = collections.Counter(
        name.partition("-")[0] for name in harness.asked()
    )
    assert zones == {"near": 2, "far": 2}


def test_requests_back_off_without_capacity(harness: Harness) -> None:
    harness.join("entry-1")
    for tick in range(100):
        harness.core.offer_jobs(tick * 0.01, [_job()])
    assert len(harness.asked()) < 9


def test_own_zone_is_preferred(harness: Harness) -> None:
    harness.join("entry-1")
    harness.join("entry-2", zone="south")
    harness.report(0.0, "entry-1", 1000)
    harness.report(0.0, "entry-2", 8000)
    harness.core.offer_jobs(0.01, [_job(0), _job(1)])
    assert [name for name, _ in harness.offers()] == ["entry-1", "entry-2"]


def test_offers_reduce_known_capacity(harness: Harness) -> None:
    harness.join("entry-1")
    harness.report(0.0, "entry-1", 2500)
    harness.core.offer_jobs(0.01, [_job(number) for number in range(5)])
    assert len(harness.offers()) == 2


def test_outdated_reports_are_not_used(harness: Harness) -> None:
    harness.join("entry-1")
    harness.report(0.0, "entry-1", 8000)
    harness.core.offer_jobs(_outgoing_handovers.CAPACITY_VALID_S, [_job()])
    assert not harness.offers()


def test_incoming_job_is_not_offered_again(harness: Harness) -> None:
    harness.join("entry-1")
    harness.report(0.0, "entry-1", 8000)
    job = _job()
    job.is_incoming = True
    harness.core.offer_jobs(0.01, [job])
    assert not harness.sent


def _offered(harness: Harness) -> tuple[_jobs.Job, wire.OfferJob]:
    harness.join("entry-1")
    harness.report(0.0, "entry-1", 8000)
    job = _job()
    harness.core.offer_jobs(0.01, [job])
    return job, harness.offers()[0][1]


def test_declined_job_counts_as_not_run(harness: Harness) -> None:
    job, offer = _offered(harness)
    assert job.is_dispatched
    declined = wire.DeclineReason.ROOM
    answer = wire.OfferAnswered(offer.delegator, offer.number, declined)
    harness.core.on_offer_answered(0.02, "entry-1", answer)
    assert not job.is_dispatched
    assert not job.is_delegated


def test_job_that_the_delegate_knows_is_not_run_here(
    harness: Harness,
) -> None:
    """Guards against a start beside the runs of the job at the delegate."""
    _, offer = _offered(harness)
    declined = wire.DeclineReason.KNOWN
    answer = wire.OfferAnswered(offer.delegator, offer.number, declined)
    harness.core.on_offer_answered(0.02, "entry-1", answer)
    (outcome,) = harness.finished
    assert isinstance(outcome, outcomes.FailedMayHaveRun)
    assert outcome.reason is outcomes.Reason.DUPLICATE


@pytest.mark.parametrize(
    "peer,change",
    [
        ("entry-2", {}),
        ("entry-1", {"delegator": "0.0"}),
        ("entry-1", {"number": 9}),
    ],
)
def test_result_of_unknown_offer_is_ignored(
    harness: Harness, peer: str, change: dict[str, typing.Any]
) -> None:
    _, offer = _offered(harness)
    named = {"delegator": offer.delegator, "number": offer.number} | change
    handled = wire.HandoverEnded(how=wire.HandoverOutcome.DONE, **named)
    harness.core.on_job_handled(0.1, peer, handled)
    assert not harness.finished


def test_lost_job_is_taken_back_after_all_runs(
    harness: Harness,
) -> None:
    job, offer = _offered(harness)
    ask = wire.HandoverGrantRequest(offer.delegator, 1, (offer.number,))
    harness.core.renew_leases(0.1, "entry-1", ask)
    over_after_s = leases.LeaseTiming().over_after_s
    assert not harness.core.take_back_expired(0.1 + over_after_s)
    assert harness.core.take_back_expired(
        0.11 + over_after_s + _outgoing_handovers.CAPACITY_VALID_S
    )
    assert not job.is_delegated
    assert job.is_dispatched


def test_lease_of_lost_job_is_not_renewed(harness: Harness) -> None:
    _, offer = _offered(harness)
    harness.core.take_back_expired(1.0)
    ask = wire.HandoverGrantRequest(offer.delegator, 1, (offer.number,))
    harness.core.renew_leases(1.0, "entry-1", ask)
    assert harness.sent[-1][1] == wire.HandoverGrant(offer.delegator, 1, ())
