"""Detects silent and lost endpoints and overdue tasks."""

import statistics

from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge import placement

#: A task is overdue after its expected run time times this factor.
_OVERDUE_FACTOR = 8.0
#: Minimum seconds before a task is overdue.
_OVERDUE_MIN_S = 2.0
#: Seconds to wait for an agent's report beyond a task's timeout.
_TIMEOUT_GRACE_S = 1.0


class Monitoring:
    """Updates the state of a pool's endpoints from timeouts.

    :param state: the state of the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state

    def sweep(self, now: float) -> None:
        """Update suspect endpoints, foreign slots and the median slowness."""
        self._state.table.expire_foreign_slots(now)
        for row in self._state.table:
            if row.connected:
                self._update_suspicion(now, row)
        slowness_values = [
            self._state.run_times.slowness(row.name)
            for row in self._state.table
            if row.usable
        ]
        self._state.normal_slowness = statistics.median_low(
            slowness_values or [1.0]
        )

    def lost_endpoints(self, now: float) -> list[placement.EndpointRow]:
        """Return the endpoints that did not reconnect in time."""
        grace = self._state.options.reconnect_grace_s
        return [
            row
            for row in self._state.table
            if not row.connected and now - row.lost_at >= grace
        ]

    def timed_out_jobs(self, now: float) -> list[tuple[_jobs.Job, str]]:
        """Return jobs whose agents failed to report a timed-out task.

        :return: each job with the name of the agent that did not report
        """
        timed_out = []
        for job in self._state.jobs.values():
            limit = job.service.timeout_s + _TIMEOUT_GRACE_S
            for seq, name in job.bound.items():
                row = self._state.table.find(name)
                binding = row.bound.get(seq) if row else None
                if binding is None or now - binding.sent_at > limit:
                    timed_out.append((job, name))
                    break
        return timed_out

    def _update_suspicion(
        self, now: float, row: placement.EndpointRow
    ) -> None:
        """Suspect an endpoint that is silent or has only overdue tasks."""
        peer = self._state.peers.find(row.name)
        silent = (
            peer is not None
            and bool(row.bound)
            and now - peer.last_received > self._state.options.silence_s
        )
        is_suspect = silent or self._is_overdue(now, row)
        if is_suspect != row.is_suspect:
            row.is_suspect = is_suspect
            self._state.table.refresh(row)

    def _is_overdue(self, now: float, row: placement.EndpointRow) -> bool:
        if not row.bound:
            return False
        slowness = self._state.run_times.slowness(row.name)
        for binding in row.bound.values():
            limit = max(
                _OVERDUE_MIN_S, _OVERDUE_FACTOR * binding.expected_s * slowness
            )
            if now - max(binding.sent_at, row.progress_at) <= limit:
                return False
        return True
