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
lease expires :data:`HEARD_WITHIN_S` after the delegate sent the renewed
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
#: time after which a client whose entry is lost submits its job again. Should
#: the delegate fail as well, the grants of its agents expire in their usual
#: time after the last renewal.
HEARD_WITHIN_S = 0.3
#: Seconds for which the delegate accepts offers for capacity it reported.
ROOM_FOR_S = 0.1
#: Seconds for which the delegator uses reported capacity; shorter, since the
#: offer takes time to arrive.
_ROOM_USED_FOR_S = 0.05
#: Entries that are asked for their capacity at once. The offer goes to the
#: better of two that are chosen at random among those with enough capacity, so
#: that delegators don't all choose the same one.
_ASKED_AT_ONCE = 4
#: Seconds between capacity requests while some entry has capacity, and the
#: upper bound of the backoff while none has.
_ASK_EVERY_S = 0.04
_ASK_SELDOM_S = 0.2
#: Largest number of times that a job is offered.
_MOST_OFFERS = 2
#: Seconds that a capacity request, an offer and the delegate's order take.
LEAD_S = 0.05
#: Run numbers that are reserved for one offer. Runs after it must have higher
#: numbers, since an endpoint rejects run numbers of a task that it has seen.
_RUNS_OF_AN_OFFER = 100

Send = abc.Callable[[str, wire.Message], None]
Finish = abc.Callable[[float, _jobs.Job, outcomes.JobOutcome], None]


class _Peer(msgspec.Struct, frozen=True):
    """An entry that accepts handovers."""

    incarnation: str
    zone: str


class _Room(msgspec.Struct):
    """The spare capacity that an entry reported."""

    number: int
    cpu_millis: int
    heard_at: float


