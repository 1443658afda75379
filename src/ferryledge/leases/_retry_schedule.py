"""Schedules the retries of refused clients.

Without a schedule, clients that are refused during a peak would all retry at
once, while the pool is still full. Each client is told the first time at which
the forecast has capacity for its job, behind all waiting jobs and all retries
that are scheduled already.

A retry is recognised by the name of the job. It goes ahead of new jobs of
about the same urgency if it comes at the scheduled time. A client that retries
earlier is treated as new and, if refused again, is told the same time. The
schedule is local to this entry and is lost when the process ends. At other
entries, or under another name, a client that retries is a new one.
"""

from collections import abc
import random

import msgspec

#: Maximum retry delay in seconds. Later capacity is not predictable.
_MAX_DELAY_S = 5.0
#: Seconds by which a retry may be early, since clients are told whole seconds.
_EARLY_TOLERANCE_S = 0.5
#: Seconds by which a retry may be late.
_LATE_TOLERANCE_S = 3.0
#: Maximum number of scheduled retries; beyond it the oldest is dropped.
_MAX_ENTRIES = 2000


class _Retry(msgspec.Struct, frozen=True):
    """A scheduled retry."""

    #: Scheduled time, in monotonic seconds.
    due_at: float
    #: Core-seconds of the job.
    work: float


class RetrySchedule:
    """Retries that refused clients were told to make.

    :param rng: adds jitter to retries for which no capacity is forecast
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: Scheduled retries by job name, the oldest first.
        self._retries: dict[str, _Retry] = {}

    def schedule(
        self,
        now: float,
        name: str,
        work: float,
        queueing_delay: abc.Callable[[float], float],
    ) -> float:
        """Return the seconds after which a refused client should retry.

        :param now: monotonic seconds
        :param name: name of the refused job
        :param work: core-seconds of the job
        :param queueing_delay: returns the delay in seconds of additional
            core-seconds of work behind all waiting work
        """
        self._expire(now)
        known = self._retries.get(name)
        if known is not None and known.due_at > now:
            return known.due_at - now
        reserved = sum(
            retry.work
            for retry in self._retries.values()
            if retry.due_at > now
        )
        delay_s = queueing_delay(reserved + work)
        if delay_s > _MAX_DELAY_S:
            delay_s = _MAX_DELAY_S * (1.0 - 0.5 * self._rng.random())
        self._retries.pop(name, None)
        self._retries[name] = _Retry(now + delay_s, work)
        return delay_s

    def claim(self, now: float, name: str) -> bool:
        """Return whether an admitted job is a retry at its scheduled time.

        :param now: monotonic seconds
        :param name: name of the job
        """
        known = self._retries.get(name)
        if known is None or now < known.due_at - _EARLY_TOLERANCE_S:
            return False
        del self._retries[name]
        return now <= known.due_at + _LATE_TOLERANCE_S

    def _expire(self, now: float) -> None:
        """Drop retries that were not made in time."""
        expired = [
            name
            for name, retry in self._retries.items()
            if now > retry.due_at + _LATE_TOLERANCE_S
        ]
        for name in expired:
            del self._retries[name]
        if len(self._retries) >= _MAX_ENTRIES:
            del self._retries[next(iter(self._retries))]
