"""The giver: which waiting jobs are offered to another entry, and to whom.

It answers callers that crowd at some entries, and an entry whose agents are
not there: it started, or its zones are cordoned. A job that would be late
here is offered to an entry that told of spare room a moment ago. Nobody is
asked, and nothing is sent, while all jobs are in time.

Who waits for a job is answered here, once, so the giver has to know when the
taker's runs are over. They go on only by this entry's signs: the offer, and
its answers to the taker's asks, each of which names the offers that it
counts for. The taker's right ends :data:`HEARD_WITHIN_S` after its own ask
was sent, and its agents' grants end sooner by the age of that ask; so all
runs are over ``LeaseTiming.over_after_s`` after the last sign, as if this
entry had granted them. Only then the job is run here.
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

#: Seconds for which a taker runs a job without a sign of its giver. A client
#: repeats its job 1.3 s after its entry was lost: by then the taker has
#: stopped it long ago, and if that fails as well the agents' grants, which
#: never outlive the giver's last sign by more than their usual time, end it
#: as they end the runs of an entry that was lost.
HEARD_WITHIN_S = 0.3
#: Seconds after which the taker no longer stands by the room that it told.
ROOM_FOR_S = 0.1
#: The same for the giver: an offer takes a while to arrive.
_ROOM_USED_FOR_S = 0.05
#: Entries that are asked at once. Of those that have room one of two picked
#: by chance gets an offer, so that givers don't crowd at the emptiest.
_ASKED_AT_ONCE = 4
#: Seconds between asks while some have room, and at most while none has.
_ASK_EVERY_S = 0.04
_ASK_SELDOM_S = 0.2
#: Most offers of one job.
_MOST_OFFERS = 2
#: Seconds that an ask, an offer and the taker's order take.
LEAD_S = 0.05
#: Numbers that the runs of one offer stay below: an endpoint starts no run
#: of a task whose number it has seen.
_RUNS_OF_AN_OFFER = 100

Send = abc.Callable[[str, wire.Message], None]
Finish = abc.Callable[[float, _jobs.Job, outcomes.JobOutcome], None]


class _Peer(msgspec.Struct, frozen=True):
    """Another entry that takes jobs."""

    incarnation: str
    zone: str


class _Room(msgspec.Struct):
    """What an entry said that it could start."""

    number: int
    cpu_millis: int
    heard_at: float


class Offer(msgspec.Struct):
    """A job that another entry has, or may have."""

    number: int
    job: _jobs.Job
    peer: str
    #: The peer's incarnation.
    delegate: str
    #: When the last sign was sent that counts for it.
    signed_at: float
    accepted: bool = False
    #: Whether it gets no sign any more.
    is_given_up: bool = False


class OutgoingHandovers:
    """Offers jobs to other entries and waits for what becomes of them.

    :param incarnation: this start of the process
    :param zone: its availability zone
    :param timing: the lease rule
    :param rng: picks entries
    :param notes: what is decided
    :param send: sends a message to an entry
    :param finish: answers a job
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
        """How many entries take jobs."""
        return len(self._peers)

    def has_taker_outside(self, cordons: _cordons.Cordons) -> bool:
        """Return whether some entry that takes jobs has a zone at work."""
        return any(
            not cordons.covers(peer.zone) for peer in self._peers.values()
        )

    @property
    def offers(self) -> abc.Collection[Offer]:
        """The jobs that are away."""
        return self._offers.values()

    # Peers.

    def join(self, hello: wire.Hello) -> None:
        """Take in an entry that has a stream to this one."""
        self.leave(hello.name)
        if hello.takes_jobs and not hello.leaving:
            self._peers[hello.name] = _Peer(hello.incarnation, hello.zone)

    def leave(self, name: str) -> None:
        """Offer nothing to an entry that has no stream."""
        self._peers.pop(name, None)
        for key in [key for key in self._rooms if key[0] == name]:
            del self._rooms[key]

    def hear_room(self, now: float, peer: str, room: wire.RoomTold) -> None:
        """Take in what an entry could start."""
        heard = _Room(room.number, room.cpu_millis, now)
        self._rooms[peer, room.service] = heard
        if room.cpu_millis:
            self._ask_every_s = _ASK_EVERY_S

    # Offers.

    def plan(self, now: float, late: abc.Sequence[_jobs.Job]) -> None:
        """Offer jobs, or ask for room to be able to.

        :param now: monotonic seconds
        :param late: those that would start too late here
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
        """Return an entry with room for a job, or none."""
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
        # Until one answers that it has room.
        self._ask_every_s = min(_ASK_SELDOM_S, 2.0 * self._ask_every_s)
        for name in self._asked_now():
            for service in services:
                self._send(name, wire.AskRoom(service))

    def _asked_now(self) -> list[str]:
        """Return the entries to ask, half of them of the own zone."""
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
        # From now on it may have run.
        job.dispatched_at = now
        self._notes.offered(now, job, name, room.cpu_millis, room.heard_at)
        self._send(name, message)

    def answered(
        self, now: float, peer: str, answer: wire.OfferAnswered
    ) -> None:
        """Take in whether an offer is taken."""
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
        """Take in what became of a job."""
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
        """Take a job back that was not run."""
        self._bring_back(offer)
        offer.job.dispatched_at = None

    def withdraw(self, job: _jobs.Job) -> None:
        """Have the runs of a job stopped that nobody waits for."""
        for offer in self._offers.values():
            if offer.job is job and not offer.is_given_up:
                offer.is_given_up = True
                message = wire.WithdrawJob(self._incarnation, offer.number)
                self._send(offer.peer, message)

    # The lease.

    def asked(self, now: float, peer: str, ask: wire.AskHandedIn) -> None:
        """Let a taker go on with what it is still wanted for."""
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
        """Return whether an offer gets no sign any more."""
        silent = now - offer.signed_at > HEARD_WITHIN_S + ROOM_FOR_S
        return offer.is_given_up or silent

    def _is_over(self, now: float, offer: Offer) -> bool:
        """Return whether none of a job's runs can be alive elsewhere."""
        return now - offer.signed_at > self._over_after_s

    def look(self, now: float) -> list[_jobs.Job]:
        """Take back the jobs whose runs must all be over elsewhere.

        :return: them; they are to be run here, or forgotten if closed
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
