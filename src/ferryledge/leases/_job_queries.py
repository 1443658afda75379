"""Asks other entries for the jobs that clients cancel or look up here.

A client may cancel or look up a job at another entry than the one that holds
it. The asked entry asks the job's registrars, or all entries where there are
few, and then the entries that they name. It tells the client that there is no
such job only if all of them have answered, and confirms a cancel only if
another entry knows of it. The result is unknown if an answer that is needed
does not come in time; a cancel is then delivered nevertheless.
"""

from collections import abc
import enum

import msgspec

from ferryledge.leases import _registrars
from ferryledge import wire

#: Longest time in seconds that a client waits for the result. It is shorter
#: than the usual time-out of a call, and longer than the restart of an entry.
WAIT_S = 1.5
#: Least time in seconds after which an entry that has not answered is asked
#: again, also through others. It takes up to twice as long.
_RETRY_S = 0.2
#: The same once no client waits any more.
_IDLE_RETRY_S = 1.0
#: Seconds for which the delivery of a cancel is tried.
_DELIVERY_S = 60.0
#: Largest number of jobs in a message, within the limits of the decoder.
MAX_JOBS = 1000
_NEVER = float("inf")


class QueryResult(enum.Enum):
    """What is known of a job that a client cancelled or looked up."""

    #: An entry held it until it was cancelled, or holds it if it was only
    #: looked up.
    FOUND = "found"
    #: No entry holds it.
    ABSENT = "absent"
    #: An entry that may hold it has not answered.
    UNKNOWN = "unknown"


class _Query(msgspec.Struct):
    """A job that other entries are asked for."""

    job: str
    cancels: bool
    #: When to end the query, in monotonic seconds.
    until: float
    #: The clients that wait, and until when each does.
    tokens: dict[int, float] = msgspec.field(default_factory=dict)
    #: Whether this entry held the job itself until it was cancelled.
    was_held: bool = False
    #: Entries that may hold the job.
    named: set[str] = msgspec.field(default_factory=set)
    #: Entries whose answers are final.
    answered: set[str] = msgspec.field(default_factory=set)
    #: When to ask each entry again.
    retry_at: dict[str, float] = msgspec.field(default_factory=dict)
    #: When to look at it again.
    due_at: float = 0.0


