"""Registers jobs with other entries before their first run is ordered.

An agent tells its entries which jobs it runs for others, but with many entries
no agent may serve both of two entries that received the same job. So an entry
registers each job with a few entries that the job's name selects (its
registrars). It orders nothing until each of them has answered, or has been
passed over for being late. A registrar that this entry doesn't reach is asked
through others, so that two entries register a job in one place even if each
reaches other entries. Registrars keep a job until its client's deadline, and
then for as long as a lease may last.
"""

from collections import abc
import dataclasses

import msgspec

from ferryledge.leases import _answer_times
from ferryledge.leases import _jobs
from ferryledge.leases import _registrars
from ferryledge.leases import _timing
from ferryledge import wire

#: Most times that further registrars are selected if none answers.
_MAX_ROUNDS = 3
#: Bounds in seconds of the time after which an answer counts as missing.
_LONGEST_ANSWER_S = 0.06
_SHORTEST_ANSWER_S = 0.02
#: Delay of a check in seconds beyond which this process was late itself, so
#: that it may have unread answers.
_OWN_DELAY_S = 0.02
#: Seconds without any stream to another entry after which this entry counts
#: as the only one.
_ALONE_AFTER_S = 1.0
#: Longest time in seconds to wait for the first stream to another entry.
_JOIN_WAIT_S = 0.1
#: Longest time in seconds that an entry waits after its start to learn which
#: other entries there are.
_LIST_WAIT_S = 0.05
#: Seconds from then on in which the streams of an entry are opened, and others
#: register their jobs with it again.
_START_S = 0.2
#: Seconds from the opening of a stream until the other entry has registered
#: its jobs again.
_REPEAT_S = 0.02
#: Seconds between requests to an entry that stops its runs of a job, or that
#: has just started.
_RETRY_S = 0.02
#: Longest time in seconds to wait for such an entry.
_RELEASE_WAIT_S = 0.2
#: Seconds without any message after which an entry counts as lost: two
#: keep-alive messages are missing.
_LOST_AFTER_S = 1.2
#: Seconds without any message after which an entry that does not answer may
#: be cut off from this one. Until then it is only slow, and the same request
#: through others would make it slower.
_SILENT_AFTER_S = 0.3
#: Seconds for which a job without a deadline is kept.
_UNLIMITED_KEEP_S = 10.0
#: Seconds between removals of outdated registrations.
_EXPIRY_INTERVAL_S = 1.0
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
    """A submission of a job that a registrar was told of."""

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
        #: Submissions by job, those at other entries than the last one only
        #: while their runs may be alive; the newest one is last.
        self._jobs: dict[str, list[_Registration]] = {}
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
        others = [
            row
            for row in self._jobs.get(job, ())
            if row.until > now and row.entry != entry
        ]
        newest = others[-1] if others else None
        if newest is None or not is_newer(
            newest.deadline_s, submission.deadline_s
        ):
            self._jobs[job] = [*others, self._record(now, entry, submission)]
        return _answer(job, others)

    def find(self, now: float, job: str) -> wire.RegisteredJob | None:
        """Return the submissions of a job that other entries registered."""
        rows = [row for row in self._jobs.get(job, ()) if row.until > now]
        return _answer(job, rows) if rows else None

    def _record(
        self, now: float, entry: str, submission: wire.SubmittedJob
    ) -> _Registration:
        deadline_s = submission.deadline_s
        keep_s = (deadline_s or _UNLIMITED_KEEP_S) + self._over_after_s
        return _Registration(entry, deadline_s, now + keep_s)

    def expire(self, now: float) -> None:
        """Remove the registrations whose runs are over."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_S
        outdated = [
            job
            for job, rows in self._jobs.items()
            if all(row.until <= now for row in rows)
        ]
        for job in outdated:
            del self._jobs[job]


def _answer(job: str, others: list[_Registration]) -> wire.RegisteredJob:
    """Return the answer that names the submissions at other entries."""
    if not others:
        return wire.RegisteredJob(job)
    earlier = tuple(row.entry for row in others[:-1])
    newest = others[-1]
    return wire.RegisteredJob(job, newest.entry, newest.deadline_s, earlier)


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """No other entry holds the job; its runs may be ordered."""

    job: _jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another entry holds the job; nothing of it may start here."""

    job: _jobs.Job
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteElsewhere:
    """All tasks of the job are done; nothing of it may start again."""

    job: _jobs.Job
    #: The entry that knows.
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelledElsewhere:
    """A client cancelled the job; nothing of it may start."""

    job: _jobs.Job
    #: The entry that knows.
    entry: str


