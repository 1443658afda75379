"""The taker: runs jobs of other entries while it hears from them.

It answers entries that are short of room. A job is taken only if all of it
could start now, beside what waits here already; it counts like an own one
from then on. Its runs go on only while the giver shows that it lives: the
right counts from the sending of the ask that the giver answered, so clocks
are never compared. It is stopped :data:`_outgoing_handovers.HEARD_WITHIN_S` after
that; and the grants of agents that run it end sooner by the age of that ask,
so that its runs end in the usual time after the giver's last sign also if
this process fails meanwhile.
"""

from collections import abc
import math

import msgspec

from ferryledge.leases import _entry_notes
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _spare_capacity
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between asks for the right to go on. A few fit into its time.
_ASK_EVERY_S = 0.1
#: Most jobs of others that are held.
_MOST_HELD = 200
#: Rooms that were told and are remembered.
_MOST_ROOMS = 200
_NEVER = float("inf")

Send = abc.Callable[[str, wire.Message], None]
Take = abc.Callable[[float, _jobs.Job], None]
Drop = abc.Callable[[float, int, str], None]


class _Held(msgspec.Struct):
    """A job of another entry."""

    peer: str
    #: The giver's incarnation.
    delegator: str
    #: Of the offer.
    number: int
    job: _jobs.Job


class _Giver(msgspec.Struct):
    """An entry whose jobs are held."""

    peer: str
    incarnation: str
    next_ask_at: float
    #: Its stream is open.
    connected: bool = True
    #: Asks without an answer so far, with when they were sent, and for what.
    asks: dict[int, tuple[float, tuple[int, ...]]] = msgspec.field(
        default_factory=dict
    )
    #: Results that it has not confirmed, each with the last ask before it.
    unconfirmed: list[tuple[int, wire.JobHandled]] = msgspec.field(
        default_factory=list
    )


