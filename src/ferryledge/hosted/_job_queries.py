"""Lets clients wait until a cancel or a look-up of a job is answered."""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _metrics
from ferryledge import leases
from ferryledge import net


class _Waiting:
    """A client that waits for a result."""

    def __init__(self) -> None:
        self.ready = anyio.Event()
        self.result = leases.QueryResult.UNKNOWN


class JobQueries:
    """The cancels and look-ups that wait for the entry's core.

    :param driver: passes events to the core
    :param tokens: yields the tokens of requests
    :param registry: serves the metrics
    """

    def __init__(
        self,
        driver: net.Driver[leases.EntryEvent, leases.EntryAction],
        tokens: abc.Iterator[int],
        registry: _metrics.Registry,
    ) -> None:
        self._driver = driver
        self._tokens = tokens
        self._answers = registry.counter(
            "job_queries",
            "Cancels and look-ups that were answered",
            ("kind", "result"),
        )
        self._waiting: dict[int, _Waiting] = {}

    @property
    def waiting(self) -> int:
        """Number of clients that wait."""
        return len(self._waiting)

    async def cancel(self, job: str) -> leases.QueryResult:
        """Cancel a job at whichever entry it is."""
        token = next(self._tokens)
        event = leases.JobCancelled(job, token)
        return await self._wait("cancel", job, token, event)

    async def look_up(self, job: str) -> leases.QueryResult:
        """Find out whether any entry holds a job."""
        token = next(self._tokens)
        event = leases.JobLookedUp(job, token)
        return await self._wait("look-up", job, token, event)

    def resolve(self, token: int, result: leases.QueryResult) -> None:
        """Pass a result to the client that waits for it."""
        waiting = self._waiting.get(token)
        if waiting is not None:
            waiting.result = result
            waiting.ready.set()

    async def _wait(
        self, kind: str, job: str, token: int, event: leases.EntryEvent
    ) -> leases.QueryResult:
        waiting = self._waiting[token] = _Waiting()
        began_at = self._driver.now()
        try:
            self._driver.post(event)
            await waiting.ready.wait()
        finally:
            del self._waiting[token]
        self._answers.add(1, kind, waiting.result.value)
        loguru.logger.info(
            "{} answered: {}",
            kind,
            waiting.result.value,
            step="cancel",
            job=job,
            waited_s=round(self._driver.now() - began_at, 3),
        )
        return waiting.result
