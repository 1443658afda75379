"""How much of the pool's room this entry gets."""

import math

#: Seconds over which the work that was started is averaged: a few hundred
#: starts at the users' load, and shorter than a burst.
_SPAN_S = 0.5


class Share:
    """The cores that work of this entry gets while jobs wait.

    The entries share the pool without a central count. What an entry got
    lately shows its share, if it had work for it; else all get the same.
    """

    def __init__(self) -> None:
        self._started = 0.0
        self._tasks = 0.0
        self._started_at = 0.0
        #: Seconds between two starts of waiting tasks, at this share.
        self.gap_s = 0.0

    def note_started(self, now: float, work: float, tasks: int) -> None:
        """Take in that work was ordered.

        :param now: monotonic seconds
        :param work: core-seconds that it is expected to take
        :param tasks: how many
        """
        decay = self._decay(now)
        self._started = self._started * decay + work
        self._tasks = self._tasks * decay + tasks
        self._started_at = now

    def cores(self, now: float, pool_cores: float, entries: int) -> float:
        """Return the cores that this entry's waiting work can count on.

        :param now: monotonic seconds
        :param pool_cores: of all endpoints that can be used
        :param entries: how many entries there are, with this one
        """
        lately = self._started * self._decay(now) / _SPAN_S
        return min(pool_cores, max(lately, pool_cores / entries))

    def update(self, now: float, pool_cores: float, entries: int) -> None:
        """Work out the gap between starts anew."""
        cores = self.cores(now, pool_cores, entries)
        if cores > 0.0 and self._tasks > 0.0:
            self.gap_s = self._started / self._tasks / cores

    def _decay(self, now: float) -> float:
        return math.exp((self._started_at - now) / _SPAN_S)
