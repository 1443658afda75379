"""Registers jobs with other entries before their first run is ordered.

An agent tells its entries which jobs it runs for others, but with many entries
no agent may serve both of two entries that received the same job. So an entry
registers each job with a few entries that the job's name selects by
rendezvous hashing (its registrars). It orders nothing until each of them has
answered, or has been passed over for being late. Two entries select at least
one registrar in common, or each other, while their views of the other entries
differ by one. Registrars keep a job until its client's deadline, and then for
as long as a lease may last.
"""

from collections import abc
import dataclasses
import hashlib
import heapq

import msgspec

from ferryledge.leases import _answer_times
from ferryledge.leases import _jobs
from ferryledge.leases import _timing
from ferryledge import wire

#: Number of registrars of a job.
_REGISTRARS = 2
#: Most times that further registrars are selected if none answers.
_MAX_ROUNDS = 3
#: Bounds in seconds of the time after which an answer counts as missing.
_LONGEST_ANSWER_S = 0.06
_SHORTEST_ANSWER_S = 0.02
#: Delay of a check in seconds beyond which this process was late itself, so
#: that it may have unread answers.
_OWN_DELAY_S = 0.02
#: Seconds for which an entry that did not answer is not waited for.
_AVOIDANCE_S = 1.0
#: Seconds without any stream to another entry after which this entry counts
#: as the only one.
_ALONE_AFTER_S = 1.0
#: Longest time in seconds to wait for the first stream to another entry.
_JOIN_WAIT_S = 0.1
#: Seconds between requests to an entry that stops its runs of a job.
_RETRY_S = 0.02
#: Longest time in seconds to wait for such an entry.
_RELEASE_WAIT_S = 0.2
#: Seconds without any message after which an entry counts as lost: two
#: keep-alive messages are missing.
_LOST_AFTER_S = 1.2
#: Seconds for which a job without a deadline is kept.
_UNLIMITED_KEEP_S = 10.0
#: Seconds between removals of outdated registrations.
_EXPIRY_INTERVAL_S = 1.0
_KEY_BYTES = 8
_KEY_MASK = 2 ** (8 * _KEY_BYTES) - 1
#: An odd factor that mixes the bits of two keys.
_KEY_FACTOR = 0x9E3779B97F4A7C15
_NEVER = float("inf")

SilentFor = abc.Callable[[float, str], float]
NoteUnanswered = abc.Callable[[float, str], None]


def is_newer(deadline_s: float, than_s: float) -> bool:
    """Return whether a submission of a job is newer than another one.

    Without a deadline the order of two submissions is unknown.

    :param deadline_s: how long its client waits, in seconds; 0 if unlimited
    :param than_s: the same for the other submission
    """
    return 0.0 < deadline_s < than_s


class _Registration(msgspec.Struct, frozen=True):
    """The newest submission of a job that a registrar was told of."""

    entry: str
    deadline_s: float
    #: Until when runs of it may be alive, in monotonic seconds.
    until: float


class JobRegister:
    """The jobs that other entries registered with this one.

    :param timing: the timing of leases
    """

    def __init__(self, timing: _timing.LeaseTiming) -> None:
        self._over_after_s = timing.over_after_s
        self._jobs: dict[str, _Registration] = {}
        self._next_expiry = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    def register(
        self, now: float, entry: str, submission: wire.SubmittedJob
    ) -> wire.RegisteredJob:
        """Record a submission, unless a newer one of its job is known.

        :param now: monotonic seconds
        :param entry: the entry that received it
        :param submission: the submission
        :return: the answer to the entry
        """
        job = submission.job
        known = self._jobs.get(job)
        if known is None or known.entry == entry or known.until <= now:
            self._record(now, entry, submission)
            return wire.RegisteredJob(job)
        if not is_newer(known.deadline_s, submission.deadline_s):
            self._record(now, entry, submission)
        return wire.RegisteredJob(job, known.entry, known.deadline_s)

    def find(self, now: float, job: str) -> wire.RegisteredJob | None:
        """Return the submission of a job that another entry registered."""
        known = self._jobs.get(job)
        if known is None or known.until <= now:
            return None
        return wire.RegisteredJob(job, known.entry, known.deadline_s)

    def _record(
        self, now: float, entry: str, submission: wire.SubmittedJob
    ) -> None:
        deadline_s = submission.deadline_s
        keep_s = (deadline_s or _UNLIMITED_KEEP_S) + self._over_after_s
        self._jobs[submission.job] = _Registration(
            entry, deadline_s, now + keep_s
        )

    def expire(self, now: float) -> None:
        """Remove the registrations whose runs are over."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_S
        for job in [j for j, row in self._jobs.items() if row.until <= now]:
            del self._jobs[job]


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """No other entry holds the job; its runs may be ordered."""

    job: _jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another entry holds the job; nothing of it may start here."""

    job: _jobs.Job
    entry: str


