"""Incoming handovers: runs jobs of other entries under a lease.

This entry (the delegate) takes a job only if all of its first tasks can start
now, in addition to the jobs that wait here; from then on it is scheduled like
any other. It runs only while the entry that offered it (the delegator) renews
its lease. The lease counts from the sending of the renewal request that was
answered, so that clocks of different machines are never compared. When it
expires the job is stopped. The grants of the agents that run the job are
shortened by the age of that request, so that the runs end in the usual time
after the last renewal even if this process fails in the meantime.
"""

from collections import abc
import math

import msgspec

from ferryledge import decoding
from ferryledge.leases import _entry_notes
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _spare_capacity
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between renewal requests; well below the lifetime of the lease.
_RENEWAL_INTERVAL_S = 0.1
#: Largest number of jobs of other entries that are held.
_MAX_HELD_JOBS = 200
#: Largest number of capacity reports that are remembered.
_MAX_REPORTS = 200
_NEVER = float("inf")

Send = abc.Callable[[str, wire.Message], None]
AddJob = abc.Callable[[float, _jobs.Job], None]
DropRequest = abc.Callable[[float, int, str], None]
RunsElsewhere = abc.Callable[[str, float], bool]


class _Held(msgspec.Struct):
    """A job that is held for another entry."""

    peer: str
    #: The delegator's incarnation.
    delegator: str
    #: The number of the offer.
    number: int
    job: _jobs.Job


class _Delegator(msgspec.Struct):
    """An entry for which jobs are held."""

    peer: str
    incarnation: str
    next_renewal_at: float
    #: Whether its stream is open.
    connected: bool = True
    #: Unanswered renewal requests by number: when each was sent, and the
    #: offers that it lists.
    requests: dict[int, tuple[float, tuple[int, ...]]] = msgspec.field(
        default_factory=dict
    )
    #: Unconfirmed results, each with the number of the last request before it.
    unconfirmed: list[tuple[int, wire.HandoverEnded]] = msgspec.field(
        default_factory=list
    )


