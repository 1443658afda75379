"""Cancels and finds the jobs of clients, at whichever entry they are.

A cancelled job is remembered where it was held, where the cancel arrived and
by the job's registrars, so that no later submission of it is started. Entries
that connect later are told as well.
"""

from collections import abc

from ferryledge.leases import _cancel_outcomes
from ferryledge.leases import _duplicates
from ferryledge.leases import _entry_notes
from ferryledge.leases import _job_queries
from ferryledge.leases import _job_table
from ferryledge.leases import _peers
from ferryledge.leases import _pool
from ferryledge import wire

DelegatorOf = abc.Callable[[str], str]


class Cancellations:
    """Cancels jobs here and at other entries.

    :param name: name of this entry
    :param jobs: the jobs that this entry holds
    :param pool: the agents that this entry knows
    :param peers: the other entries
    :param duplicates: knows where jobs are registered
    :param delegator_of: returns the entry that handed a job over, by the
        job's name; empty if none did
    :param notes: records decisions
    :param send: sends a message to an entry
    :param finish: answers a job's clients
    :param answer: tells a client the result of a cancel or a look-up
    """

    def __init__(
        self,
        name: str,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        peers: _peers.EntryPeers,
        duplicates: _duplicates.Duplicates,
        delegator_of: DelegatorOf,
        notes: _entry_notes.EntryNotes,
        send: _duplicates.Send,
        finish: _duplicates.Finish,
        answer: abc.Callable[[int, _job_queries.QueryResult], None],
    ) -> None:
        self._name = name
        self._jobs = jobs
        self._pool = pool
        self._peers = peers
        self._duplicates = duplicates
        self._delegator_of = delegator_of
        self._notes = notes
        self._send = send
        self._finish = finish
        self._answer = answer
        self._queries = _job_queries.JobQueries(
            name,
            duplicates.registrars,
            self._is_in_touch,
            lambda job: pool.find_other_run(job) is not None,
            send,
            self._answer,
        )

    @property
    def due_at(self) -> float:
        """When to call :meth:`check`, in monotonic seconds."""
        return self._queries.due_at

    def _is_in_touch(self, now: float) -> bool:
        """Return whether this entry knows the others, and reaches some.

        The only one that is up reaches none of them, but its agents.
        """
        registrars = self._duplicates.registrars
        if not self._peers.has_entry_list:
            return False
        return (
            not registrars.is_alone
            or not registrars.has_others
            or self._pool.is_usable(now)
        )

    # Peers.

    def join(self, now: float, hello: wire.Hello) -> None:
        """Add an entry whose stream was opened; tell it what it missed."""
        self._queries.join(hello.name, hello.finds_jobs)
        if not hello.finds_jobs:
            return
        cancelled = {
            job: until
            for job, until in self._jobs.cancelled.items()
            if until > now and self._duplicates.is_told_of(hello.name, job)
        }
        names = list(cancelled)
        for first in range(0, len(names), _job_queries.MAX_JOBS):
            some = names[first : first + _job_queries.MAX_JOBS]
            keep_s = max(cancelled[job] for job in some) - now
            self._send(hello.name, wire.JobsCancelled(tuple(some), keep_s))

    def leave(self, name: str) -> None:
        """Remove an entry whose stream broke."""
        self._queries.leave(name)

    def receive(self, now: float, peer: str, message: wire.Message) -> None:
        """Process a message of another entry."""
        match message:
            case wire.FindJobs():
                self._send(peer, self._find_all(now, peer, message))
            case wire.JobsFound():
                self._queries.receive(now, peer, message)
            case wire.JobsCancelled(jobs, keep_s):
                for job in jobs:
                    self._cancel_for(now, peer, job, keep_s)
            case wire.Relay(source, target, inner) if target == self._name:
                self._receive_relayed(now, peer, source, inner)
            case wire.Relay(_, target) if self._queries.reaches(target):
                self._send(target, message)

    def _receive_relayed(
        self, now: float, relay: str, source: str, message: wire.Message
    ) -> None:
        match message:
            case wire.FindJobs():
                answer = self._find_all(now, source, message)
                self._send(relay, wire.Relay(self._name, source, answer))
            case wire.JobsFound():
                self._queries.receive(now, source, message)

    def _find_all(
        self, now: float, peer: str, query: wire.FindJobs
    ) -> wire.JobsFound:
        """Cancel or look up jobs for another entry."""
        is_starting = self._duplicates.is_starting(now)
        rows = []
        for job in query.jobs:
            entries = self._named(now, job)
            if query.cancels:
                presence = self._cancel_for(now, peer, job)
            else:
                presence = self._jobs.presence(job)
            rows.append(wire.FoundJob(job, presence, entries, is_starting))
        return wire.JobsFound(tuple(rows), query.cancels)

    def _named(self, now: float, job: str) -> tuple[str, ...]:
        """Return the other entries that may hold a job."""
        named = self._duplicates.registered_at(now, job)
        delegator = self._delegator_of(job)
        if delegator:
            named.add(delegator)
        return tuple(sorted(named))

    # Clients.

    def cancel(self, now: float, token: int, job: str) -> None:
        """Cancel a job for a client.

        :param now: monotonic seconds
        :param token: identifies the request; 0 if nobody waits for the result
        :param job: name of the job
        """
        named = self._named(now, job)
        presence = self._cancel_here(now, job)
        self._notes.cancel_received(job, presence)
        if presence is wire.JobPresence.COMPLETE:
            self._answer(token, _job_queries.QueryResult.ABSENT)
            return
        self._queries.start(
            now,
            token,
            job,
            named,
            cancels=True,
            was_held=presence is wire.JobPresence.CANCELLED,
        )

    def look_up(self, now: float, token: int, job: str) -> None:
        """Find out for a client whether any entry holds a job."""
        match self._jobs.presence(job):
            case wire.JobPresence.OPEN:
                self._answer(token, _job_queries.QueryResult.FOUND)
            case wire.JobPresence.COMPLETE | wire.JobPresence.CANCELLED:
                self._answer(token, _job_queries.QueryResult.ABSENT)
            case _:
                named = self._named(now, job)
                self._queries.start(now, token, job, named, cancels=False)

    def _cancel_for(
        self,
        now: float,
        peer: str,
        job: str,
        keep_s: float = _job_table.CANCELLED_KEEP_S,
    ) -> wire.JobPresence:
        """Cancel a job here for a client of another entry."""
        if self._jobs.presence(job) is wire.JobPresence.OPEN:
            self._notes.cancelled_for(job, peer)
        return self._cancel_here(now, job, keep_s)

    def _cancel_here(
        self,
        now: float,
        name: str,
        keep_s: float = _job_table.CANCELLED_KEEP_S,
    ) -> wire.JobPresence:
        """Stop a job if this entry holds it, and remember that.

        :return: what this entry knows of it then
        """
        if name in self._jobs.complete:
            return wire.JobPresence.COMPLETE
        self._jobs.note_cancelled(now, name, keep_s)
        job = self._jobs.find(name)
        if job is not None and not job.closed:
            self._finish(now, job, _cancel_outcomes.make_outcome(self._name))
        return self._jobs.presence(name)

    def tell_delegator(self, peer: str, job: str) -> None:
        """Tell an entry that offers a cancelled job that it is cancelled."""
        if job in self._jobs.cancelled and self._queries.reaches(peer):
            message = wire.JobsCancelled((job,), _job_table.CANCELLED_KEEP_S)
            self._send(peer, message)

    # Periodic work.

    def check(self, now: float) -> None:
        """Decide on the jobs that other entries were asked for."""
        self._queries.check(now)

    def stop(self) -> None:
        """Answer all clients, since this process ends."""
        self._queries.stop()