Decision = Registered | HeldElsewhere


class _Pending(msgspec.Struct):
    """A job whose registration is not complete."""

    job: _jobs.Job
    #: When the answer of each entry that was asked counts as missing.
    answer_due: dict[str, float] = msgspec.field(default_factory=dict)
    #: When each request was sent.
    asked_at: dict[str, float] = msgspec.field(default_factory=dict)
    #: Entries that have answered.
    answered: set[str] = msgspec.field(default_factory=set)
    #: Entries with an older submission of the job which have not confirmed
    #: yet that its runs are over, and when to ask each again.
    holders: dict[str, float] = msgspec.field(default_factory=dict)
    #: When to stop waiting for them.
    release_by: float = _NEVER
    rounds: int = 0
    #: Earliest time of completion, in monotonic seconds.
    not_before: float = 0.0
    #: Until when to wait for a stream to any entry, while none was asked.
    join_by: float = 0.0

    @property
    def ready_at(self) -> float:
        """Earliest time of completion as it stands, in monotonic seconds."""
        if self.asked_at:
            return self.not_before
        return max(self.not_before, self.join_by)

    @property
    def due_at(self) -> float:
        """When to look at it again, in monotonic seconds."""
        if not self.answer_due and not self.holders:
            return self.ready_at
        retries = [
            retry_at
            for name, retry_at in self.holders.items()
            if name not in self.answer_due
        ]
        return min([self.release_by, *self.answer_due.values(), *retries])