class IncomingHandovers:
    """Takes jobs of other entries and reports their results.

    :param incarnation: the incarnation of this process
    :param jobs: the jobs that this entry holds
    :param spare: the spare capacity of this entry
    :param run_times: estimates of run times
    :param notes: records decisions
    :param send: sends a message to an entry
    :param add_job: adds a job to those that this entry runs
    :param drop_request: cancels a request for a job, by its token
    :param runs_elsewhere: returns whether another entry holds a job, given
        its name and for how long its client waits
    """

    def __init__(
        self,
        incarnation: str,
        jobs: _job_table.JobTable,
        spare: _spare_capacity.SpareCapacity,
        run_times: placement.RunTimes,
        notes: _entry_notes.EntryNotes,
        send: Send,
        add_job: AddJob,
        drop_request: DropRequest,
        runs_elsewhere: RunsElsewhere,
    ) -> None:
        self._incarnation = incarnation
        self._jobs = jobs
        self._spare = spare
        self._run_times = run_times
        self._notes = notes
        self._send = send
        self._add_job = add_job
        self._drop_request = drop_request
        self._runs_elsewhere = runs_elsewhere
        #: When each capacity report was sent, by its number.
        self._reported_at: dict[int, float] = {}
        self._last_report = 0
        #: Jobs by token. Tokens are negative; those of clients are positive.
        self._held: dict[int, _Held] = {}
        self._last_token = 0
        self._delegators: dict[str, _Delegator] = {}
        self._last_request = 0
        self.is_draining = False

    def __len__(self) -> int:
        return len(self._held)

    @property
    def due_at(self) -> float:
        """When to tick at the latest, in monotonic seconds."""
        if not self._held and not self._delegators:
            return _NEVER
        renewals = [
            delegator.next_renewal_at
            for delegator in self._delegators.values()
            if delegator.connected
        ]
        expiries = [
            authorised_at + _outgoing_handovers.HANDOVER_LEASE_S
            for authorised_at in self._jobs.authorised_at.values()
        ]
        return min(renewals + expiries, default=_NEVER)

    # Offers.

    def report_capacity(self, now: float, peer: str, service: str) -> None:
        """Report to an entry the capacity that its jobs could use."""
        self._last_report += 1
        self._reported_at[self._last_report] = now
        if len(self._reported_at) > _MAX_REPORTS:
            del self._reported_at[next(iter(self._reported_at))]
        cpu_millis = 0
        if not self.is_draining and len(self._held) < _MAX_HELD_JOBS:
            spare = self._spare.cpu_millis(now, service)
            cpu_millis = min(spare, decoding.MAX_INTEGER)
        message = wire.CapacityReport(self._last_report, service, cpu_millis)
        self._send(peer, message)

    def on_offer(self, now: float, peer: str, offer: wire.OfferJob) -> None:
        """Accept or decline an offer."""
        job = self._make_job(now, offer)
        declined = self._reason_to_decline(now, offer, job)
        answer = wire.OfferAnswered(offer.delegator, offer.number, declined)
        reported_at = self._reported_at.get(offer.capacity_report, -math.inf)
        self._notes.offer_decided(now, offer, peer, declined, reported_at)
        if job is not None and declined is None:
            self._hold(now, peer, offer, job, reported_at)
        self._send(peer, answer)

    def _reason_to_decline(
        self, now: float, offer: wire.OfferJob, job: _jobs.Job | None
    ) -> wire.DeclineReason | None:
        """Return why an offer is declined; ``None`` if it is accepted."""
        reasons = wire.DeclineReason
        reported_at = self._reported_at.get(offer.capacity_report, -math.inf)
        if offer.delegate != self._incarnation:
            return reasons.OLD
        if now - reported_at > _outgoing_handovers.CAPACITY_VALID_S:
            return reasons.OLD
        if self.is_draining:
            return reasons.LEAVING
        if job is None:
            return reasons.MALFORMED
        name = offer.job
        if self._jobs.find(name) or self._jobs.is_over(name):
            return reasons.KNOWN
        if self._runs_elsewhere(name, offer.deadline_s):
            return reasons.KNOWN
        if not self._spare.can_start(now, job):
            return reasons.ROOM
        return None

    def _make_job(self, now: float, offer: wire.OfferJob) -> _jobs.Job | None:
        """Return the offered job; ``None`` if the offer is malformed."""
        try:
            spec = wire.unpack_text(offer.packed_spec)
        except wire.PackingError:
            return None
        if not offer.steps:
            return None
        request = _make_request(offer, spec)
        estimate = max(step.estimate_s for step in request.steps)
        name = request.job_class.name
        return _jobs.Job(
            request,
            [],
            now - offer.waited_s,
            self._run_times.predict(name, estimate),
            _jobs.make_tasks(request),
            self._run_times.spread(name),
            is_incoming=True,
        )

    def _hold(
        self,
        now: float,
        peer: str,
        offer: wire.OfferJob,
        job: _jobs.Job,
        reported_at: float,
    ) -> None:
        self._last_token -= 1
        job.tokens.append(self._last_token)
        held = _Held(peer, offer.delegator, offer.number, job)
        self._held[self._last_token] = held
        self._jobs.authorised_at[job.name] = reported_at
        delegator = self._delegators.get(peer)
        if delegator is None or delegator.incarnation != offer.delegator:
            # Leases of a former incarnation expire, since nobody renews them.
            due = now + _RENEWAL_INTERVAL_S
            self._delegators[peer] = _Delegator(peer, offer.delegator, due)
        self._add_job(now, job)

    def delegator_of(self, name: str) -> str:
        """Return the entry for which a job is held; empty if there is none."""
        for held in self._held.values():
            if held.job.name == name:
                return held.peer
        return ""

    def on_withdrawal(self, now: float, message: wire.WithdrawJob) -> None:
        """Stop a job that its delegator withdrew."""
        self._drop_matching(
            now,
            lambda held: (
                held.delegator == message.delegator
                and held.number == message.number
            ),
        )

    def _drop_matching(
        self, now: float, matches: abc.Callable[[_Held], bool]
    ) -> None:
        for token, held in list(self._held.items()):
            if matches(held):
                del self._held[token]
                del self._jobs.authorised_at[held.job.name]
                self._drop_request(now, token, held.job.name)

    def answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Report a job's result to its delegator."""
        held = self._held.pop(token, None)
        if held is None:
            return
        del self._jobs.authorised_at[held.job.name]
        delegator = self._delegators.get(held.peer)
        if delegator is None or delegator.incarnation != held.delegator:
            return
        result = _make_result(held, outcome)
        delegator.unconfirmed.append((self._last_request, result))
        if delegator.connected:
            self._send(held.peer, result)

    # The lease.

    def check(self, now: float) -> None:
        """Stop jobs with an expired lease; call before runs are ordered."""
        if not self._held:
            return
        oldest = now - _outgoing_handovers.HANDOVER_LEASE_S
        authorised_at = self._jobs.authorised_at
        for held in self._held.values():
            if authorised_at[held.job.name] <= oldest:
                self._notes.lease_expired(held.job, held.peer)
        self._drop_matching(
            now, lambda held: authorised_at[held.job.name] <= oldest
        )

    def request_renewals(self, now: float) -> None:
        """Send the renewal requests that are due."""
        for delegator in list(self._delegators.values()):
            if not delegator.connected or now < delegator.next_renewal_at:
                continue
            offers = tuple(
                held.number
                for held in self._held.values()
                if held.peer == delegator.peer
                and held.delegator == delegator.incarnation
            )
            if not offers and not delegator.unconfirmed:
                del self._delegators[delegator.peer]
                continue
            self._last_request += 1
            delegator.requests[self._last_request] = (now, offers)
            delegator.next_renewal_at = now + _RENEWAL_INTERVAL_S
            message = wire.HandoverGrantRequest(
                delegator.incarnation, self._last_request, offers
            )
            self._send(delegator.peer, message)

    def on_grant(
        self, now: float, peer: str, grant: wire.HandoverGrant
    ) -> None:
        """Renew the leases that a grant lists; stop the other jobs."""
        delegator = self._delegators.get(peer)
        if delegator is None or delegator.incarnation != grant.delegator:
            return
        delegator.unconfirmed = [
            result
            for result in delegator.unconfirmed
            if result[0] >= grant.number
        ]
        request = delegator.requests.pop(grant.number, None)
        if request is None:
            return
        requested_at, requested = request
        for older in [n for n in delegator.requests if n < grant.number]:
            del delegator.requests[older]
        renewed = set(grant.offers)
        for held in self._held.values():
            if held.delegator == grant.delegator and held.number in renewed:
                self._jobs.authorised_at[held.job.name] = requested_at
        dropped = set(requested) - renewed
        self._drop_matching(
            now,
            lambda held: (
                held.delegator == grant.delegator and held.number in dropped
            ),
        )

    def join(self, now: float, hello: wire.Hello) -> None:
        """Resume with a delegator whose stream is open again.

        Unconfirmed results are sent again. Jobs of a former incarnation are
        stopped.
        """
        delegator = self._delegators.get(hello.name)
        if delegator is None:
            return
        if delegator.incarnation != hello.incarnation:
            del self._delegators[hello.name]
            self._drop_matching(
                now,
                lambda held: (
                    held.peer == hello.name
                    and held.delegator != hello.incarnation
                ),
            )
            return
        delegator.connected = True
        delegator.requests.clear()
        delegator.next_renewal_at = now
        results = [result for _, result in delegator.unconfirmed]
        delegator.unconfirmed = [
            (self._last_request, result) for result in results
        ]
        for result in results:
            self._send(hello.name, result)

    def leave(self, peer: str) -> None:
        """Mark an entry as disconnected; its stream broke."""
        delegator = self._delegators.get(peer)
        if delegator is not None:
            delegator.connected = False


