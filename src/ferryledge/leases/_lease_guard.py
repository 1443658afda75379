"""Decides whether the endpoint's lease may be extended.

The lease covers all runs of the endpoint. A run has to end once the grant of
its entry has expired or the entry has requested its stop. It is stopped then,
but the stop may get lost, and then the run must end with the lease. So the
lease is not extended for the other runs until the stop is confirmed.
"""

from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _timing


class LeaseGuard:
    """Checks that every run of the endpoint may go on.

    :param runs: the runs at the endpoint
    :param owners: the entries that own runs
    :param timing: durations of leases and grants
    """

    def __init__(
        self,
        runs: _runs.RunTable,
        owners: _owners.OwnerTable,
        timing: _timing.LeaseTiming,
    ) -> None:
        self._runs = runs
        self._owners = owners
        self._timing = timing

    def may_extend(self, now: float) -> bool:
        """Return whether the lease may be extended.

        A stop that an entry requested prevents that only when it is overdue,
        so that ordinary stops do not delay extensions. A run without a valid
        grant prevents it at once: its entry may be lost, and its client may
        repeat the job soon after the lease.

        :param now: monotonic seconds
        """
        return all(
            row.stop_confirmed_at is not None or self._may_go_on(row, now)
            for row in self._runs
        )

    def _may_go_on(self, row: _runs.RunRow, now: float) -> bool:
        """Return whether a run may go on."""
        overdue_since = now - self._timing.stop_s
        requested_at = row.stop_requested_at
        if requested_at is not None and requested_at <= overdue_since:
            return False
        owner = self._owners.find(row.owner)
        return owner is not None and self._owners.has_grant(owner, now)
