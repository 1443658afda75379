"""Decides which runs have ended that the endpoint doesn't list."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _runs
from ferryledge import wire


def end_of(
    row: _runs.RunRow,
    listing: _agent_events.LeaseRenewed,
) -> wire.RunOutcome | None:
    """Return how an unlisted run ended; none if it may still start.

    :param row: a run that isn't in the listing
    :param listing: the endpoint's answer to a renewal
    """
    if row.key.task in listing.unclear_tasks:
        return None
    match row.state:
        case _runs.RunState.RUNNING if _was_confirmed(row, listing):
            return wire.RunOutcome.LOST
        case _runs.RunState.STOPPING if _can_not_start(row, listing):
            return wire.RunOutcome.STOPPED
    return None


def _was_confirmed(
    row: _runs.RunRow, listing: _agent_events.LeaseRenewed
) -> bool:
    """Return whether a run's start was confirmed before the listing."""
    return row.confirmed_at is None or row.confirmed_at < listing.sent_at


def _can_not_start(
    row: _runs.RunRow,
    listing: _agent_events.LeaseRenewed,
) -> bool:
    """Return whether the endpoint would refuse a late start of the run.

    It does once it has confirmed the run's stop, and after the lease that
    the start carried has expired. A stop that was confirmed before the
    listing was requested is reflected in it.
    """
    stopped = row.stop_confirmed_at
    refused = stopped is not None and stopped <= listing.sent_at
    expired = 0 < row.expires_ms < listing.clock_ms - 1
    return refused or expired
