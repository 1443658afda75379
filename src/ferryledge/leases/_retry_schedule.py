"""When refused callers are to come back, and what their return is worth.

It answers callers that are refused on a crest and all come back at once, into
a pool that is still full. Each is told the first moment at which the forecast
has room for it behind all that waits and all that was told to come back
before it: so they return one after another, as room allows.

The client carries nothing but the name of its job, which is its ticket. The
entry that refused it keeps the time that it was told, and how much work was
promised room. It does not keep them beyond its own life, nor tell other
entries: there, and under another name, a returning caller is a new one. One
that comes back at its time goes ahead of new jobs that are about as pressing;
one that comes early is a new one and, refused again, is told the same time.
"""

from collections import abc
import random

import msgspec

#: Longest delay in seconds that a caller is told: what comes later than that
#: is anyone's guess.
_LONGEST_S = 5.0
#: Seconds by which a return may be early: callers are told whole seconds, the
#: nearest to the moment with room.
_EARLY_S = 0.5
#: Seconds by which it may be late.
_KEEP_S = 3.0
#: Most callers that are remembered; the oldest one is forgotten.
_MOST = 2000


class _Promise(msgspec.Struct, frozen=True):
    """What a refused caller was told."""

    #: When it may come back, in monotonic seconds.
    due_at: float
    #: Core-seconds of its job.
    work: float


class RetrySchedule:
    """What refused callers were told.

    :param rng: spreads callers for whom no room is forecast
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._promises: dict[str, _Promise] = {}

    def schedule(
        self,
        now: float,
        name: str,
        work: float,
        queueing_delay: abc.Callable[[float], float],
    ) -> float:
        """Return the seconds after which a refused caller is to come back.

        :param now: monotonic seconds
        :param name: its job
        :param work: core-seconds of the job
        :param queueing_delay: tells in how many seconds so much work has got room,
            beside what waits already
        """
        self._forget(now)
        known = self._promises.get(name)
        if known is not None and known.due_at > now:
            return known.due_at - now
        promised = sum(
            one.work for one in self._promises.values() if one.due_at > now
        )
        delay_s = queueing_delay(promised + work)
        if delay_s > _LONGEST_S:
            delay_s = _LONGEST_S * (1.0 - 0.5 * self._rng.random())
        self._promises.pop(name, None)
        self._promises[name] = _Promise(now + delay_s, work)
        return delay_s

    def claim(self, now: float, name: str) -> bool:
        """Return whether a job that is taken comes back at its time.

        :param now: monotonic seconds
        :param name: the job
        """
        known = self._promises.get(name)
        if known is None or now < known.due_at - _EARLY_S:
            return False
        del self._promises[name]
        return now <= known.due_at + _KEEP_S

    def _forget(self, now: float) -> None:
        """Drop what nobody came back for."""
        old = [
            name
            for name, one in self._promises.items()
            if now > one.due_at + _KEEP_S
        ]
        for name in old:
            del self._promises[name]
        if len(self._promises) >= _MOST:
            del self._promises[next(iter(self._promises))]
