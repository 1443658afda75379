"""How much of the pool's room this entry gets."""

import math

from ferryledge.leases import _uplink

#: Seconds over which the work that was started is averaged: a few hundred
#: starts at the users' load, and shorter than a burst.
_SPAN_S = _uplink.AVERAGING_S
#: Weight of the newest order in what orders usually take and bring.
_DECAY = 0.05
#: Share of the link that orders are taken to get whatever else is sent.
_LEAST_LINK_SHARE = 0.2


class PoolShare:
    """The cores that work of this entry gets while jobs wait.

    The entries share the pool without a central count. What an entry got
    lately shows its share, if it had work for it; else all get the same.
    Where its orders need more of its own link than that carries, the link is
    the bound.

    :param link: the entry's own
    """

    def __init__(self, link: _uplink.Uplink | None = None) -> None:
        self._link = link or _uplink.Uplink()
        self._started = 0.0
        self._tasks = 0.0
        self._bytes = 0.0
        self._started_at = 0.0
        #: Bytes and work of an order, on average.
        self._order_bytes = 0.0
        self._order_work = 0.0
        #: Seconds between two starts of waiting tasks, at this share.
        self.start_interval_s = 0.0

    def note_started(
        self, now: float, work: float, tasks: int, size: int = 0
    ) -> None:
        """Take in that work was ordered.

        :param now: monotonic seconds
        :param work: core-seconds that it is expected to take
        :param tasks: how many
        :param size: bytes of the order on the link
        """
        decay = self._decay(now)
        self._started = self._started * decay + work
        self._tasks = self._tasks * decay + tasks
        self._bytes = self._bytes * decay + size
        self._order_bytes += _DECAY * (size - self._order_bytes)
        self._order_work += _DECAY * (work - self._order_work)
        self._started_at = now

    def cores(self, now: float, pool_cores: float, entries: float) -> float:
        """Return the cores that this entry's waiting work can count on.

        :param now: monotonic seconds
        :param pool_cores: of all endpoints that can be used
        :param entries: how many entries share these, with this one
        """
        lately = self._started * self._decay(now) / _SPAN_S
        share = max(lately, pool_cores / entries)
        return min(pool_cores, share, self._link_cores(now))

    def _link_cores(self, now: float) -> float:
        """Return the cores that orders over the own link can keep at work.

        By what orders usually take of it, not by the last ones alone: an
        entry that was idle would take a wide link for the bound.
        """
        if self._order_bytes <= 0.0:
            return math.inf
        orders = self._bytes * self._decay(now)
        others = (self._link.recent_bytes(now) - orders) / _SPAN_S
        rate = self._link.bytes_per_s
        left = max(_LEAST_LINK_SHARE * rate, rate - max(0.0, others))
        return left * self._order_work / self._order_bytes

    def update(self, now: float, pool_cores: float, entries: float) -> None:
        """Work out the gap between starts anew."""
        cores = self.cores(now, pool_cores, entries)
        if cores > 0.0 and self._tasks > 0.0:
            self.start_interval_s = self._started / self._tasks / cores

    def _decay(self, now: float) -> float:
        return math.exp((self._started_at - now) / _SPAN_S)
