"""Keeps an entry from running a job that another entry runs.

A client that gets no answer submits its job again at another entry, while the
first one may still run it, or may receive the first request only later. Agents
tell which jobs they run for other entries, entries announce the submissions
that they recognize as later ones, and jobs are registered with other entries
where no agent may serve both, or where one may have run them. Entries tell
each other which jobs are complete.
"""

from collections import abc

import msgspec

from ferryledge.leases import _cancel_outcomes
from ferryledge.leases import _completion_notices
from ferryledge.leases import _entry_notes
from ferryledge.leases import _entry_selection
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _peers
from ferryledge.leases import _pool
from ferryledge.leases import _recent_names
from ferryledge.leases import _registrars
from ferryledge.leases import _registration
from ferryledge.leases import _resubmissions
from ferryledge.leases import _rules
from ferryledge.leases import _timing
from ferryledge import outcomes
from ferryledge import wire

#: Seconds for which a job is remembered that ran for another entry.
_OTHER_JOB_KEEP_S = 10.0

Send = abc.Callable[[str, wire.Message], None]
Finish = abc.Callable[[float, _jobs.Job, outcomes.JobOutcome], None]


class Duplicates:
    """Finds jobs that another entry has, and gives up the older submission.

    :param name: name of this entry
    :param timing: timing of leases
    :param rules: the rules in force
    :param jobs: the jobs that this entry holds
    :param pool: the agents that this entry knows
    :param peers: the other entries
    :param notes: records decisions
    :param send: sends a message to an entry
    :param finish: answers a job's clients
    """

    def __init__(
        self,
        name: str,
        timing: _timing.LeaseTiming,
        rules: _rules.EntryRules,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        peers: _peers.EntryPeers,
        notes: _entry_notes.EntryNotes,
        send: Send,
        finish: Finish,
    ) -> None:
        self._name = name
        self._rules = rules
        self._jobs = jobs
        self._pool = pool
        self._peers = peers
        self._notes = notes
        self._send = send
        self._finish = finish
        self._resubmissions = _resubmissions.Resubmissions(timing)
        self._completions = _completion_notices.CompletionNotices()
        #: Entries that accept notices of complete jobs.
        self._learning: set[str] = set()
        #: Jobs that agents ran for other entries, where there are few.
        self._other_jobs = _recent_names.RecentNames()
        self._register = _registration.JobRegister(timing)
        self._registrations = _registration.Registrations(
            name, peers.silent_for, self._note_unanswered
        )

    @property
    def registrars(self) -> _registrars.Registrars:
        """The other entries, as registrars of jobs and as relays."""
        return self._registrations.entries

    @property
    def due_at(self) -> float:
        """When to call :meth:`check`, in monotonic seconds."""
        return min(self._registrations.due_at, self._completions.due_at)

    def note_started(self, now: float) -> None:
        """Record that this process has just started, at the first call."""
        self._registrations.note_started(now)

    def _note_unanswered(self, now: float, name: str) -> None:
        """Record an entry that did not answer a registration in time."""
        self._notes.registrar_silent(name)
        self._peers.reopen_if_unanswering(now, name)

    # Peers.

    def join(self, now: float, hello: wire.Hello) -> None:
        """Add an entry whose stream was opened; tell it what it missed."""
        self._registrations.join(
            now, hello.name, hello.registers_jobs, hello.relays_registrations
        )
        self._register_open_jobs(now, hello.name)
        if hello.learns_completions and self._rules.registers_jobs:
            self._learning.add(hello.name)
            self._tell_of_complete_jobs(now, hello.name)
        announced = self._resubmissions.announced(now)
        if (
            announced is not None
            and hello.name in self._peers.detecting_entries()
        ):
            self._send(hello.name, announced)

    def _register_open_jobs(self, now: float, name: str) -> None:
        """Register the open jobs with an entry that may not know them."""
        if not self._registers(now):
            return
        jobs = self._registered_jobs()
        self._registrations.announce_to(
            name, [job for job in jobs if job.is_dispatched]
        )
        for job in jobs:
            if not job.is_dispatched:
                self.register(now, job)

    def _registered_jobs(self) -> list[_jobs.Job]:
        """Return the open jobs whose registration is complete."""
        return [
            job
            for job in self._jobs.open
            if job.serves_clients and not job.is_registering
        ]

    def _tell_of_complete_jobs(self, now: float, name: str) -> None:
        """Tell an entry of the complete jobs that it may not know."""
        complete = {
            job: until
            for job, until in self._jobs.complete.items()
            if until > now and self.is_told_of(name, job)
        }
        if complete:
            notice = _completion_notices.make_notice(now, complete)
            self._send(name, notice)

    def is_told_of(self, name: str, job: str) -> bool:
        """Return whether an entry is told that a job is over.

        :param name: an entry that is connected
        :param job: name of a job that is complete or cancelled
        """
        return self._has_few_entries or self._registrations.is_registrar(
            job, name
        )

    def leave(self, now: float, name: str, by_peer: bool = False) -> None:
        """Remove an entry whose stream broke.

        :param now: monotonic seconds
        :param name: the entry
        :param by_peer: whether the other side ended the stream
        """
        self._learning.discard(name)
        self._completions.drop(name)
        jobs = self._registered_jobs() if self._registers(now) else []
        self._registrations.leave(now, name, jobs, by_peer)

    def learn_entries(self, now: float, names: list[str]) -> None:
        """Learn which entries there are, this one included."""
        self._registrations.learn_entries(now, names)
        if not self._registers(now):
            self._registrations.complete_unneeded(
                self._other_jobs.__contains__
            )

    def receive(self, now: float, peer: str, message: wire.Message) -> None:
        """Process a message of another entry; unrelated ones are ignored."""
        match message:
            case wire.JobsResubmitted(jobs):
                self._learn_resubmitted(now, peer, jobs)
            case wire.RegisterJobs(jobs, completed):
                self._learn_complete(now, peer, completed)
                answer = self._register_all(now, peer, jobs)
                self._send_with_completions(now, peer, answer)
            case wire.JobsRegistered(jobs, completed):
                self._learn_complete(now, peer, completed)
                self._learn_registered(now, peer, jobs)
            case wire.JobsCompleted():
                self._learn_complete(now, peer, message)
            case wire.Relay(_, target) if target == self._name:
                self._receive_relayed(now, peer, message)
            case wire.Relay():
                self._relay(now, peer, message)
            case wire.RelayFailed():
                self._registrations.receive_failure(now, peer, message)

    def _receive_relayed(
        self, now: float, peer: str, relayed: wire.Relay
    ) -> None:
        """Process a message that another entry relayed."""
        match relayed.message:
            case wire.RegisterJobs(jobs):
                answer = self._register_all(now, relayed.source, jobs)
                back = wire.Relay(self._name, relayed.source, answer)
                self._send(peer, back)
            case wire.JobsRegistered(jobs):
                self._learn_registered(now, relayed.source, jobs)

    def _relay(self, now: float, peer: str, relayed: wire.Relay) -> None:
        """Relay a message between two other entries."""
        request = relayed.message
        if isinstance(
            request, wire.RegisterJobs
        ) and not self._registrations.relays_to(now, relayed.target):
            names = tuple(submission.job for submission in request.jobs)
            self._send(peer, wire.RelayFailed(relayed.target, names))
        else:
            self._send(relayed.target, relayed)

    def _register_all(
        self, now: float, source: str, jobs: tuple[wire.SubmittedJob, ...]
    ) -> wire.JobsRegistered:
        """Register jobs of another entry, and return the answer to it."""
        registered = tuple(
            self._register_for(now, source, submission) for submission in jobs
        )
        if self._registrations.is_starting(now):
            registered = tuple(
                msgspec.structs.replace(row, is_starting=True)
                for row in registered
            )
        return wire.JobsRegistered(registered)

    # Submissions at this entry.

    def find_holder(self, request: _jobs.LeasedJob) -> str:
        """Return a process that knows that another entry holds a job.

        :param request: the job, as it was just submitted here
        :return: the name of the process; empty if there is none
        """
        row = self._pool.find_other_run(request.job)
        if row is not None:
            return row.name
        other = self._resubmissions.find(request.job)
        # Requests with the same deadline are copies of one submission.
        if other is not None and (
            other.is_newer(request.deadline_s)
            or other.deadline_s == request.deadline_s
        ):
            return other.entry
        return ""

    def announce_if_resubmitted(
        self, now: float, request: _jobs.LeasedJob
    ) -> None:
        """Tell the other entries of a job that was likely submitted before."""
        entries = self._peers.detecting_entries()
        announcement = self._resubmissions.note_submission(
            now,
            request.job_class.name,
            request.job,
            request.deadline_s,
            len(entries),
        )
        if announcement is not None and self._rules.detects_duplicates:
            self._notes.resubmitted(request.job, request.deadline_s)
            for name in entries:
                self._send(name, announcement)

    def runs_elsewhere(self, job: str, deadline_s: float) -> bool:
        """Return whether another entry than its delegator holds a job.

        :param job: the job
        :param deadline_s: how long its client waits; 0 if unlimited
        """
        other = self._resubmissions.find(job)
        if other is not None and other.is_newer(deadline_s):
            return True
        return self._pool.find_other_run(job) is not None

    def note_other_jobs(self, now: float, state: wire.EndpointState) -> None:
        """Remember the jobs that an agent runs or ran for other entries."""
        if not self._has_few_entries:
            return
        for job in state.jobs_added + state.jobs_removed:
            self._other_jobs.keep(job, now + _OTHER_JOB_KEEP_S)

    def register(self, now: float, job: _jobs.Job) -> None:
        """Register a job, unless no other entry can have run it.

        Nothing is ordered for it until its registration is complete.
        """
        ran_elsewhere = job.name in self._other_jobs
        if ran_elsewhere:
            job.may_have_run_elsewhere = True
        if self._registers(now) or (
            ran_elsewhere and self._rules.registers_jobs
        ):
            known = self._register.find(now, job.name)
            self._registrations.start(now, job, known)

    def announce(self, now: float, job: _jobs.Job) -> None:
        """Register a job that is under way with its registrars."""
        if self._registers(now):
            self._registrations.announce(job)

    def _registers(self, now: float) -> bool:
        """Return whether all jobs are registered.

        They are where agents may not serve all entries, and in an entry that
        has just started, which knows of no job that agents ran before.
        """
        if not self._rules.registers_jobs:
            return False
        if not self._registrations.knows_entries:
            return self._registrations.awaits_entries(now)
        return not self._has_few_entries or self._registrations.is_starting(
            now
        )

    @property
    def _has_few_entries(self) -> bool:
        """Whether each agent serves all entries."""
        entries = self._peers.entry_count
        return entries <= _entry_selection.ENTRIES_PER_AGENT

    def registered_at(self, now: float, job: str) -> set[str]:
        """Return the other entries that registered a job with this one."""
        known = self._register.find(now, job)
        if known is None:
            return set()
        return {known.entry, *known.earlier} - {self._name}

    def is_starting(self, now: float) -> bool:
        """Return whether jobs may still have to be registered here again."""
        if self._has_few_entries:
            return False
        return self._registrations.is_starting(now)

    def check(self, now: float) -> bool:
        """Decide on registrations; give up jobs that other entries hold.

        :param now: monotonic seconds
        :return: whether the registration of any job was completed
        """
        self._registrations.check(now)
        is_any_registered = False
        for decision in self._registrations.pop_decisions():
            match decision:
                case _registration.Registered():
                    is_any_registered = True
                case _registration.HeldElsewhere(job, entry):
                    self.give_up(now, job.name, entry)
                case _registration.CompleteElsewhere(job, entry):
                    self._answer_complete(now, job, entry)
                case _registration.CancelledElsewhere(job, entry):
                    self._answer_cancelled(now, job, entry)
        return is_any_registered

    def send_due(self, now: float) -> None:
        """Send the requests of registrations, and notices of completions."""
        for name, message in self._registrations.pop_messages():
            if isinstance(message, wire.Relay):
                self._notes.registrations_relayed()
                self._send(name, message)
            else:
                self._send_with_completions(now, name, message)
        for name, notice in self._completions.pop_due(now):
            self._send(name, notice)

    def _send_with_completions(
        self,
        now: float,
        peer: str,
        message: wire.RegisterJobs | wire.JobsRegistered,
    ) -> None:
        """Send a message, and the completions that wait for one."""
        completed = self._completions.pop(now, peer)
        if completed is not None:
            message = msgspec.structs.replace(message, completed=completed)
        self._send(peer, message)

    def note_complete(self, now: float, job: _jobs.Job) -> None:
        """Remember a complete job, and let others know of it.

        They are its registrars, or all entries where there are few. The
        delegate of a job leaves that to its delegator.
        """
        until = self._jobs.note_complete(now, job)
        if not job.serves_clients or not self._learning:
            return
        if self._has_few_entries:
            names: abc.Iterable[str] = self._learning
            due_at = now + _completion_notices.BATCH_WAIT_S
        else:
            names = self._registrations.registrars(job.name)
            due_at = now + _completion_notices.CARRIER_WAIT_S
        for name in names:
            if name in self._learning:
                self._completions.add(due_at, name, job.name, until)

    def send_all_completions(self) -> None:
        """Let all notices of completions be sent, since this process ends."""
        self._completions.send_all()

    def give_up(self, now: float, name: str, peer: str) -> None:
        """Answer a job that another entry runs; its runs here are stopped.

        :param now: monotonic seconds
        :param name: the job
        :param peer: the process that reported the other entry's runs
        """
        job = self._jobs.find(name)
        if job is not None and not job.closed:
            self._finish(now, job, outcome(peer))

    def _answer_complete(self, now: float, job: _jobs.Job, peer: str) -> None:
        """Answer a job of which another entry knows that it is complete.

        :param now: monotonic seconds
        :param job: the job
        :param peer: the other entry
        """
        if not job.closed:
            self._notes.already_complete(job.name, peer)
            self._finish(now, job, outcomes.Complete(()))

    def _answer_cancelled(self, now: float, job: _jobs.Job, peer: str) -> None:
        """Answer a job of which another entry knows that it is cancelled."""
        if not job.closed:
            self._notes.already_cancelled(job.name, peer)
            self._finish(now, job, _cancel_outcomes.make_outcome(peer))

    def expire(self, now: float) -> None:
        """Forget submissions whose clients don't wait any more."""
        self._resubmissions.expire(now)
        self._register.expire(now)
        self._other_jobs.expire(now)

    # Submissions at other entries.

    def _learn_resubmitted(
        self, now: float, peer: str, jobs: tuple[wire.SubmittedJob, ...]
    ) -> None:
        """Give up the jobs that their clients submitted again elsewhere."""
        for submission in jobs:
            other = self._resubmissions.learn(now, peer, submission)
            job = self._jobs.find(submission.job)
            if job is not None and other.is_newer(job.newest_deadline_s):
                self.give_up(now, job.name, peer)

    def _register_for(
        self, now: float, peer: str, submission: wire.SubmittedJob
    ) -> wire.RegisteredJob:
        """Register a job of another entry; give up an older one here."""
        if submission.job in self._jobs.complete:
            return wire.RegisteredJob(
                submission.job, self._name, is_complete=True
            )
        if submission.job in self._jobs.cancelled:
            return wire.RegisteredJob(
                submission.job, self._name, is_cancelled=True
            )
        job = self._jobs.find(submission.job)
        if job is not None and (job.serves_clients or job.closed):
            deadline_s = job.newest_deadline_s
            if _registration.is_newer(submission.deadline_s, deadline_s):
                self.give_up(now, job.name, peer)
            if self._jobs.find(job.name) is not None:
                return wire.RegisteredJob(job.name, self._name, deadline_s)
        registered = self._register.register(now, peer, submission)
        if registered.entry and _registration.is_newer(
            submission.deadline_s, registered.deadline_s
        ):
            self._notes.superseded(submission, peer, registered)
            # The entry that registers it may be cut off from the other one.
            self._send(registered.entry, wire.JobsResubmitted((submission,)))
        return registered

    def _learn_complete(
        self, now: float, peer: str, completed: wire.JobsCompleted | None
    ) -> None:
        """Remember jobs that are complete at another entry.

        One that was started here as well is answered, and its runs stopped.
        """
        if completed is None:
            return
        for name in completed.jobs:
            self._jobs.complete.keep(name, now + completed.keep_s)
            job = self._jobs.find(name)
            if job is not None:
                self._answer_complete(now, job, peer)

    def _learn_registered(
        self, now: float, peer: str, jobs: tuple[wire.RegisteredJob, ...]
    ) -> None:
        for registered in jobs:
            if self._registrations.receive(now, peer, registered):
                continue
            # A late answer: the job may have been started without it.
            job = self._jobs.find(registered.job)
            if job is None:
                continue
            if registered.is_complete:
                self._answer_complete(now, job, peer)
            elif registered.is_cancelled:
                self._answer_cancelled(now, job, peer)
            elif _registration.is_newer(
                registered.deadline_s, job.newest_deadline_s
            ):
                self.give_up(now, job.name, registered.entry)


def outcome(peer: str) -> outcomes.FailedMayHaveRun:
    """Return the outcome of a job that another entry runs.

    :param peer: the process that reported it
    """
    origin = outcomes.Origin(outcomes.Step.START, peer)
    return outcomes.FailedMayHaveRun(outcomes.Reason.DUPLICATE, origin)
