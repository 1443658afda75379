"""Watches the endpoints of a pool for silence and overdue tasks."""

import statistics

from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge import placement

#: A task is overdue after this many times its expected run time.
_OVERDUE_FACTOR = 8.0
#: No task is overdue before that many seconds.
_OVERDUE_MIN_S = 2.0
#: Seconds beyond a task's timeout after which its agent is given up.
_TIMEOUT_MARGIN_S = 1.0


class Monitoring:
    """Keeps what the pool assumes of its endpoints up to date.

    :param state: the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state

    def sweep(self, now: float) -> None:
        """Doubt endpoints and drop old assumptions."""
        self._state.table.expire_foreign_slots(now)
        for row in self._state.table:
            if row.connected:
                self._doubt(now, row)
        speeds = [
            self._state.run_times.slowness(row.name)
            for row in self._state.table
            if row.usable
        ]
        self._state.normal_slowness = statistics.median_low(speeds or [1.0])

    def lost_endpoints(self, now: float) -> list[placement.EndpointRow]:
        """Return the endpoints whose streams stayed broken."""
        grace = self._state.options.reconnect_grace_s
        return [
            row
            for row in self._state.table
            if not row.connected and now - row.lost_at >= grace
        ]

    def late_jobs(self, now: float) -> list[tuple[_jobs.Job, str]]:
        """Return jobs whose agents did not even report a timeout.

        :return: each job with the agent that it waits for
        """
        late = []
        for job in self._state.jobs.values():
            limit = job.service.timeout_s + _TIMEOUT_MARGIN_S
            for seq, name in job.bound.items():
                row = self._state.table.find(name)
                binding = row.bound.get(seq) if row else None
                if binding is None or now - binding.sent_at > limit:
                    late.append((job, name))
                    break
        return late

    def _doubt(self, now: float, row: placement.EndpointRow) -> None:
        """Doubt an endpoint that is silent, or overdue with all it has."""
        peer = self._state.peers.find(row.name)
        silent = (
            peer is not None
            and bool(row.bound)
            and now - peer.last_heard > self._state.options.silence_s
        )
        is_suspect = silent or self._overdue(now, row)
        if is_suspect != row.is_suspect:
            row.is_suspect = is_suspect
            self._state.table.refresh(row)

    def _overdue(self, now: float, row: placement.EndpointRow) -> bool:
        if not row.bound:
            return False
        slowness = self._state.run_times.slowness(row.name)
        for one in row.bound.values():
            limit = max(
                _OVERDUE_MIN_S, _OVERDUE_FACTOR * one.expected_s * slowness
            )
            if now - max(one.sent_at, row.progress_at) <= limit:
                return False
        return True