class Registrations:
    """Registers the jobs of this entry with their registrars.

    :param name: name of this entry
    :param silent_for: returns the seconds since the last message of an entry,
        given the time and its name
    :param note_unanswered: records an entry that did not answer in time
    """

    def __init__(
        self,
        name: str,
        silent_for: SilentFor,
        note_unanswered: NoteUnanswered,
    ) -> None:
        self._name = name
        self._silent_for = silent_for
        self._note_unanswered = note_unanswered
        #: Hash keys of the entries that register jobs, by name.
        self._keys: dict[str, int] = {}
        #: Until when entries that did not answer are not waited for.
        self._avoided_until: dict[str, float] = {}
        #: Entries whose stream is open, those of earlier releases too.
        self._connected: set[str] = set()
        #: Since when there are none; ``None`` if there are, or if no job was
        #: registered yet.
        self._alone_since: float | None = None
        self._pending: dict[str, _Pending] = {}
        self._answer_times = _answer_times.AnswerTimes(
            _LONGEST_ANSWER_S, _SHORTEST_ANSWER_S
        )
        #: Submissions to send, by registrar.
        self._outgoing: dict[str, list[wire.SubmittedJob]] = {}
        self._decisions: list[Decision] = []

    @property
    def due_at(self) -> float:
        """When to call :meth:`check`, in monotonic seconds."""
        return min(
            (pending.due_at for pending in self._pending.values()),
            default=_NEVER,
        )

    def join(self, now: float, name: str, registers_jobs: bool) -> None:
        """Add an entry whose stream was opened.

        :param now: monotonic seconds
        :param name: the entry
        :param registers_jobs: whether it answers registrations
        """
        if registers_jobs:
            self._keys[name] = _key(name)
        self._connected.add(name)
        self._avoided_until.pop(name, None)
        self._alone_since = None
        for pending in list(self._pending.values()):
            if not pending.asked_at:
                self._advance(now, pending)

    def leave(self, now: float, name: str) -> None:
        """Remove an entry whose stream broke."""
        self._keys.pop(name, None)
        self._connected.discard(name)
        if not self._connected and self._alone_since is None:
            self._alone_since = now
        for pending in list(self._pending.values()):
            was_asked = pending.answer_due.pop(name, None) is not None
            is_holder = pending.holders.pop(name, None) is not None
            if is_holder:
                pending.not_before = now + _RELEASE_WAIT_S
            if was_asked or is_holder:
                self._advance(now, pending)

    def start(
        self,
        now: float,
        job: _jobs.Job,
        known: wire.RegisteredJob | None = None,
    ) -> None:
        """Register a job; it is marked until its registration is complete.

        :param now: monotonic seconds
        :param job: the job
        :param known: another submission that this entry knows as a registrar
        """
        job.is_registering = True
        pending = _Pending(job)
        self._pending[job.name] = pending
        if not self._connected:
            self._wait_for_entries(now, pending)
        self._ask_registrars(now, pending)
        if known is not None:
            self._on_holder(now, self._name, known, pending)
        if job.name in self._pending:
            self._advance(now, pending)

    def announce_to(self, name: str, jobs: abc.Iterable[_jobs.Job]) -> None:
        """Register started jobs with an entry that is a registrar of theirs.

        Its answers are not waited for.
        """
        if name not in self._keys:
            return
        for job in jobs:
            if name in self._rank(job.name, self._keys):
                self._queue(name, job)

    def _wait_for_entries(self, now: float, pending: _Pending) -> None:
        """Let a job wait for a stream, unless there was none for long.

        An entry that has just started, or that stood still, has none.
        """
        if self._alone_since is None:
            self._alone_since = now
        if now - self._alone_since < _ALONE_AFTER_S:
            pending.join_by = now + _JOIN_WAIT_S

    def receive(
        self, now: float, peer: str, registered: wire.RegisteredJob
    ) -> bool:
        """Process the answer of an entry.

        :param now: monotonic seconds
        :param peer: the entry
        :param registered: its answer for one job
        :return: whether the registration of the job was pending
        """
        self._avoided_until.pop(peer, None)
        pending = self._pending.get(registered.job)
        if pending is None:
            return False
        if pending.answer_due.pop(peer, None) is not None:
            self._answer_times.note(now - pending.asked_at[peer])
        pending.answered.add(peer)
        if registered.entry != peer:
            pending.holders.pop(peer, None)
        if registered.entry and registered.entry != self._name:
            self._on_holder(now, peer, registered, pending)
        if registered.job in self._pending:
            self._advance(now, pending)
        return True

    def _on_holder(
        self,
        now: float,
        peer: str,
        registered: wire.RegisteredJob,
        pending: _Pending,
    ) -> None:
        """Process an answer that names another entry which has the job."""
        holder = registered.entry
        deadline_s = pending.job.newest_deadline_s
        if is_newer(registered.deadline_s, deadline_s):
            self._decide(HeldElsewhere(pending.job, holder))
            return
        pending.job.may_have_run_elsewhere = True
        if holder != peer:
            self._await_holder(now, holder, pending)
        elif is_newer(deadline_s, registered.deadline_s):
            # The holder has given the job up, and stops its runs.
            pending.holders[holder] = now + _RETRY_S
            pending.release_by = min(pending.release_by, now + _RELEASE_WAIT_S)
        else:
            self._decide(HeldElsewhere(pending.job, holder))

    def _await_holder(
        self, now: float, holder: str, pending: _Pending
    ) -> None:
        """Wait for an entry that registered an older submission of a job."""
        if holder in pending.answered:
            return
        if holder not in self._keys:
            # Its runs are over if it was lost. If it is only cut off from
            # here, the registrar tells it to give the job up.
            pending.not_before = now + _RELEASE_WAIT_S
            return
        pending.holders[holder] = now
        pending.release_by = min(pending.release_by, now + _RELEASE_WAIT_S)
        if holder not in pending.answer_due:
            self._ask(now, holder, pending)

    def check(self, now: float) -> None:
        """Handle missing answers, and repeat the requests that are due."""
        for pending in list(self._pending.values()):
            if pending.due_at > now and not pending.job.closed:
                continue
            for name, due_at in list(pending.answer_due.items()):
                if now - due_at > _OWN_DELAY_S:
                    pending.answer_due[name] = now + _SHORTEST_ANSWER_S
                elif now >= due_at:
                    del pending.answer_due[name]
                    self._pass_over(now, name)
            for name, retry_at in pending.holders.items():
                if name not in pending.answer_due and now >= retry_at:
                    self._ask(now, name, pending)
            self._advance(now, pending)

    def _pass_over(self, now: float, name: str) -> None:
        """Report an entry that did not answer, and wait for it no more."""
        if now >= self._avoided_until.get(name, 0.0):
            self._note_unanswered(now, name)
        self._avoided_until[name] = now + _AVOIDANCE_S

    def pop_decisions(self) -> list[Decision]:
        """Return the decisions since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def pop_messages(self) -> list[tuple[str, wire.RegisterJobs]]:
        """Return the requests to send, each with its receiver."""
        messages = [
            (name, wire.RegisterJobs(tuple(submissions)))
            for name, submissions in self._outgoing.items()
        ]
        self._outgoing.clear()
        return messages

    def _advance(self, now: float, pending: _Pending) -> None:
        """Complete a registration, or select registrars if none answered."""
        if pending.job.closed:
            self._pending.pop(pending.job.name, None)
            return
        if pending.holders and now >= pending.release_by:
            self._decide_by_holder(now, pending)
            return
        if not pending.answered and not pending.answer_due:
            self._ask_registrars(now, pending)
        is_waiting = bool(pending.answer_due or pending.holders)
        if not is_waiting and now >= pending.ready_at:
            self._decide(Registered(pending.job))

    def _decide_by_holder(self, now: float, pending: _Pending) -> None:
        """Decide on a job whose earlier entry does not confirm its end.

        The runs of a lost entry are over before its client submits the job
        again. An entry that was heard of may be slow, and still run it.
        """
        heard = [
            name
            for name in pending.holders
            if self._silent_for(now, name) < _LOST_AFTER_S
        ]
        if heard:
            self._decide(HeldElsewhere(pending.job, heard[0]))
        else:
            self._decide(Registered(pending.job))

    def _ask_registrars(self, now: float, pending: _Pending) -> None:
        """Ask registrars that were not asked, if there are any left.

        The first ones by rank are told also if they are not waited for.
        """
        if pending.rounds >= _MAX_ROUNDS or not self._keys:
            return
        pending.rounds += 1
        if pending.rounds == 1:
            for name in self._select(pending, list(self._keys)):
                if now < self._avoided_until.get(name, 0.0):
                    self._tell(now, name, pending)
        responsive = [
            name
            for name in self._keys
            if now >= self._avoided_until.get(name, 0.0)
        ]
        for name in self._select(pending, responsive):
            self._ask(now, name, pending)

    def _select(self, pending: _Pending, names: list[str]) -> list[str]:
        """Return the first entries by rank that were not asked."""
        names = [name for name in names if name not in pending.asked_at]
        return self._rank(pending.job.name, names)

    def _rank(self, job: str, names: abc.Iterable[str]) -> list[str]:
        """Return the entries that rank first for a job."""
        job_key = _key(job)
        return heapq.nsmallest(
            _REGISTRARS,
            names,
            key=lambda name: (
                (job_key ^ self._keys[name]) * _KEY_FACTOR & _KEY_MASK
            ),
        )

    def _ask(self, now: float, name: str, pending: _Pending) -> None:
        """Send a request, and wait for its answer."""
        self._tell(now, name, pending)
        pending.answer_due[name] = now + self._answer_times.limit_s

    def _tell(self, now: float, name: str, pending: _Pending) -> None:
        """Send a request."""
        self._queue(name, pending.job)
        pending.asked_at[name] = now

    def _queue(self, name: str, job: _jobs.Job) -> None:
        submission = wire.SubmittedJob(job.name, job.newest_deadline_s)
        self._outgoing.setdefault(name, []).append(submission)

    def _decide(self, decision: Decision) -> None:
        decision.job.is_registering = False
        self._pending.pop(decision.job.name, None)
        self._decisions.append(decision)


def _key(text: str) -> int:
    """Return the hash key of a job's or an entry's name."""
    digest = hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")
