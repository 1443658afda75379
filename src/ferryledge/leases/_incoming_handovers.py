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

from ferryledge.leases import _entry_notes
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _outgoing_handovers
from ferryledge.leases import _spare_capacity
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between renewal requests; well below the lifetime of the lease.
_ASK_EVERY_S = 0.1
#: Largest number of jobs of other entries that are held.
_MOST_HELD = 200
#: Largest number of capacity reports that are remembered.
_MOST_ROOMS = 200
_NEVER = float("inf")

Send = abc.Callable[[str, wire.Message], None]
Take = abc.Callable[[float, _jobs.Job], None]
Drop = abc.Callable[[float, int, str], None]


class _Held(msgspec.Struct):
    """A job that is held for another entry."""

    peer: str
    #: The delegator's incarnation.
    delegator: str
    #: The number of the offer.
    number: int
    job: _jobs.Job


class _Giver(msgspec.Struct):
    """An entry for which jobs are held."""

    peer: str
    incarnation: str
    next_ask_at: float
    #: Whether its stream is open.
    connected: bool = True
    #: Unanswered renewal requests by number: when each was sent, and the
    #: offers that it lists.
    asks: dict[int, tuple[float, tuple[int, ...]]] = msgspec.field(
        default_factory=dict
    )
    #: Unconfirmed results, each with the number of the last request before it.
    unconfirmed: list[tuple[int, wire.JobHandled]] = msgspec.field(
        default_factory=list
    )


class IncomingHandovers:
    """Takes jobs of other entries and reports their results.

    :param incarnation: the incarnation of this process
    :param jobs: the jobs that this entry holds
    :param room: the spare capacity of this entry
    :param run_times: estimates of run times
    :param notes: records decisions
    :param send: sends a message to an entry
    :param take: adds a job to those that this entry runs
    :param drop: cancels a request for a job, by its token
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
        #: When each capacity report was sent, by its number.
        self._told: dict[int, float] = {}
        self._rooms = 0
        #: Jobs by token. Tokens are negative; those of clients are positive.
        self._held: dict[int, _Held] = {}
        self._tokens = 0
        self._givers: dict[str, _Giver] = {}
        self._asked = 0
        self.is_leaving = False

    def __len__(self) -> int:
        return len(self._held)

    @property
    def due_at(self) -> float:
        """When to tick at the latest, in monotonic seconds."""
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
        """Report to an entry the capacity that its jobs could use."""
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
        """Accept or decline an offer."""
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
        """Return why an offer is declined; ``None`` if it is accepted."""
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
        """Return the offered job; ``None`` if the offer is malformed."""
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
            # Leases of a former incarnation expire, since nobody renews them.
            due = now + _ASK_EVERY_S
            self._givers[peer] = _Giver(peer, offer.delegator, due)
        self._take(now, job)

    def withdrawn(self, now: float, message: wire.WithdrawJob) -> None:
        """Stop a job that its delegator withdrew."""
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
        """Report a job's result to its delegator."""
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
        """Stop jobs with an expired lease; call before runs are ordered."""
        if not self._held:
            return
        oldest = now - _outgoing_handovers.HEARD_WITHIN_S
        authorised_at = self._jobs.authorised_at
        for held in self._held.values():
            if authorised_at[held.job.name] <= oldest:
                self._notes.giver_silent(held.job, held.peer)
        self._drop_if(now, lambda one: authorised_at[one.job.name] <= oldest)

    def ask(self, now: float) -> None:
        """Send the renewal requests that are due."""
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
        """Renew the leases that a grant lists; stop the other jobs."""
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
        """Resume with a delegator whose stream is open again.

        Unconfirmed results are sent again. Jobs of a former incarnation are
        stopped.
        """
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
        """Mark an entry as disconnected; its stream broke."""
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
    """Return the result that is reported to the delegator.

    If this entry gave up for lack of time, the job is reported as stopped and
    the delegator decides: it knows how long its client waits.
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
