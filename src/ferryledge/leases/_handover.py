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
_KEPT_SHARE = 0.2
_NEVER = float("inf")


class Handover:
    """Offers jobs to other entries that start too late here, and takes theirs.

    :param incarnation: the incarnation of this process
    :param zone: its availability zone
    :param timing: the timing of leases
    :param is_on: whether handovers are enabled
    :param cordons: the availability zones that take no new work
    :param jobs: the jobs that this entry holds
    :param room: the spare capacity of this entry
    :param run_times: estimates of run times
    :param rng: source of randomness for the choice of entries
    :param notes: records decisions
    :param send: sends a message to an entry
    :param finish: answers a job's clients
    :param take: adds a job to those that this entry runs
    :param drop: cancels a request for a job, by its token
    """

    def __init__(
        self,
        incarnation: str,
        zone: str,
        timing: _timing.LeaseTiming,
        is_on: bool,
        cordons: _cordons.Cordons,
        jobs: _job_table.JobTable,
        room: _spare_capacity.SpareCapacity,
        run_times: placement.RunTimes,
        rng: random.Random,
        notes: _entry_notes.EntryNotes,
        send: _outgoing_handovers.Send,
        finish: _outgoing_handovers.Finish,
        take: _incoming_handovers.Take,
        drop: _incoming_handovers.Drop,
    ) -> None:
        self._is_on = is_on
        self._cordons = cordons
        self._jobs = jobs
        self._room = room
        self._finish = finish
        self._on = _outgoing_handovers.OutgoingHandovers(
            incarnation, zone, timing, rng, notes, send, finish
        )
        self._in = _incoming_handovers.IncomingHandovers(
            incarnation, jobs, room, run_times, notes, send, take, drop
        )
        self._is_leaving = False
        #: Whether the next call looks for jobs to offer.
        self._is_due = False
        #: Jobs with a deferred refusal, by name.
        self._kept: dict[str, tuple[_jobs.Job, outcomes.Refused]] = {}

    @property
    def due_at(self) -> float:
        """When to tick at the latest, in monotonic seconds."""
        return self._in.due_at

    @property
    def takes_jobs(self) -> bool:
        """Whether this entry accepts jobs of other entries."""
        return self._is_on

    # Events.

    def join(self, now: float, hello: wire.Hello) -> None:
        """Add an entry whose stream was opened."""
        if self._is_on:
            self._on.join(hello)
            self._in.join(now, hello)

    def leave(self, name: str) -> None:
        """Remove an entry whose stream broke."""
        self._on.leave(name)
        self._in.leave(name)

    def drain(self) -> None:
        """Accept no more jobs, and offer all that no run was ordered for."""
        self._is_leaving = True
        self._in.is_leaving = True

    def receive(self, now: float, peer: str, message: wire.Message) -> bool:
        """Handle a message of another entry.

        :param now: monotonic seconds
        :param peer: the sender
        :param message: the message; unrelated ones are ignored
        :return: whether a job came back that may be placed here now
        """
        if not self._is_on:
            return False
        match message:
            case wire.OfferAnswered():
                self._on.answered(now, peer, message)
                return message.declined is not None
            case wire.JobHandled():
                self._on.handled(now, peer, message)
                return message.how is wire.HowHandled.NOT_RUN
            case wire.RoomTold():
                self._on.hear_room(now, peer, message)
                self._is_due = True
            case wire.AskHandedIn():
                self._on.asked(now, peer, message)
            case _:
                self._receive_from_giver(now, peer, message)
        return False

    def _receive_from_giver(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        match message:
            case wire.AskRoom(service):
                self._in.tell_room(now, peer, service)
            case wire.OfferJob():
                self._in.offered(now, peer, message)
            case wire.WithdrawJob():
                self._in.withdrawn(now, message)
            case wire.GrantHandedIn():
                self._in.granted(now, peer, message)

    def defer_refusal(self, job: _jobs.Job, refusal: outcomes.Refused) -> bool:
        """Defer a refusal on arrival if another entry may run the job.

        :param job: the job that would be refused
        :param refusal: the refusal to give if no entry takes it in time
        :return: whether the refusal is deferred
        """
        if refusal.reason is outcomes.Reason.IMPOSSIBLE:
            return False
        if not self._on.has_taker_outside(self._cordons):
            return False
        self._kept[job.name] = (job, refusal)
        return True

    def answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Report a job's result to its delegator."""
        self._in.answer(token, outcome)

    def withdraw(self, job: _jobs.Job) -> None:
        """Stop a job at the entry that it was handed over to, if any."""
        if job.is_delegated:
            self._on.withdraw(job)

    # Systems.

    def schedule_offers(self) -> None:
        """Let the next :meth:`offer_and_reclaim` look for jobs to offer."""
        self._is_due = self._on.takers > 0

    def check(self, now: float) -> None:
        """Stop jobs with an expired lease; call before runs are ordered."""
        self._in.check(now)

    def offer_and_reclaim(self, now: float) -> list[_jobs.Job]:
        """Offer jobs that would start too late here, and renew leases.

        :param now: monotonic seconds
        :return: jobs that came back from other entries, to be run here
        """
        if self._is_due:
            self._is_due = False
            if self._jobs.undispatched:
                self._offer_late(now)
            self._refuse_kept(now)
        self._in.ask(now)
        return self._on.look(now)

    def _offer_late(self, now: float) -> None:
        if self._is_leaving:
            self._on.plan(now, self._room.late(now, _NEVER))
        elif self._room.may_differ(now, self._on.takers):
            self._on.plan(
                now, self._room.late(now, _outgoing_handovers.LEAD_S)
            )

    def _refuse_kept(self, now: float) -> None:
        """Send the deferred refusals of jobs that no entry took in time."""
        for name, (job, refusal) in list(self._kept.items()):
            if job.closed or job.is_delegated:
                continue
            if job.is_dispatched:
                del self._kept[name]
            elif now - job.arrived_at > _KEPT_SHARE * job.objective_s:
                del self._kept[name]
                self._finish(now, job, refusal)
        closed = [name for name, one in self._kept.items() if one[0].closed]
        for name in closed:
            del self._kept[name]
