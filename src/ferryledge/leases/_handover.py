"""Both sides of handing jobs on between entries, as an entry drives them."""

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

#: Share of its objective for which a job is kept that no endpoint here could
#: run, so that another entry can take it; less than a refusal may take.
_KEPT_SHARE = 0.2
_NEVER = float("inf")


class Handover:
    """Offers late jobs to other entries, and takes theirs.

    :param incarnation: this start of the process
    :param zone: its availability zone
    :param timing: the lease rule
    :param is_on: whether jobs are handed on at all
    :param cordons: the availability zones that take no new work
    :param jobs: the jobs that are held
    :param room: what this entry could start
    :param run_times: what was learned of run times
    :param rng: picks entries
    :param notes: what is decided
    :param send: sends a message to an entry
    :param finish: answers a job
    :param take: keeps a job
    :param drop: gives the request of a job up, by its token
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
        #: Whether to look for late jobs.
        self._is_due = False
        #: Jobs that would have been refused on arrival, and the refusals.
        self._kept: dict[str, tuple[_jobs.Job, outcomes.Refused]] = {}

    @property
    def due_at(self) -> float:
        """When to tick at the latest."""
        return self._in.due_at

    @property
    def takes_jobs(self) -> bool:
        """Whether jobs of other entries are taken."""
        return self._is_on

    # Events.

    def join(self, now: float, hello: wire.Hello) -> None:
        """Take in another entry's stream."""
        if self._is_on:
            self._on.join(hello)
            self._in.join(now, hello)

    def leave(self, name: str) -> None:
        """Note that an entry's stream broke."""
        self._on.leave(name)
        self._in.leave(name)

    def drain(self) -> None:
        """Take no jobs any more, and hand on all that wait untried."""
        self._is_leaving = True
        self._in.is_leaving = True

    def receive(self, now: float, peer: str, message: wire.Message) -> bool:
        """Take in a message of another entry.

        :return: whether there may be something to order now
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
        """Return whether a job is kept that would be refused on arrival.

        Another entry may be able to run it.
        """
        if refusal.reason is outcomes.Reason.IMPOSSIBLE:
            return False
        if not self._on.has_taker_outside(self._cordons):
            return False
        self._kept[job.name] = (job, refusal)
        return True

    def answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Tell a giver what became of its job."""
        self._in.answer(token, outcome)

    def withdraw(self, job: _jobs.Job) -> None:
        """Have a job's runs stopped wherever it is."""
        if job.is_delegated:
            self._on.withdraw(job)

    # Systems.

    def schedule_offers(self) -> None:
        """Look for late jobs at the next chance."""
        self._is_due = self._on.takers > 0

    def check(self, now: float) -> None:
        """Stop what may not be run any longer: before anything is ordered."""
        self._in.check(now)

    def offer_and_reclaim(self, now: float) -> list[_jobs.Job]:
        """Offer what is late, and keep up what was handed on.

        :return: jobs that are to be run here again
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
        """Refuse what no other entry took."""
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
