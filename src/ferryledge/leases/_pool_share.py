"""Estimates this entry's share of the cores of the pool."""

import math

from ferryledge.leases import _uplink

#: Time constant in seconds of the averages over started work; shorter than a
#: burst of load.
_AVERAGING_S = _uplink.AVERAGING_S
#: Weight of the newest order in the averages over orders.
_NEWEST_WEIGHT = 0.05
#: Least share of the link that is assumed to be left for orders.
_MIN_LINK_SHARE = 0.2


class PoolShare:
    """The cores that this entry's work gets while jobs wait.

    The entries share the pool without a coordinator. Each entry expects at
    least an equal share, or more if it recently started more work than that.
    The share is limited by the orders that the entry's network link carries.

    :param link: the network link of this entry
    """

    def __init__(self, link: _uplink.Uplink | None = None) -> None:
        self._link = link or _uplink.Uplink()
        self._started = 0.0
        self._tasks = 0.0
        self._bytes = 0.0
        self._started_at = 0.0
        #: Average size of an order in bytes, and its work in core-seconds.
        self._order_bytes = 0.0
        self._order_work = 0.0
        #: Expected seconds between two starts of waiting tasks.
        self.start_interval_s = 0.0

    def note_started(
        self, now: float, work: float, tasks: int, size: int = 0
    ) -> None:
        """Record an order.

        :param now: monotonic seconds
        :param work: the expected work in core-seconds
        :param tasks: the number of tasks
        :param size: the size of the order on the link, in bytes
        """
        decay = self._decay(now)
        self._started = self._started * decay + work
        self._tasks = self._tasks * decay + tasks
        self._bytes = self._bytes * decay + size
        self._order_bytes += _NEWEST_WEIGHT * (size - self._order_bytes)
        self._order_work += _NEWEST_WEIGHT * (work - self._order_work)
        self._started_at = now

    def cores(self, now: float, pool_cores: float, entries: float) -> float:
        """Return the cores that this entry is expected to get.

        :param now: monotonic seconds
        :param pool_cores: the cores of all usable endpoints
        :param entries: the number of entries that share them, with this one
        """
        recent_cores = self._started * self._decay(now) / _AVERAGING_S
        share = max(recent_cores, pool_cores / entries)
        return min(pool_cores, share, self._link_cores(now))

    def _link_cores(self, now: float) -> float:
        """Return the cores that orders over the link can keep busy.

        The averages over orders do not decay while the entry is idle, so that
        an idle link does not look like the bottleneck.
        """
        if self._order_bytes <= 0.0:
            return math.inf
        order_bytes = self._bytes * self._decay(now)
        other_bytes_per_s = (
            self._link.recent_bytes(now) - order_bytes
        ) / _AVERAGING_S
        link_bytes_per_s = self._link.bytes_per_s
        left_bytes_per_s = max(
            _MIN_LINK_SHARE * link_bytes_per_s,
            link_bytes_per_s - max(0.0, other_bytes_per_s),
        )
        return left_bytes_per_s * self._order_work / self._order_bytes

    def update(self, now: float, pool_cores: float, entries: float) -> None:
        """Update the expected interval between starts.

        :param now: monotonic seconds
        :param pool_cores: the cores of all usable endpoints
        :param entries: the number of entries that share them, with this one
        """
        cores = self.cores(now, pool_cores, entries)
        if cores > 0.0 and self._tasks > 0.0:
            self.start_interval_s = self._started / self._tasks / cores

    def _decay(self, now: float) -> float:
        return math.exp((self._started_at - now) / _AVERAGING_S)