class IncomingHandovers:
    """Takes jobs of other entries.

    :param incarnation: this start of the process
    :param jobs: the jobs that are held
    :param room: what this entry could start
    :param run_times: what was learned of run times
    :param notes: what is decided
    :param send: sends a message to an entry
    :param take: keeps a job
    :param drop: gives the request of a job up, by its token
    """

    def __init__(
        self,
        incarnation: str,
        jobs: _job_table.JobTable,
        room: _spare_capacity.SpareCapacity,
        run_times: placement.RunTimes,
        notes: _entry_notes.EntryNotes,
        send: Send,
        take: Take,
        drop: Drop,
    ) -> None:
        self._incarnation = incarnation
        self._jobs = jobs
        self._room = room
        self._run_times = run_times
        self._notes = notes
        self._send = send
        self._take = take
        self._drop = drop
        #: When each room was told that an offer may name.
        self._told: dict[int, float] = {}
        self._rooms = 0
        #: By their tokens, which are below zero: clients' are above it.
        self._held: dict[int, _Held] = {}
        self._tokens = 0
        self._givers: dict[str, _Giver] = {}
        self._asked = 0
        self.is_leaving = False

    def __len__(self) -> int:
        return len(self._held)

    @property
    def due_at(self) -> float:
        """When to look at the latest."""
        if not self._held and not self._givers:
            return _NEVER
        asks = [
            one.next_ask_at for one in self._givers.values() if one.connected
        ]
        ends = [
            signed_at + _outgoing_handovers.HEARD_WITHIN_S
            for signed_at in self._jobs.authorised_at.values()
        ]
        return min(asks + ends, default=_NEVER)

    # Offers.

    def tell_room(self, now: float, peer: str, service: str) -> None:
        """Tell an entry what could be started for it."""
        self._rooms += 1
        self._told[self._rooms] = now
        if len(self._told) > _MOST_ROOMS:
            del self._told[next(iter(self._told))]
        cpu_millis = 0
        if not self.is_leaving and len(self._held) < _MOST_HELD:
            cpu_millis = self._room.cpu_millis(now, service)
        message = wire.RoomTold(self._rooms, service, cpu_millis)
        self._send(peer, message)

    def offered(self, now: float, peer: str, offer: wire.OfferJob) -> None:
        """Take a job, or decline it."""
        job = self._job_of(now, offer)
        declined = self._why_not(now, offer, job)
        answer = wire.OfferAnswered(offer.delegator, offer.number, declined)
        told_at = self._told.get(offer.room, -math.inf)
        self._notes.taken(now, offer, peer, declined, told_at)
        if job is not None and declined is None:
            self._hold(now, peer, offer, job, told_at)
        self._send(peer, answer)

    def _why_not(
        self, now: float, offer: wire.OfferJob, job: _jobs.Job | None
    ) -> wire.Declined | None:
        """Return why an offer is not taken; none if it is."""
        why = wire.Declined
        told_at = self._told.get(offer.room, -math.inf)
        if offer.delegate != self._incarnation:
            return why.OLD
        if now - told_at > _outgoing_handovers.ROOM_FOR_S:
            return why.OLD
        if self.is_leaving:
            return why.LEAVING
        if job is None:
            return why.MALFORMED
        name = offer.job
        if self._jobs.find(name) or self._jobs.was_complete(name):
            return why.KNOWN
        if not self._room.has_room(now, job):
            return why.ROOM
        return None

    def _job_of(self, now: float, offer: wire.OfferJob) -> _jobs.Job | None:
        """Return the job that is offered; none if it can't be read."""
        try:
            spec = wire.unpack_text(offer.packed_spec)
        except wire.PackingError:
            return None
        if not offer.steps:
            return None
        request = _request_of(offer, spec)
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
        told_at: float,
    ) -> None:
        self._tokens -= 1
        job.tokens.append(self._tokens)
        held = _Held(peer, offer.delegator, offer.number, job)
        self._held[self._tokens] = held
        self._jobs.authorised_at[job.name] = told_at
        delegator = self._givers.get(peer)
        if delegator is None or delegator.incarnation != offer.delegator:
            # A former incarnation's jobs end for want of its signs.
            due = now + _ASK_EVERY_S
            self._givers[peer] = _Giver(peer, offer.delegator, due)
        self._take(now, job)

    def withdrawn(self, now: float, message: wire.WithdrawJob) -> None:
        """Stop a job that its giver does not want any more."""
        self._drop_if(
            now,
            lambda one: (
                one.delegator == message.delegator
                and one.number == message.number
            ),
        )

    def _drop_if(
        self, now: float, is_one: abc.Callable[[_Held], bool]
    ) -> None:
        for token, held in list(self._held.items()):
            if is_one(held):
                del self._held[token]
                del self._jobs.authorised_at[held.job.name]
                self._drop(now, token, held.job.name)

    def answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Tell the giver what became of its job."""
        held = self._held.pop(token, None)
        if held is None:
            return
        del self._jobs.authorised_at[held.job.name]
        delegator = self._givers.get(held.peer)
        if delegator is None or delegator.incarnation != held.delegator:
            return
        handled = _handled_of(held, outcome)
        delegator.unconfirmed.append((self._asked, handled))
        if delegator.connected:
            self._send(held.peer, handled)

    # The lease.

    def check(self, now: float) -> None:
        """Stop what the right has ended for, before anything is ordered."""
        if not self._held:
            return
        oldest = now - _outgoing_handovers.HEARD_WITHIN_S
        authorised_at = self._jobs.authorised_at
        for held in self._held.values():
            if authorised_at[held.job.name] <= oldest:
                self._notes.giver_silent(held.job, held.peer)
        self._drop_if(now, lambda one: authorised_at[one.job.name] <= oldest)

    def ask(self, now: float) -> None:
        """Ask givers for the right to go on, where that is due."""
        for delegator in list(self._givers.values()):
            if not delegator.connected or now < delegator.next_ask_at:
                continue
            offers = tuple(
                one.number
                for one in self._held.values()
                if one.peer == delegator.peer
                and one.delegator == delegator.incarnation
            )
            if not offers and not delegator.unconfirmed:
                del self._givers[delegator.peer]
                continue
            self._asked += 1
            delegator.asks[self._asked] = (now, offers)
            delegator.next_ask_at = now + _ASK_EVERY_S
            message = wire.AskHandedIn(
                delegator.incarnation, self._asked, offers
            )
            self._send(delegator.peer, message)

    def granted(
        self, now: float, peer: str, grant: wire.GrantHandedIn
    ) -> None:
        """Take in the right to go on; stop what it does not name."""
        delegator = self._givers.get(peer)
        if delegator is None or delegator.incarnation != grant.delegator:
            return
        delegator.unconfirmed = [
            one for one in delegator.unconfirmed if one[0] >= grant.number
        ]
        ask = delegator.asks.pop(grant.number, None)
        if ask is None:
            return
        asked_at, asked = ask
        for older in [one for one in delegator.asks if one < grant.number]:
            del delegator.asks[older]
        named = set(grant.offers)
        for held in self._held.values():
            if held.delegator == grant.delegator and held.number in named:
                self._jobs.authorised_at[held.job.name] = asked_at
        dropped = set(asked) - named
        self._drop_if(
            now,
            lambda one: (
                one.delegator == grant.delegator and one.number in dropped
            ),
        )

    def join(self, now: float, hello: wire.Hello) -> None:
        """Go on with a giver whose stream is open again."""
        delegator = self._givers.get(hello.name)
        if delegator is None:
            return
        if delegator.incarnation != hello.incarnation:
            del self._givers[hello.name]
            self._drop_if(
                now,
                lambda one: (
                    one.peer == hello.name
                    and one.delegator != hello.incarnation
                ),
            )
            return
        delegator.connected = True
        delegator.asks.clear()
        delegator.next_ask_at = now
        results = [one for _, one in delegator.unconfirmed]
        delegator.unconfirmed = [(self._asked, one) for one in results]
        for one in results:
            self._send(hello.name, one)

    def leave(self, peer: str) -> None:
        """Note that the stream to an entry broke."""
        delegator = self._givers.get(peer)
        if delegator is not None:
            delegator.connected = False


def _request_of(offer: wire.OfferJob, spec: str) -> _jobs.LeasedJob:
    one = offer.job_class
    job_class = _jobs.JobClass(
        one.name,
        one.service,
        one.priority,
        one.attempts,
        one.stretch,
        one.target_s,
        one.late_factor,
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


def _handled_of(held: _Held, outcome: outcomes.JobOutcome) -> wire.JobHandled:
    """Return what the giver is told.

    Where this entry gave up for want of time the giver decides: it knows how
    long its client waits.
    """
    how = wire.HowHandled.STOPPED
    reason = ""
    peer = ""
    match outcome:
        case outcomes.Complete():
            how = wire.HowHandled.DONE
        case outcomes.Refused() | outcomes.FailedNotRun():
            how = wire.HowHandled.NOT_RUN
        case outcomes.FailedMayHaveRun(outcomes.Reason.TASK_FAILED, origin):
            how = wire.HowHandled.FAILED
            reason = str(outcomes.Reason.TASK_FAILED)
            peer = origin.peer
    return wire.JobHandled(held.delegator, held.number, how, reason, peer)