Decision = Registered | HeldElsewhere | CompleteElsewhere | CancelledElsewhere


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
    #: Until when to wait for streams to entries, while none was asked.
    join_by: float = 0.0
    #: For each entry that is asked through others, those that may reach it.
    relays: dict[str, set[str]] = msgspec.field(default_factory=dict)
    #: Entries that have just started, and when to ask each again.
    starting: dict[str, float] = msgspec.field(default_factory=dict)
    #: When to stop waiting for them.
    started_by: float = _NEVER
    #: When to look at it again, in monotonic seconds.
    due_at: float = 0.0

    @property
    def ready_at(self) -> float:
        """Earliest time of completion as it stands, in monotonic seconds."""
        if self.rounds:
            return self.not_before
        return max(self.not_before, self.join_by)

    @property
    def retries(self) -> dict[str, float]:
        """When to ask each entry again whose answer was not final."""
        return {
            name: retry_at
            for name, retry_at in (self.holders | self.starting).items()
            if name not in self.answer_due
        }

    def schedule(self) -> None:
        """Set when to look at it again.

        Each tick asks for it, while it changes with answers alone.
        """
        if not (self.answer_due or self.holders or self.starting):
            self.due_at = self.ready_at
            return
        self.due_at = min(
            self.release_by if self.holders else _NEVER,
            self.started_by if self.starting else _NEVER,
            *self.answer_due.values(),
            *self.retries.values(),
        )


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
        self._registrars = _registrars.Registrars(name)
        #: Since when no entry is connected; ``None`` if any is, or if no job
        #: was registered yet.
        self._alone_since: float | None = None
        self._has_started = False
        #: When a stream was last opened.
        self._joined_at = 0.0
        #: Until when this entry counts as just started.
        self._starting_until = 0.0
        self._pending: dict[str, _Pending] = {}
        self._answer_times = _answer_times.AnswerTimes(
            _LONGEST_ANSWER_S, _SHORTEST_ANSWER_S
        )
        #: Submissions to send, by registrar.
        self._outgoing: dict[str, list[wire.SubmittedJob]] = {}
        #: Submissions to send through others, by relay and registrar.
        self._relayed: dict[tuple[str, str], list[wire.SubmittedJob]] = {}
        self._decisions: list[Decision] = []

    @property
    def due_at(self) -> float:
        """When to call :meth:`check`, in monotonic seconds."""
        return min(
            (pending.due_at for pending in self._pending.values()),
            default=_NEVER,
        )

    @property
    def entries(self) -> _registrars.Registrars:
        """The other entries, as registrars and relays."""
        return self._registrars

    def note_started(self, now: float) -> None:
        """Record that this process has just started, at the first call."""
        if not self._has_started:
            self._has_started = True
            self._starting_until = now + _LIST_WAIT_S

    def learn_entries(self, now: float, names: abc.Iterable[str]) -> None:
        """Learn which entries there are, connected or not."""
        if self._has_started and not self._registrars.knows_entries:
            self._starting_until = now + _START_S
            for pending in self._pending.values():
                pending.join_by = max(pending.join_by, self._starting_until)
        self._registrars.learn(now, names)
        self._advance_unasked(now)

    @property
    def knows_entries(self) -> bool:
        """Whether it was learned which entries there are."""
        return self._registrars.knows_entries

    def awaits_entries(self, now: float) -> bool:
        """Return whether this entry may soon learn which entries there are."""
        return not self._registrars.knows_entries and self.is_starting(now)

    def complete_unneeded(self, is_needed: abc.Callable[[str], bool]) -> None:
        """Complete the registrations that turned out not to be needed.

        :param is_needed: returns whether a job of that name needs one
        """
        for pending in list(self._pending.values()):
            if not is_needed(pending.job.name):
                self._decide(Registered(pending.job))

    def is_starting(self, now: float) -> bool:
        """Return whether other entries may not know this one yet.

        It has just started, and not all streams are open, or one was opened
        a moment ago.
        """
        if now >= self._starting_until:
            return False
        registrars = self._registrars
        is_joined = registrars.knows_entries and registrars.reaches_all
        return not is_joined or now < self._joined_at + _REPEAT_S

    def join(
        self,
        now: float,
        name: str,
        registers_jobs: bool,
        relays: bool = False,
    ) -> None:
        """Add an entry whose stream was opened.

        :param now: monotonic seconds
        :param name: the entry
        :param registers_jobs: whether it answers registrations
        :param relays: whether it relays registrations
        """
        self._joined_at = now
        self._registrars.join(name, registers_jobs, relays)
        self._alone_since = None
        self._advance_unasked(now)

    def _advance_unasked(self, now: float) -> None:
        """Look again at the jobs that wait for streams."""
        for pending in list(self._pending.values()):
            if not pending.rounds:
                self._advance(now, pending)

    def leave(
        self,
        now: float,
        name: str,
        jobs: abc.Iterable[_jobs.Job] = (),
        by_peer: bool = False,
    ) -> None:
        """Remove an entry whose stream broke.

        :param now: monotonic seconds
        :param name: the entry
        :param jobs: started jobs, which are registered with another entry if
            this one was a registrar of theirs
        :param by_peer: whether the other side ended the stream
        """
        reached = self._registrars.reached()
        lost = [
            job
            for job in jobs
            if name in self._registrars.rank(job.name, reached)
        ]
        self._registrars.leave(now, name, by_peer)
        for job in lost:
            for registrar in self._registrars.rank(
                job.name, self._registrars.reached()
            )[1:]:
                self._queue(registrar, job)
        if self._registrars.is_alone and self._alone_since is None:
            self._alone_since = now
        for pending in list(self._pending.values()):
            self._remove(now, name, pending)

    def _remove(self, now: float, name: str, pending: _Pending) -> None:
        """Remove an entry whose stream broke from a registration."""
        for target in list(pending.relays):
            self._lose_relay(now, name, target, pending)
        if name in pending.relays:
            return
        was_asked = pending.answer_due.pop(name, None) is not None
        pending.starting.pop(name, None)
        is_holder = name in pending.holders
        if was_asked or is_holder:
            self._ask_through_others(now, name, pending)
        if is_holder and name not in pending.relays:
            self._lose_holder(now, name, pending)
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
        self._wait_for_entries(now, pending)
        self._ask_registrars(now, pending)
        if known is not None:
            self._on_holder(now, self._name, known, pending)
        if job.name in self._pending:
            self._advance(now, pending)

    def announce(self, job: _jobs.Job) -> None:
        """Register a started job anew; the answers are not waited for."""
        for name in self.registrars(job.name):
            self._queue(name, job)

    def announce_to(self, name: str, jobs: abc.Iterable[_jobs.Job]) -> None:
        """Register started jobs with an entry that is a registrar of theirs.

        Its answers are not waited for.
        """
        if not self._registrars.reaches(name):
            return
        names = self._registrars.reached()
        for job in jobs:
            if name in self._registrars.rank(job.name, names):
                self._queue(name, job)

    def registrars(self, job: str) -> list[str]:
        """Return the registrars of a job among the entries in reach."""
        return self._registrars.rank(job, self._registrars.reached())

    def is_registrar(self, job: str, name: str) -> bool:
        """Return whether an entry in reach is a registrar of a job."""
        return self._registrars.is_registrar(job, name)

    def relays_to(self, now: float, name: str) -> bool:
        """Return whether this entry can relay a message to another one."""
        return self._registrars.relays_to(now, name)

    def _wait_for_entries(self, now: float, pending: _Pending) -> None:
        """Let a job wait for the streams to its registrars.

        An entry that has just started, or that stood still, has none. One
        that has had none for long is the only one.
        """
        if self.is_starting(now):
            pending.join_by = self._starting_until
        elif self._registrars.is_alone:
            if self._alone_since is None:
                self._alone_since = now
            if now - self._alone_since < _ALONE_AFTER_S:
                pending.join_by = now + _JOIN_WAIT_S

    def _is_joining(self, now: float, pending: _Pending) -> bool:
        """Return whether a job still waits for streams."""
        if pending.rounds or now >= pending.join_by:
            return False
        registrars = self._registrars
        if not registrars.knows_entries:
            return self.awaits_entries(now) or registrars.is_alone
        first = registrars.first(pending.job.name)
        if self.is_starting(now):
            return any(map(registrars.lacks, first))
        return registrars.is_alone and bool(first)

    def receive(
        self, now: float, peer: str, registered: wire.RegisteredJob
    ) -> bool:
        """Process the answer of an entry.

        :param now: monotonic seconds
        :param peer: the entry
        :param registered: its answer for one job
        :return: whether the registration of the job was pending
        """
        self._registrars.note_answer(peer)
        pending = self._pending.get(registered.job)
        if pending is None:
            return False
        was_due = pending.answer_due.pop(peer, None) is not None
        if was_due and peer not in pending.relays:
            self._answer_times.note(now - pending.asked_at[peer])
        pending.answered.add(peer)
        if registered.is_complete:
            self._decide(CompleteElsewhere(pending.job, peer))
            return True
        if registered.is_cancelled:
            self._decide(CancelledElsewhere(pending.job, peer))
            return True
        if registered.entry != peer:
            pending.holders.pop(peer, None)
        self._note_starting(now, peer, registered, pending)
        if registered.entry and registered.entry != self._name:
            self._on_holder(now, peer, registered, pending)
        if registered.job in self._pending:
            self._advance(now, pending)
        return True

    def _note_starting(
        self,
        now: float,
        peer: str,
        registered: wire.RegisteredJob,
        pending: _Pending,
    ) -> None:
        """Ask an entry again that has just started."""
        if not registered.is_starting:
            pending.starting.pop(peer, None)
            return
        pending.starting[peer] = now + _RETRY_S
        pending.started_by = min(pending.started_by, now + _START_S)

    def receive_failure(
        self, now: float, relay: str, failed: wire.RelayFailed
    ) -> None:
        """Process that an entry could not relay requests.

        :param now: monotonic seconds
        :param relay: the entry
        :param failed: names the jobs, and the entry that was to be asked
        """
        for job in failed.jobs:
            pending = self._pending.get(job)
            if pending is not None and failed.target in pending.relays:
                self._lose_relay(now, relay, failed.target, pending)

    def _lose_relay(
        self, now: float, relay: str, target: str, pending: _Pending
    ) -> None:
        """Expect no answer of an entry through a relay any more."""
        if relay not in pending.relays[target]:
            return
        pending.relays[target].discard(relay)
        if pending.relays[target]:
            return
        self._registrars.note_absent(now, target)
        pending.answer_due.pop(target, None)
        pending.starting.pop(target, None)
        if target in pending.holders:
            self._lose_holder(now, target, pending)
        self._advance(now, pending)

    def _lose_holder(self, now: float, holder: str, pending: _Pending) -> None:
        """Wait for an entry with an older submission that nobody reaches.

        Its runs are over if it was lost. If it is only cut off, a registrar
        that reaches it has told it to give the job up.
        """
        del pending.holders[holder]
        pending.not_before = now + _RELEASE_WAIT_S

    def _on_holder(
        self,
        now: float,
        peer: str,
        registered: wire.RegisteredJob,
        pending: _Pending,
    ) -> None:
        """Process an answer that names other entries which have the job."""
        holder = registered.entry
        deadline_s = pending.job.newest_deadline_s
        if is_newer(registered.deadline_s, deadline_s):
            self._decide(HeldElsewhere(pending.job, holder))
            return
        pending.job.may_have_run_elsewhere = True
        for name in registered.earlier:
            if name not in (self._name, peer):
                self._await_holder(now, name, pending)
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
        if holder in pending.answered or holder in pending.holders:
            return
        pending.holders[holder] = now
        pending.release_by = min(pending.release_by, now + _RELEASE_WAIT_S)
        if holder not in pending.answer_due:
            self._ask(now, holder, pending)
        if holder not in pending.answer_due:
            self._lose_holder(now, holder, pending)

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
                    self._on_missing_answer(now, name, pending)
            for name, retry_at in pending.retries.items():
                if now >= retry_at:
                    self._ask_again(now, name, pending)
            self._advance(now, pending)

    def _ask_again(self, now: float, name: str, pending: _Pending) -> None:
        """Repeat a request whose answer was not final."""
        for retries in (pending.holders, pending.starting):
            if name in retries:
                retries[name] = now + _RETRY_S
        self._ask(now, name, pending)

    def _on_missing_answer(
        self, now: float, name: str, pending: _Pending
    ) -> None:
        """Wait for an entry no more, or ask it through others."""
        pending.starting.pop(name, None)
        if name in pending.relays:
            self._registrars.avoid_through_others(now, name)
            return
        if not self._registrars.is_avoided(now, name):
            self._note_unanswered(now, name)
        self._registrars.avoid(now, name)
        if self._is_silent(now, name):
            self._ask_through_others(now, name, pending)

    def _is_silent(self, now: float, name: str) -> bool:
        """Return whether an entry may be cut off from this one."""
        return self._silent_for(now, name) >= _SILENT_AFTER_S

    def pop_decisions(self) -> list[Decision]:
        """Return the decisions since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def pop_messages(
        self,
    ) -> list[tuple[str, wire.RegisterJobs | wire.Relay]]:
        """Return the requests to send, each with its receiver."""
        messages: list[tuple[str, wire.RegisterJobs | wire.Relay]] = [
            (name, wire.RegisterJobs(tuple(submissions)))
            for name, submissions in self._outgoing.items()
        ]
        for (relay, target), submissions in self._relayed.items():
            request = wire.RegisterJobs(tuple(submissions))
            messages.append((relay, wire.Relay(self._name, target, request)))
        self._outgoing.clear()
        self._relayed.clear()
        return messages

    def _advance(self, now: float, pending: _Pending) -> None:
        """Go on with a registration after any change of it."""
        self._complete_or_ask(now, pending)
        pending.schedule()

    def _complete_or_ask(self, now: float, pending: _Pending) -> None:
        """Complete a registration, or select registrars if none answered."""
        if pending.job.closed:
            self._pending.pop(pending.job.name, None)
            return
        if pending.job.name not in self._pending:
            return
        if pending.holders and now >= pending.release_by:
            self._decide_by_holder(now, pending)
            return
        if self._is_joining(now, pending):
            return
        if not pending.rounds:
            pending.join_by = 0.0
        if now >= pending.started_by:
            pending.starting.clear()
        is_unanswered = not pending.answered and not pending.answer_due
        if is_unanswered or not pending.rounds:
            self._ask_registrars(now, pending)
        is_waiting = bool(
            pending.answer_due or pending.holders or pending.starting
        )
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
            if name in pending.answered
            or self._silent_for(now, name) < _LOST_AFTER_S
        ]
        if heard:
            self._decide(HeldElsewhere(pending.job, heard[0]))
        else:
            self._decide(Registered(pending.job))

    def _ask_registrars(self, now: float, pending: _Pending) -> None:
        """Ask registrars that were not asked, if there are any left.

        The first ones by rank are told also if they are not waited for, and
        asked through others if they are not reached.
        """
        registrars = self._registrars
        if pending.rounds >= _MAX_ROUNDS or not registrars.reached():
            return
        if self._is_joining(now, pending):
            return
        pending.rounds += 1
        if pending.rounds == 1 and registrars.avoided(now):
            for name in self._select(pending, registrars.reached()):
                if registrars.is_avoided(now, name):
                    self._tell(now, name, pending)
        for name in self._select(pending, registrars.responsive(now)):
            self._ask(now, name, pending)
        for name in registrars.missing(now, pending.job.name):
            if name not in pending.relays and self._is_silent(now, name):
                self._ask_through_others(now, name, pending)

    def _select(self, pending: _Pending, names: list[str]) -> list[str]:
        """Return the first entries by rank that were not asked."""
        names = [name for name in names if name not in pending.asked_at]
        return self._registrars.rank(pending.job.name, names)

    def _ask(self, now: float, name: str, pending: _Pending) -> None:
        """Send a request, and wait for its answer."""
        is_reached = self._registrars.reaches(name)
        if is_reached:
            self._tell(now, name, pending)
            pending.answer_due[name] = now + self._answer_times.limit_s
        if not is_reached or name in pending.relays:
            self._ask_through_others(now, name, pending)

    def _ask_through_others(
        self, now: float, name: str, pending: _Pending
    ) -> None:
        """Ask an entry that is not reached, if others may reach it."""
        job = pending.job
        relays = self._registrars.relays(now, job.name, name)
        if not relays:
            return
        for relay in relays:
            submissions = self._relayed.setdefault((relay, name), [])
            submissions.append(_submission(job))
        pending.relays[name] = set(relays)
        if not self._registrars.is_avoided_through_others(now, name):
            answer_s = 2 * self._answer_times.limit_s
            pending.answer_due[name] = now + answer_s

    def _tell(self, now: float, name: str, pending: _Pending) -> None:
        """Send a request."""
        self._queue(name, pending.job)
        pending.asked_at[name] = now

    def _queue(self, name: str, job: _jobs.Job) -> None:
        self._outgoing.setdefault(name, []).append(_submission(job))

    def _decide(self, decision: Decision) -> None:
        decision.job.is_registering = False
        self._pending.pop(decision.job.name, None)
        self._decisions.append(decision)


def _submission(job: _jobs.Job) -> wire.SubmittedJob:
    """Return the newest submission of a job here, to be registered."""
    return wire.SubmittedJob(job.name, job.newest_deadline_s)
