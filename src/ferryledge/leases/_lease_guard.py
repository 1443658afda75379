"""Decides whether the endpoint's lease may be extended.

The lease covers all runs of the endpoint. A run has to end once its entry's
grant has expired or the entry has asked for its stop. It is stopped then, but
the stop may get lost. As a fallback the lease ends the run, so the lease must
not be extended for the sake of other runs.
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

        A stop that an entry asked for has the time that it usually takes
        before the lease is withheld, so that stops in normal operation do not
        delay renewals. A grant that expired has none: its entry may be lost,
        and its clients come again soon after the lease.

        :param now: monotonic seconds
        """
        return all(
            row.stop_confirmed_at is not None or self._may_go_on(row, now)
            for row in self._runs
        )

    def _may_go_on(self, row: _runs.RunRow, now: float) -> bool:
        """Return whether a run may go on."""
        since = now - self._timing.stop_s
        if row.unwanted_at is not None and row.unwanted_at <= since:
            return False
        owner = self._owners.find(row.owner)
        return owner is not None and self._owners.has_grant(owner, now)
