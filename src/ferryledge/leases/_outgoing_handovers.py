"""Outgoing handovers: offers waiting jobs to other entries.

Callers may overload some entries while others are idle, and an entry may have
no usable agents because it has just started or its zones are cordoned. A job
that would start too late here is offered to an entry (the delegate) that
reported spare capacity a moment ago. While all jobs can start in time, no
messages are sent.

This entry (the delegator) answers the client, exactly once, so it must know
when the delegate's runs are over. The delegate holds a lease on the job: it
starts with the offer, and the delegator renews it by its answers to the
delegate's renewal requests, each of which lists the offers that go on. The
lease expires :data:`HANDOVER_LEASE_S` after the delegate sent the renewed
request, and the grants of the delegate's agents are shortened by the age of
that request. So all runs are over ``LeaseTiming.over_after_s`` after the last
renewal, as if this entry had granted them itself. Only then is the job run
here.
"""

from collections import abc
import random

import msgspec

from ferryledge.leases import _cordons
from ferryledge.leases import _entry_notes
from ferryledge.leases import _jobs
from ferryledge.leases import _spare_capacity
from ferryledge.leases import _timing
from ferryledge import outcomes
from ferryledge import wire

#: Lifetime of the delegate's lease on a job, in seconds. It is far below the
#: time after which a client whose entry is lost submits its job again (1.3 s).
#: Should the delegate fail as well, the grants of its agents expire in their
#: usual time after the last renewal.
HANDOVER_LEASE_S = 0.3
#: Seconds for which the delegate accepts offers for capacity it reported.
CAPACITY_VALID_S = 0.1
#: Seconds for which the delegator uses reported capacity; shorter, since the
#: offer takes time to arrive.
_CAPACITY_USABLE_S = 0.05
#: Entries that are asked for their capacity at once. The offer goes to the
#: better of two that are chosen at random among those with enough capacity, so
#: that delegators don't all choose the same one.
_ENTRIES_PER_REQUEST = 4
#: Seconds between capacity requests while some entry has capacity, and the
#: upper bound of the backoff while none has.
_MIN_REQUEST_INTERVAL_S = 0.04
_MAX_REQUEST_INTERVAL_S = 0.2
#: Largest number of times that a job is offered.
_MAX_OFFERS = 2
#: Seconds that a capacity request, an offer and the delegate's order take.
OFFER_LEAD_S = 0.05
#: Run numbers that are reserved for one offer. Runs after it must have higher
#: numbers, since an endpoint rejects run numbers of a task that it has seen.
_RUN_NUMBERS_PER_OFFER = 100

Send = abc.Callable[[str, wire.Message], None]
Finish = abc.Callable[[float, _jobs.Job, outcomes.JobOutcome], None]


class _Peer(msgspec.Struct, frozen=True):
    """An entry that accepts handovers."""

    incarnation: str
    zone: str


class _CapacityReport(msgspec.Struct):
    """The spare capacity that an entry reported."""

    number: int
    cpu_millis: int
    reported_at: float


class Offer(msgspec.Struct):
    """A job that was offered to another entry, which may be running it."""

    number: int
    job: _jobs.Job
    peer: str
    #: The peer's incarnation.
    delegate: str
    #: When the delegate's lease was last renewed, in monotonic seconds.
    renewed_at: float
    accepted: bool = False
    #: Whether the lease is no longer renewed.
    is_abandoned: bool = False


