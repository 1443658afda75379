"""Handover of jobs between entries: both directions behind one interface."""

import random

from ferryledge.leases import _cordons
from ferryledge.leases import _entry_notes
from ferryledge.leases import _incoming_handovers
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _spare_capacity
from ferryledge.leases import _timing
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Share of a job's latency objective for which a refusal is deferred, so that
#: another entry can take the job. The refusal is still prompt after it.
_DEFERRAL_SHARE = 0.2
_NEVER = float("inf")


class Handover:
    """Offers other entries jobs that would start too late here; takes theirs.

    :param incarnation: the incarnation of this process
    :param zone: its availability zone
    :param timing: the timing of leases
    :param is_enabled: whether handovers are enabled
    :param cordons: the availability zones that take no new work
    :param jobs: the jobs that this entry holds
    :param spare: the spare capacity of this entry
    :param run_times: estimates of run times
    :param rng: source of randomness for the choice of entries
    :param notes: records decisions
    :param send: sends a message to an entry
    :param finish: answers a job's clients
    :param add_job: adds a job to those that this entry runs
    :param drop_request: cancels a request for a job, by its token
    :param runs_elsewhere: returns whether another entry holds a job, given
        its name and for how long its client waits
    """

    def __init__(
        self,
        incarnation: str,
        zone: str,
        timing: _timing.LeaseTiming,
        is_enabled: bool,
        cordons: _cordons.Cordons,
        jobs: _job_table.JobTable,
        spare: _spare_capacity.SpareCapacity,
        run_times: placement.RunTimes,
        rng: random.Random,
        notes: _entry_notes.EntryNotes,
        send: _outgoing_handovers.Send,
        finish: _outgoing_handovers.Finish,
        add_job: _incoming_handovers.AddJob,
        drop_request: _incoming_handovers.DropRequest,
        runs_elsewhere: _incoming_handovers.RunsElsewhere,
    ) -> None:
        self._is_enabled = is_enabled
        self._cordons = cordons
        self._jobs = jobs
        self._spare = spare
        self._finish = finish
        self._outgoing = _outgoing_handovers.OutgoingHandovers(
            incarnation, zone, timing, rng, notes, send, finish
        )
        self._incoming = _incoming_handovers.IncomingHandovers(
            incarnation,
            jobs,
            spare,
            run_times,
            notes,
            send,
            add_job,
            drop_request,
            runs_elsewhere,
        )
        self._is_draining = False
        #: Whether the next tick looks for jobs to offer.
        self._offers_due = False
        #: Jobs with a deferred refusal, by name.
        self._deferred: dict[str, tuple[_jobs.Job, outcomes.Refused]] = {}

    @property
    def due_at(self) -> float:
        """When to tick at the latest, in monotonic seconds."""
        return self._incoming.due_at

    @property
    def takes_jobs(self) -> bool:
        """Whether handovers are enabled here; also true while draining."""
        return self._is_enabled

    # Events.

    def join(self, now: float, hello: wire.Hello) -> None:
        """Add an entry whose stream was opened."""
        if self._is_enabled:
            self._outgoing.join(hello)
            self._incoming.join(now, hello)

    def leave(self, name: str) -> None:
        """Remove an entry whose stream broke."""
        self._outgoing.leave(name)
        self._incoming.leave(name)

    def drain(self) -> None:
        """Accept no more jobs, and offer all undispatched ones."""
        self._is_draining = True
        self._incoming.is_draining = True

    def receive(self, now: float, peer: str, message: wire.Message) -> bool:
        """Handle a message of another entry.

        :param now: monotonic seconds
        :param peer: the sender
        :param message: the message; unrelated ones are ignored
        :return: whether a job came back that may be placed here now
        """
        if not self._is_enabled:
            return False
        match message:
            case wire.OfferAnswered():
                self._outgoing.on_offer_answered(now, peer, message)
                return message.declined is not None
            case wire.HandoverEnded():
                self._outgoing.on_job_handled(now, peer, message)
                return message.how is wire.HandoverOutcome.NOT_RUN
            case wire.CapacityReport():
                self._outgoing.note_capacity(now, peer, message)
                self._offers_due = True
            case wire.HandoverGrantRequest():
                self._outgoing.renew_leases(now, peer, message)
            case _:
                self._receive_as_delegate(now, peer, message)
        return False

    def _receive_as_delegate(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        match message:
            case wire.CapacityRequest(service):
                self._incoming.report_capacity(now, peer, service)
            case wire.OfferJob():
                self._incoming.on_offer(now, peer, message)
            case wire.WithdrawJob():
                self._incoming.on_withdrawal(now, message)
            case wire.HandoverGrant():
                self._incoming.on_grant(now, peer, message)

    def defer_refusal(self, job: _jobs.Job, refusal: outcomes.Refused) -> bool:
        """Defer a refusal on arrival if another entry may run the job.

        :param job: the job that would be refused
        :param refusal: the refusal to give if no entry takes it in time
        :return: whether the refusal is deferred
        """
        if refusal.reason is outcomes.Reason.IMPOSSIBLE:
            return False
        if not self._outgoing.has_uncordoned_delegate(self._cordons):
            return False
        self._deferred[job.name] = (job, refusal)
        return True

    def answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Report a job's result to its delegator."""
        self._incoming.answer(token, outcome)

    def delegator_of(self, name: str) -> str:
        """Return the entry for which a job is held; empty if there is none."""
        return self._incoming.delegator_of(name)

    def withdraw(self, job: _jobs.Job) -> None:
        """Stop a job at the entry that it was handed over to, if any."""
        if job.is_delegated:
            self._outgoing.withdraw(job)

    # Periodic work.

    def schedule_offers(self) -> None:
        """Let the next :meth:`offer_and_reclaim` look for jobs to offer."""
        self._offers_due = self._outgoing.delegate_count > 0

    def check(self, now: float) -> None:
        """Stop jobs with an expired lease; call before runs are ordered."""
        self._incoming.check(now)

    def offer_and_reclaim(self, now: float) -> list[_jobs.Job]:
        """Offer late jobs, refuse deferred ones and take back expired ones.

        Renewals are requested for the jobs of other entries that run here.

        :param now: monotonic seconds
        :return: jobs that came back from other entries, to be run here
        """
        if self._offers_due:
            self._offers_due = False
            if self._jobs.undispatched:
                self._offer_late(now)
            self._refuse_deferred(now)
        self._incoming.request_renewals(now)
        return self._outgoing.take_back_expired(now)

    def _offer_late(self, now: float) -> None:
        if self._is_draining:
            self._outgoing.offer_jobs(now, self._spare.late_jobs(now, _NEVER))
        elif self._spare.others_may_have_more(
            now, self._outgoing.delegate_count
        ):
            self._outgoing.offer_jobs(
                now,
                self._spare.late_jobs(now, _outgoing_handovers.OFFER_LEAD_S),
            )

    def _refuse_deferred(self, now: float) -> None:
        """Send the deferred refusals of jobs that no entry took in time."""
        for name, (job, refusal) in list(self._deferred.items()):
            if job.closed or job.is_delegated:
                continue
            if job.is_dispatched:
                del self._deferred[name]
            elif now - job.arrived_at > _DEFERRAL_SHARE * job.objective_s:
                del self._deferred[name]
                self._finish(now, job, refusal)
        closed = [
            name for name, entry in self._deferred.items() if entry[0].closed
        ]
        for name in closed:
            del self._deferred[name]
