"""Submits jobs, and retries only what the outcome allows.

- ``complete``, and failures that may have run: returned.
- refused or failed, not run: retried after the told delay.
- no whole answer: a repeatable job is sent again, perhaps elsewhere; an
  unrepeatable one is sent again with its ticket, under which it runs once.

All retries come out of one budget.
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
_LOST_DELAY_S = 0.05
_TICKET_LOST = "ticket_lost"
#: Seconds for which a spare ticket is used; agents keep it much longer.
_SPARE_LIFE_S = 120.0
_MAX_SPARES = 64


class UnreachableError(Exception):
    """No address to send to."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientOptions:
    """How a client retries."""

    #: Most attempts for one job.
    max_attempts: int = 4
    #: Retries earned by each first attempt.
    retry_ratio: float = 0.1
    #: Most retries saved up.
    retry_burst: float = 10.0
    #: Seconds after which an attempt without an answer is given up.
    timeout_s: float = 60.0
    #: Most connections to one entry.
    connections: int = 64


class Client:
    """Talks to the entries at some addresses.

    :param urls: base addresses of entries, or of the balancer
    :param options: how to retry
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        options: ClientOptions | None = None,
    ) -> None:
        if not urls:
            raise UnreachableError("give at least one entry's address")
        self._options = options or ClientOptions()
        self._callers = [
            runtime.HttpCaller(url, self._options.connections) for url in urls
        ]
        self._turns = itertools.count()
        self._spares: collections.deque[tuple[str, float]] = collections.deque(
            maxlen=_MAX_SPARES
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
        for caller in self._callers:
            await caller.close()

    async def submit(self, job: _model.Job) -> _model.Reply:
        """Run a job and return what became of it.

        :param job: the job
        :return: the last reply; ``lost`` means that no whole answer came,
            so the job may have run
        """
        request_id = job.request_id or secrets.token_hex(8)
        ticket = "" if job.repeatable else self._take_spare()
        ticket_used = False
        self._budget.record_attempt()
        attempt = 0
        for turn in itertools.count(next(self._turns)):
            attempt += 1
            caller = self._caller(turn)
            reply = await self._attempt(caller, job, request_id, ticket)
            reply = dataclasses.replace(reply, attempts=attempt)
            self._keep_spare(reply.spare_ticket)
            if reply.outcome == "ticket_required":
                ticket, ticket_used = reply.ticket, False
                attempt -= 1
                continue
            if reply.reason == _TICKET_LOST and not ticket_used:
                # Its minter is gone; nothing else was sent under it.
                ticket = ""
                attempt -= 1
                if self._budget.try_acquire():
                    continue
                return reply
            ticket_used = True
            if not _may_retry(reply):
                return reply
            if attempt >= self._options.max_attempts:
                return reply
            if not self._budget.try_acquire():
                return reply
            await anyio.sleep(self._delay(reply))
        raise AssertionError("turns never end")

    async def cancel(self, workspace: str, request_id: str) -> None:
        """Cancel a job; its submission gets the outcome."""
        path = f"/v1/jobs/{workspace}/{request_id}"
        await self._caller(next(self._turns)).call("DELETE", path)

    def _take_spare(self) -> str:
        now = time.monotonic()
        while self._spares:
            ticket, kept_at = self._spares.popleft()
            if now - kept_at < _SPARE_LIFE_S:
                return ticket
        return ""

    def _keep_spare(self, ticket: str) -> None:
        if ticket:
            self._spares.append((ticket, time.monotonic()))

    def _delay(self, reply: _model.Reply) -> float:
        if reply.retry_after_s:
            return reply.retry_after_s
        return _LOST_DELAY_S * (1.0 + random.random())

    def _caller(self, turn: int) -> runtime.HttpCaller:
        """Return the entry whose turn it is.

        A job's tries go to one entry after the other, so that a dead one is
        not tried twice before all others were.
        """
        return self._callers[turn % len(self._callers)]

    async def _attempt(
        self,
        caller: runtime.HttpCaller,
        job: _model.Job,
        request_id: str,
        ticket: str,
    ) -> _model.Reply:
        body = job.to_json(request_id, ticket)
        try:
            with anyio.fail_after(self._options.timeout_s):
                response = await caller.call("POST", "/v1/jobs", body)
            return _model.Reply.parse(response.status, response.content)
        except runtime.ConnectError:
            return _model.Reply(0, "lost", "no", reason="unreachable")
        except (TimeoutError, ValueError, runtime.CallError) as exc:
            return _model.Reply(0, "lost", "maybe", reason=str(exc))


def _may_retry(reply: _model.Reply) -> bool:
    """Return whether sending the job again can do no harm."""
    if reply.outcome == "lost":
        # An unrepeatable job runs under its ticket alone, so once at most;
        # without a ticket it was never run.
        return True
    return reply.outcome in _RETRY_OUTCOMES and reply.retry_after_s > 0