class OutgoingHandovers:
    """Offers jobs to other entries, renews their leases, and takes results.

    :param incarnation: the incarnation of this process
    :param zone: its availability zone
    :param timing: the timing of leases
    :param rng: source of randomness for the choice of entries
    :param notes: records decisions
    :param send: sends a message to an entry
    :param finish: answers a job's clients
    """

    def __init__(
        self,
        incarnation: str,
        zone: str,
        timing: _timing.LeaseTiming,
        rng: random.Random,
        notes: _entry_notes.EntryNotes,
        send: Send,
        finish: Finish,
    ) -> None:
        self._incarnation = incarnation
        self._zone = zone
        self._over_after_s = CAPACITY_VALID_S + timing.over_after_s
        self._rng = rng
        self._notes = notes
        self._send = send
        self._finish = finish
        self._peers: dict[str, _Peer] = {}
        self._reports: dict[tuple[str, str], _CapacityReport] = {}
        self._offers: dict[int, Offer] = {}
        self._last_number = 0
        self._requested_at = float("-inf")
        self._request_interval_s = _MIN_REQUEST_INTERVAL_S

    @property
    def delegate_count(self) -> int:
        """The number of entries that accept handovers."""
        return len(self._peers)

    def has_uncordoned_delegate(self, cordons: _cordons.Cordons) -> bool:
        """Return whether an entry outside the cordoned zones takes jobs."""
        return any(
            not cordons.covers(peer.zone) for peer in self._peers.values()
        )

    @property
    def offers(self) -> abc.Collection[Offer]:
        """The offers of all jobs that are handed over."""
        return self._offers.values()

    # Peers.

    def join(self, hello: wire.Hello) -> None:
        """Add an entry whose stream was opened, if it accepts handovers."""
        self.leave(hello.name)
        if hello.takes_jobs and not hello.leaving:
            self._peers[hello.name] = _Peer(hello.incarnation, hello.zone)

    def leave(self, name: str) -> None:
        """Remove an entry whose stream broke."""
        self._peers.pop(name, None)
        for key in [key for key in self._reports if key[0] == name]:
            del self._reports[key]

    def note_capacity(
        self, now: float, peer: str, report: wire.CapacityReport
    ) -> None:
        """Store the spare capacity that an entry reported."""
        received = _CapacityReport(report.number, report.cpu_millis, now)
        self._reports[peer, report.service] = received
        if report.cpu_millis:
            self._request_interval_s = _MIN_REQUEST_INTERVAL_S

    # Offers.

    def offer_jobs(self, now: float, late: abc.Sequence[_jobs.Job]) -> None:
        """Offer jobs, and ask for the capacity that is missing.

        :param now: monotonic seconds
        :param late: jobs that would start too late here, most urgent first
        """
        services = set()
        for job in late:
            if job.is_registering:
                continue
            if job.is_incoming or job.offers >= _MAX_OFFERS:
                continue
            service = job.request.job_class.service
            name = self._choose_delegate(
                now, service, _spare_capacity.startable_cpu_millis(job)
            )
            if name is not None:
                self._offer(now, job, name)
            else:
                services.add(service)
        if services and now - self._requested_at >= self._request_interval_s:
            self._request_capacity(now, sorted(services))

    def _choose_delegate(
        self, now: float, service: str, cpu_millis: int
    ) -> str | None:
        """Return an entry with capacity for a job; ``None`` without one."""
        fitting = [
            name
            for name, peer in self._peers.items()
            if (report := self._reports.get((name, service))) is not None
            and now - report.reported_at <= _CAPACITY_USABLE_S
            and report.cpu_millis >= cpu_millis
        ]
        in_zone = [n for n in fitting if self._peers[n].zone == self._zone]
        names = in_zone or fitting
        if not names:
            return None
        candidates = self._rng.sample(names, min(2, len(names)))
        return max(
            candidates, key=lambda n: self._reports[n, service].cpu_millis
        )

    def _request_capacity(self, now: float, services: list[str]) -> None:
        self._requested_at = now
        # Back off until an entry reports capacity.
        self._request_interval_s = min(
            _MAX_REQUEST_INTERVAL_S, 2.0 * self._request_interval_s
        )
        for name in self._entries_to_ask():
            for service in services:
                self._send(name, wire.CapacityRequest(service))

    def _entries_to_ask(self) -> list[str]:
        """Return the entries to ask, half of them in this entry's zone."""
        names = list(self._peers)
        self._rng.shuffle(names)
        in_zone = [n for n in names if self._peers[n].zone == self._zone]
        others = [name for name in names if name not in in_zone]
        half = max(
            _ENTRIES_PER_REQUEST // 2, _ENTRIES_PER_REQUEST - len(others)
        )
        chosen = in_zone[:half]
        return chosen + others[: _ENTRIES_PER_REQUEST - len(chosen)]

    def _offer(self, now: float, job: _jobs.Job, name: str) -> None:
        service = job.request.job_class.service
        report = self._reports[name, service]
        report.cpu_millis -= _spare_capacity.startable_cpu_millis(job)
        self._last_number += 1
        peer = self._peers[name]
        offer = Offer(self._last_number, job, name, peer.incarnation, now)
        self._offers[offer.number] = offer
        message = _make_offer(now, offer, self._incarnation, report.number)
        job.is_delegated = True
        job.offers += 1
        # From now on the job counts as possibly run.
        job.dispatched_at = now
        self._notes.offered(
            now, job, name, report.cpu_millis, report.reported_at
        )
        self._send(name, message)

    def on_offer_answered(
        self, now: float, peer: str, answer: wire.OfferAnswered
    ) -> None:
        """Handle the answer to an offer."""
        offer = self._find_offer(peer, answer.delegator, answer.number)
        if offer is None:
            return
        if answer.declined is None:
            offer.accepted = True
            self._notes.accepted(now, offer.job, peer)
            return
        self._notes.declined(now, offer.job, peer, answer.declined)
        self._reports.pop((peer, offer.job.request.job_class.service), None)
        self._take_back_unrun(offer)
        if answer.declined is wire.DeclineReason.KNOWN:
            # The client has submitted the job at another entry as well.
            origin = outcomes.Origin(outcomes.Step.MOVE, peer)
            reason = outcomes.Reason.DUPLICATE
            outcome = outcomes.FailedMayHaveRun(reason, origin)
            self._finish(now, offer.job, outcome)

    def on_job_handled(
        self, now: float, peer: str, handled: wire.HandoverEnded
    ) -> None:
        """Handle the result of a job that was handed over."""
        offer = self._find_offer(peer, handled.delegator, handled.number)
        if offer is None:
            self._notes.result_ignored(peer, handled)
            return
        self._notes.handled(now, offer.job, peer, handled)
        match handled.how:
            case wire.HandoverOutcome.NOT_RUN:
                self._take_back_unrun(offer)
            case wire.HandoverOutcome.DONE:
                self._take_back(offer)
                self._finish(now, offer.job, outcomes.Complete(()))
            case wire.HandoverOutcome.FAILED:
                offer.is_abandoned = True
                self._finish(now, offer.job, _make_failure(handled))
            case wire.HandoverOutcome.STOPPED:
                offer.is_abandoned = True

    def _find_offer(
        self, peer: str, delegator: str, number: int
    ) -> Offer | None:
        offer = self._offers.get(number)
        if (
            offer is None
            or offer.peer != peer
            or delegator != self._incarnation
        ):
            return None
        return offer

    def _take_back(self, offer: Offer) -> None:
        del self._offers[offer.number]
        offer.job.is_delegated = False

    def _take_back_unrun(self, offer: Offer) -> None:
        """Take back a job of which no task was run."""
        self._take_back(offer)
        offer.job.dispatched_at = None

    def withdraw(self, job: _jobs.Job) -> None:
        """Have the delegate stop a job that no client waits for."""
        for offer in self._offers.values():
            if offer.job is job and not offer.is_abandoned:
                offer.is_abandoned = True
                message = wire.WithdrawJob(self._incarnation, offer.number)
                self._send(offer.peer, message)

    # The lease.

    def renew_leases(
        self, now: float, peer: str, request: wire.HandoverGrantRequest
    ) -> None:
        """Renew the leases on the jobs that the delegate is to go on with."""
        if request.delegator != self._incarnation:
            return
        renewed = []
        for number in request.offers:
            offer = self._find_offer(peer, request.delegator, number)
            if offer is not None and not self._is_expired(now, offer):
                offer.accepted = True
                offer.renewed_at = now
                renewed.append(number)
        grant = wire.HandoverGrant(
            request.delegator, request.number, tuple(renewed)
        )
        self._send(peer, grant)

    def _is_expired(self, now: float, offer: Offer) -> bool:
        """Return whether an offer's lease is no longer renewed."""
        is_silent = (
            now - offer.renewed_at > HANDOVER_LEASE_S + CAPACITY_VALID_S
        )
        return offer.is_abandoned or is_silent

    def _is_over(self, now: float, offer: Offer) -> bool:
        """Return whether no run of the job can be alive elsewhere."""
        return now - offer.renewed_at > self._over_after_s

    def take_back_expired(self, now: float) -> list[_jobs.Job]:
        """Take back the jobs whose runs must all be over elsewhere.

        :param now: monotonic seconds
        :return: the jobs; they are run here, or dropped if they are closed
        """
        returned = []
        for offer in list(self._offers.values()):
            if not offer.is_abandoned and self._is_expired(now, offer):
                offer.is_abandoned = True
                self._notes.handover_lost(
                    now, offer.job, offer.peer, offer.renewed_at
                )
            if self._is_over(now, offer):
                self._take_back(offer)
                for task in offer.job.all_tasks:
                    task.run += _RUN_NUMBERS_PER_OFFER
                returned.append(offer.job)
        return returned


def _make_offer(
    now: float, offer: Offer, delegator: str, report_number: int
) -> wire.OfferJob:
    request = offer.job.request
    job_class = request.job_class
    return wire.OfferJob(
        offer.number,
        delegator,
        offer.delegate,
        report_number,
        request.job,
        offer.job.pack_spec(),
        wire.OfferedJobClass(
            job_class.name,
            job_class.service,
            job_class.priority,
            job_class.attempts,
            job_class.stretch,
            job_class.target_s,
            job_class.late_factor,
        ),
        tuple(
            wire.OfferedStep(
                step.count,
                step.need,
                step.estimate_s,
                step.depends_on,
                step.label,
                step.max_per_endpoint,
                step.near,
            )
            for step in request.steps
        ),
        now - offer.job.arrived_at,
        request.deadline_s,
    )


def _make_failure(handled: wire.HandoverEnded) -> outcomes.FailedMayHaveRun:
    origin = outcomes.Origin(outcomes.Step.RUN, handled.peer)
    reasons = {str(member): member for member in outcomes.Reason}
    reason = reasons.get(handled.reason, outcomes.Reason.TASK_FAILED)
    return outcomes.FailedMayHaveRun(reason, origin)