class JobQueries:
    """The queries that other entries have not answered yet.

    :param name: name of this entry
    :param registrars: the other entries
    :param is_in_touch: returns whether this entry, given the time, knows the
        other entries and is not cut off from all of them
    :param runs_elsewhere: returns whether an agent runs a job for another
        entry
    :param send: sends a message to an entry
    :param answer: tells a client the result, by its token
    """

    def __init__(
        self,
        name: str,
        registrars: _registrars.Registrars,
        is_in_touch: abc.Callable[[float], bool],
        runs_elsewhere: abc.Callable[[str], bool],
        send: abc.Callable[[str, wire.Message], None],
        answer: abc.Callable[[int, QueryResult], None],
    ) -> None:
        self._name = name
        self._registrars = registrars
        self._is_in_touch = is_in_touch
        self._runs_elsewhere = runs_elsewhere
        self._send = send
        self._answer = answer
        #: Connected entries that answer queries.
        self._answering: set[str] = set()
        self._queries: dict[tuple[str, bool], _Query] = {}
        #: Jobs to ask for, by the entry that the message goes to, the one
        #: that is asked, and whether the jobs are cancelled.
        self._outgoing: dict[tuple[str, str, bool], list[str]] = {}

    @property
    def due_at(self) -> float:
        """When to call :meth:`check`, in monotonic seconds."""
        if not self._queries:
            return _NEVER
        return min(query.due_at for query in self._queries.values())

    def reaches(self, name: str) -> bool:
        """Return whether an entry that answers queries is connected."""
        return name in self._answering

    def join(self, name: str, finds_jobs: bool) -> None:
        """Add an entry whose stream was opened; ask it at once."""
        if finds_jobs:
            self._answering.add(name)
        self._ask_soon(name)

    def leave(self, name: str) -> None:
        """Remove an entry whose stream broke; ask it through others."""
        self._answering.discard(name)
        self._ask_soon(name)

    def _ask_soon(self, name: str) -> None:
        """Repeat the requests that an entry may not have received."""
        for query in self._queries.values():
            query.retry_at.pop(name, None)
            query.due_at = 0.0

    def start(
        self,
        now: float,
        token: int,
        job: str,
        named: abc.Iterable[str],
        cancels: bool,
        was_held: bool = False,
    ) -> None:
        """Ask for a job.

        :param now: monotonic seconds
        :param token: identifies the client's request; 0 if none waits
        :param job: name of the job
        :param named: entries that may hold it
        :param cancels: whether it is cancelled
        :param was_held: whether this entry held it until it was cancelled;
            the client is answered once another entry remembers that too
        """
        key = job, cancels
        until = now + (_DELIVERY_S if cancels else WAIT_S)
        query = self._queries.get(key)
        if query is None:
            query = self._queries[key] = _Query(job, cancels, until)
        # An entry that has answered remembers the cancel for a limited time.
        query.answered.clear()
        query.retry_at.clear()
        query.until = until
        query.was_held = query.was_held or was_held
        if token:
            query.tokens[token] = now + WAIT_S
        query.named.update(named)
        query.due_at = now

    def receive(self, now: float, peer: str, found: wire.JobsFound) -> None:
        """Process the answers of an entry."""
        for row in found.jobs:
            query = self._queries.get((row.job, found.cancels))
            if query is not None:
                self._receive_one(now, peer, row, query)

    def _receive_one(
        self, now: float, peer: str, row: wire.FoundJob, query: _Query
    ) -> None:
        query.due_at = now
        query.named.update(row.entries)
        query.named.discard(self._name)
        match row.presence:
            case wire.JobPresence.CANCELLED if query.cancels:
                self._end(query, QueryResult.FOUND)
            case wire.JobPresence.OPEN if not query.cancels:
                self._end(query, QueryResult.FOUND)
            case wire.JobPresence.COMPLETE:
                self._end(query, QueryResult.ABSENT)
            case _ if not row.is_starting:
                query.answered.add(peer)

    def check(self, now: float) -> None:
        """Decide on the queries, and ask for those that are undecided."""
        if not self._queries:
            return
        for query in list(self._queries.values()):
            if query.due_at <= now:
                self._check_one(now, query)
        self._send_requests()

    def _check_one(self, now: float, query: _Query) -> None:
        missing = self._missing(now, query)
        result = self._result(now, query, missing)
        if result is not None:
            self._end(query, result)
            return
        for token, until in list(query.tokens.items()):
            if until <= now:
                del query.tokens[token]
                self._answer(token, QueryResult.UNKNOWN)
        if query.until <= now:
            self._end(query, QueryResult.UNKNOWN)
            return
        retry_s = _RETRY_S if query.tokens else _IDLE_RETRY_S
        for name in missing:
            if query.retry_at.get(name, 0.0) <= now:
                self._ask(now, name, query)
                # All queries share these times, and so the messages.
                query.retry_at[name] = (now // retry_s + 2.0) * retry_s
        query.due_at = min(
            now + retry_s,
            query.until,
            *query.tokens.values(),
            *(query.retry_at[name] for name in missing),
        )

    def _missing(self, now: float, query: _Query) -> list[str]:
        """Return the entries whose answers are needed and missing."""
        needed = dict.fromkeys(self._registrars.required(now, query.job))
        needed.update(
            dict.fromkeys(self._registrars.exclude_lost(now, query.named))
        )
        return [name for name in needed if name not in query.answered]

    def _result(
        self, now: float, query: _Query, missing: list[str]
    ) -> QueryResult | None:
        """Return the result of a query, or ``None`` if it is not certain."""
        if query.was_held and query.answered:
            return QueryResult.FOUND
        if missing or not self._is_in_touch(now):
            return None
        if query.was_held:
            return QueryResult.FOUND
        if self._runs_elsewhere(query.job):
            return None
        return QueryResult.ABSENT

    def _ask(self, now: float, name: str, query: _Query) -> None:
        """Ask an entry; through others too if it did not answer."""
        key = query.job, query.cancels
        if name in self._answering:
            self._queue(name, name, *key)
        if name not in self._answering or name in query.retry_at:
            for relay in self._registrars.relays(now, query.job, name):
                if relay in self._answering:
                    self._queue(relay, name, *key)

    def _queue(self, peer: str, target: str, job: str, cancels: bool) -> None:
        jobs = self._outgoing.setdefault((peer, target, cancels), [])
        jobs.append(job)

    def _send_requests(self) -> None:
        for (peer, target, cancels), jobs in self._outgoing.items():
            for first in range(0, len(jobs), MAX_JOBS):
                batch = tuple(jobs[first : first + MAX_JOBS])
                query = wire.FindJobs(batch, cancels)
                if peer == target:
                    self._send(peer, query)
                else:
                    self._send(peer, wire.Relay(self._name, target, query))
        self._outgoing.clear()

    def stop(self) -> None:
        """End all queries, since this process ends."""
        for query in list(self._queries.values()):
            self._end(query, QueryResult.UNKNOWN)

    def _end(self, query: _Query, result: QueryResult) -> None:
        """Tell the clients the result."""
        self._queries.pop((query.job, query.cancels), None)
        for token in query.tokens:
            self._answer(token, result)