def _make_request(offer: wire.OfferJob, spec: str) -> _jobs.LeasedJob:
    offered = offer.job_class
    job_class = _jobs.JobClass(
        offered.name,
        offered.service,
        offered.priority,
        offered.attempts,
        offered.stretch,
        offered.target_s,
        offered.late_factor,
    )
    steps = tuple(
        _jobs.JobStep(
            step.count,
            step.need,
            step.estimate_s,
            step.depends_on,
            step.label,
            step.max_per_endpoint,
            step.near,
        )
        for step in offer.steps
    )
    return _jobs.LeasedJob(offer.job, job_class, spec, steps, offer.deadline_s)


def _make_result(
    held: _Held, outcome: outcomes.JobOutcome
) -> wire.HandoverEnded:
    """Return the result that is reported to the delegator.

    If this entry gave up for lack of time, the job is reported as stopped and
    the delegator decides: it knows how long its client waits.
    """
    how = wire.HandoverOutcome.STOPPED
    reason = ""
    peer = ""
    match outcome:
        case outcomes.Complete():
            how = wire.HandoverOutcome.DONE
        case outcomes.Refused() | outcomes.FailedNotRun():
            how = wire.HandoverOutcome.NOT_RUN
        case outcomes.FailedMayHaveRun(
            (outcomes.Reason.TASK_FAILED | outcomes.Reason.CANCELLED) as why,
            origin,
        ):
            how = wire.HandoverOutcome.FAILED
            reason = str(why)
            peer = origin.peer
    return wire.HandoverEnded(held.delegator, held.number, how, reason, peer)