class Offer(msgspec.Struct):
    """A job that was offered to another entry, which may be running it."""

    number: int
    job: _jobs.Job
    peer: str
    #: The peer's incarnation.
    delegate: str
    #: When the delegate's lease was last renewed, in monotonic seconds.
    signed_at: float
    accepted: bool = False
    #: Whether the lease is no longer renewed.
    is_given_up: bool = False


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
        self._over_after_s = ROOM_FOR_S + timing.over_after_s
        self._rng = rng
        self._notes = notes
        self._send = send
        self._finish = finish
        self._peers: dict[str, _Peer] = {}
        self._rooms: dict[tuple[str, str], _Room] = {}
        self._offers: dict[int, Offer] = {}
        self._count = 0
        self._asked_at = float("-inf")
        self._ask_every_s = _ASK_EVERY_S

    @property
    def takers(self) -> int:
        """The number of entries that accept handovers."""
        return len(self._peers)

    def has_taker_outside(self, cordons: _cordons.Cordons) -> bool:
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
        for key in [key for key in self._rooms if key[0] == name]:
            del self._rooms[key]

    def hear_room(self, now: float, peer: str, room: wire.RoomTold) -> None:
        """Store the spare capacity that an entry reported."""
        heard = _Room(room.number, room.cpu_millis, now)
        self._rooms[peer, room.service] = heard
        if room.cpu_millis:
            self._ask_every_s = _ASK_EVERY_S

    # Offers.

    def plan(self, now: float, late: abc.Sequence[_jobs.Job]) -> None:
        """Offer jobs, and ask for the capacity that is missing.

        :param now: monotonic seconds
        :param late: jobs that would start too late here, most urgent first
        """
        asked = set()
        for job in late:
            if job.is_incoming or job.offers >= _MOST_OFFERS:
                continue
            service = job.request.job_class.service
            name = self._pick(now, service, _spare_capacity.cpu_millis_of(job))
            if name is not None:
                self._offer(now, job, name)
            else:
                asked.add(service)
        if asked and now - self._asked_at >= self._ask_every_s:
            self._ask(now, sorted(asked))

    def _pick(self, now: float, service: str, cpu_millis: int) -> str | None:
        """Return an entry with capacity for a job; ``None`` without one."""
        fitting = [
            name
            for name, peer in self._peers.items()
            if (room := self._rooms.get((name, service))) is not None
            and now - room.heard_at <= _ROOM_USED_FOR_S
            and room.cpu_millis >= cpu_millis
        ]
        own = [n for n in fitting if self._peers[n].zone == self._zone]
        names = own or fitting
        if not names:
            return None
        two = self._rng.sample(names, min(2, len(names)))
        return max(two, key=lambda n: self._rooms[n, service].cpu_millis)

    def _ask(self, now: float, services: list[str]) -> None:
        self._asked_at = now
        # Back off until an entry reports capacity.
        self._ask_every_s = min(_ASK_SELDOM_S, 2.0 * self._ask_every_s)
        for name in self._asked_now():
            for service in services:
                self._send(name, wire.AskRoom(service))

    def _asked_now(self) -> list[str]:
        """Return the entries to ask, half of them in this entry's zone."""
        names = list(self._peers)
        self._rng.shuffle(names)
        own = [one for one in names if self._peers[one].zone == self._zone]
        others = [one for one in names if one not in own]
        half = max(_ASKED_AT_ONCE // 2, _ASKED_AT_ONCE - len(others))
        chosen = own[:half]
        return chosen + others[: _ASKED_AT_ONCE - len(chosen)]

    def _offer(self, now: float, job: _jobs.Job, name: str) -> None:
        service = job.request.job_class.service
        room = self._rooms[name, service]
        room.cpu_millis -= _spare_capacity.cpu_millis_of(job)
        self._count += 1
        peer = self._peers[name]
        offer = Offer(self._count, job, name, peer.incarnation, now)
        self._offers[offer.number] = offer
        message = _offer_of(now, offer, self._incarnation, room.number)
        job.is_delegated = True
        job.offers += 1
        # From now on the job counts as possibly run.
        job.dispatched_at = now
        self._notes.offered(now, job, name, room.cpu_millis, room.heard_at)
        self._send(name, message)

    def answered(
        self, now: float, peer: str, answer: wire.OfferAnswered
    ) -> None:
        """Handle the answer to an offer."""
        offer = self._find(peer, answer.delegator, answer.number)
        if offer is None:
            return
        if answer.declined is None:
            offer.accepted = True
            self._notes.accepted(now, offer.job, peer)
            return
        self._notes.declined(now, offer.job, peer, answer.declined)
        self._rooms.pop((peer, offer.job.request.job_class.service), None)
        self._return_untried(offer)

    def handled(self, now: float, peer: str, handled: wire.JobHandled) -> None:
        """Handle the result of a job that was handed over."""
        offer = self._find(peer, handled.delegator, handled.number)
        if offer is None:
            self._notes.result_dropped(peer, handled)
            return
        self._notes.handled(now, offer.job, peer, handled)
        match handled.how:
            case wire.HowHandled.NOT_RUN:
                self._return_untried(offer)
            case wire.HowHandled.DONE:
                self._bring_back(offer)
                self._finish(now, offer.job, outcomes.Complete(()))
            case wire.HowHandled.FAILED:
                offer.is_given_up = True
                self._finish(now, offer.job, _failure_of(handled))
            case wire.HowHandled.STOPPED:
                offer.is_given_up = True

    def _find(self, peer: str, delegator: str, number: int) -> Offer | None:
        offer = self._offers.get(number)
        if (
            offer is None
            or offer.peer != peer
            or delegator != self._incarnation
        ):
            return None
        return offer

    def _bring_back(self, offer: Offer) -> None:
        del self._offers[offer.number]
        offer.job.is_delegated = False

    def _return_untried(self, offer: Offer) -> None:
        """Take back a job of which no task was run."""
        self._bring_back(offer)
        offer.job.dispatched_at = None

    def withdraw(self, job: _jobs.Job) -> None:
        """Have the delegate stop a job that no client waits for."""
        for offer in self._offers.values():
            if offer.job is job and not offer.is_given_up:
                offer.is_given_up = True
                message = wire.WithdrawJob(self._incarnation, offer.number)
                self._send(offer.peer, message)

    # The lease.

    def asked(self, now: float, peer: str, ask: wire.AskHandedIn) -> None:
        """Renew the leases on the jobs that the delegate is to go on with."""
        if ask.delegator != self._incarnation:
            return
        renewed = []
        for number in ask.offers:
            offer = self._find(peer, ask.delegator, number)
            if offer is not None and not self._is_lost(now, offer):
                offer.accepted = True
                offer.signed_at = now
                renewed.append(number)
        grant = wire.GrantHandedIn(ask.delegator, ask.number, tuple(renewed))
        self._send(peer, grant)

    def _is_lost(self, now: float, offer: Offer) -> bool:
        """Return whether an offer's lease is no longer renewed."""
        silent = now - offer.signed_at > HEARD_WITHIN_S + ROOM_FOR_S
        return offer.is_given_up or silent

    def _is_over(self, now: float, offer: Offer) -> bool:
        """Return whether no run of the job can be alive elsewhere."""
        return now - offer.signed_at > self._over_after_s

    def look(self, now: float) -> list[_jobs.Job]:
        """Take back the jobs whose runs must all be over elsewhere.

        :param now: monotonic seconds
        :return: the jobs; they are run here, or dropped if they are closed
        """
        back = []
        for offer in list(self._offers.values()):
            if not offer.is_given_up and self._is_lost(now, offer):
                offer.is_given_up = True
                self._notes.handed_on_lost(
                    now, offer.job, offer.peer, offer.signed_at
                )
            if self._is_over(now, offer):
                self._bring_back(offer)
                for task in offer.job.all_tasks:
                    task.run += _RUNS_OF_AN_OFFER
                back.append(offer.job)
        return back


def _offer_of(
    now: float, offer: Offer, delegator: str, room: int
) -> wire.OfferJob:
    request = offer.job.request
    job_class = request.job_class
    return wire.OfferJob(
        offer.number,
        delegator,
        offer.delegate,
        room,
        request.job,
        offer.job.pack_spec(),
        wire.OfferedClass(
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


def _failure_of(handled: wire.JobHandled) -> outcomes.FailedMayHaveRun:
    origin = outcomes.Origin(outcomes.Step.RUN, handled.peer)
    reasons = {str(one): one for one in outcomes.Reason}
    reason = reasons.get(handled.reason, outcomes.Reason.TASK_FAILED)
    return outcomes.FailedMayHaveRun(reason, origin)
