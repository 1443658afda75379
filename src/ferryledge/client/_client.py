"""Submits jobs and retries them where the outcome allows it.

- A job that is complete, or that failed and may have run, is not retried.
- A job that was refused, is in progress or failed without running is retried
  if the reply holds a retry delay.
- A job without a complete reply is sent again, to the next entry. An
  unrepeatable job is sent again with its ticket, under which it runs at most
  once.
- An unrepeatable job that was sent without a ticket is sent again with the
  ticket in the reply, which doesn't count as an attempt.

All jobs of a client share one retry budget.
"""

import collections
import dataclasses
import itertools
import random
import secrets
import time

import anyio

from ferryledge.client import _model
from ferryledge import limits
from ferryledge import runtime

_RETRY_OUTCOMES = frozenset({"refused", "failed_not_run", "in_progress"})
#: Shortest time in seconds before a retry if the reply holds no delay; the
#: client waits up to twice as long, at random.
_DEFAULT_DELAY_S = 0.05
_TICKET_LOST = "ticket_lost"
#: Seconds for which a spare ticket is usable; agents keep it much longer.
_SPARE_TICKET_LIFE_S = 120.0
_MAX_SPARE_TICKETS = 64


class UnreachableError(Exception):
    """The client has no entry address to send jobs to."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientOptions:
    """Retry and connection options of a client."""

    #: Maximum number of attempts per job.
    max_attempts: int = 4
    #: Retries that each first attempt adds to the budget.
    retry_ratio: float = 0.1
    #: Maximum number of unused retries in the budget.
    retry_burst: float = 10.0
    #: Seconds to wait for the reply to an attempt.
    timeout_s: float = 60.0
    #: Maximum number of connections per entry.
    connections: int = 64


class Client:
    """Submits jobs to entries and cancels them.

    :param urls: base URLs of the entries or of a load balancer
    :param options: retry and connection options; defaults to
        ``ClientOptions()``
    :raises UnreachableError: if there is no URL
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        options: ClientOptions | None = None,
    ) -> None:
        if not urls:
            raise UnreachableError("at least one entry address is required")
        self._options = options or ClientOptions()
        self._http_clients = [
            runtime.HttpClient(url, self._options.connections) for url in urls
        ]
        self._start_indexes = itertools.count()
        self._spare_tickets: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=_MAX_SPARE_TICKETS)
        )
        self._budget = limits.RetryBudget(
            self._options.retry_ratio, self._options.retry_burst
        )

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        for http_client in self._http_clients:
            await http_client.close()

    async def submit(self, job: _model.Job) -> _model.Reply:
        """Submit a job and wait for its outcome.

        :param job: the job to run
        :return: the reply to the last attempt; the outcome ``lost`` means
            that no complete reply arrived, and ``ran`` says whether the job
            may have run
        """
        request_id = job.request_id or secrets.token_hex(8)
        ticket = "" if job.repeatable else self._pop_spare()
        ticket_sent = False
        self._budget.record_attempt()
        attempt = 0
        for index in itertools.count(next(self._start_indexes)):
            attempt += 1
            http_client = self._http_client(index)
            reply = await self._attempt(http_client, job, request_id, ticket)
            reply = dataclasses.replace(reply, attempts=attempt)
            self._store_spare(reply.spare_ticket)
            if reply.outcome == "ticket_required":
                ticket, ticket_sent = reply.ticket, False
                attempt -= 1
                continue
            if reply.reason == _TICKET_LOST and not ticket_sent:
                # The agent that issued the ticket is gone. No earlier attempt
                # used the ticket, so the job can't have run under it.
                ticket = ""
                attempt -= 1
                if self._budget.try_acquire():
                    continue
                return reply
            ticket_sent = True
            if not _may_retry(reply):
                return reply
            if attempt >= self._options.max_attempts:
                return reply
            if not self._budget.try_acquire():
                return reply
            await anyio.sleep(self._delay(reply))
        raise AssertionError("the retry loop always returns")

    async def cancel(self, workspace: str, request_id: str) -> None:
        """Cancel a job.

        The pending :meth:`submit` returns the outcome.

        :param workspace: the workspace of the job
        :param request_id: the job's request ID
        """
        path = f"/v1/jobs/{workspace}/{request_id}"
        await self._http_client(next(self._start_indexes)).call("DELETE", path)

    def _pop_spare(self) -> str:
        now = time.monotonic()
        while self._spare_tickets:
            ticket, stored_at = self._spare_tickets.popleft()
            if now - stored_at < _SPARE_TICKET_LIFE_S:
                return ticket
        return ""

    def _store_spare(self, ticket: str) -> None:
        if ticket:
            self._spare_tickets.append((ticket, time.monotonic()))

    def _delay(self, reply: _model.Reply) -> float:
        if reply.retry_after_s:
            return reply.retry_after_s
        return _DEFAULT_DELAY_S * (1.0 + random.random())

    def _http_client(self, index: int) -> runtime.HttpClient:
        """Return the HTTP client of one entry, in round-robin order.

        The attempts of one job use successive indexes, so that every other
        entry is tried before an unavailable one is tried again.
        """
        return self._http_clients[index % len(self._http_clients)]

    async def _attempt(
        self,
        http_client: runtime.HttpClient,
        job: _model.Job,
        request_id: str,
        ticket: str,
    ) -> _model.Reply:
        body = job.to_json(request_id, ticket)
        try:
            with anyio.fail_after(self._options.timeout_s):
                response = await http_client.call("POST", "/v1/jobs", body)
            return _model.Reply.parse(response.status, response.content)
        except runtime.ConnectError:
            return _model.Reply(0, "lost", "no", reason="unreachable")
        except (TimeoutError, ValueError, runtime.CallError) as exc:
            return _model.Reply(0, "lost", "maybe", reason=str(exc))


def _may_retry(reply: _model.Reply) -> bool:
    """Return whether to send the job again after this reply."""
    if reply.outcome == "lost":
        # An unrepeatable job runs at most once under its ticket, and never
        # without a ticket.
        return True
    return reply.outcome in _RETRY_OUTCOMES and reply.retry_after_s > 0
