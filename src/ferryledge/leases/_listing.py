"""When a run that the endpoint does not list is over."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _runs
from ferryledge.leases import _timing
from ferryledge import wire


def end_of(
    row: _runs.RunRow,
    listing: _agent_events.LeaseRenewed,
    timing: _timing.LeaseTiming,
) -> wire.HowEnded | None:
    """Return how an unlisted run ended; none if it may still start.

    :param row: a run that the listing is without
    :param listing: what the endpoint listed
    :param timing: the lease rule
    """
    match row.state:
        case _runs.RunState.RUNNING if _was_confirmed(row, listing):
            return wire.HowEnded.LOST
        case _runs.RunState.STOPPING if _can_not_start(row, listing, timing):
            return wire.HowEnded.STOPPED
    return None


def _was_confirmed(
    row: _runs.RunRow, listing: _agent_events.LeaseRenewed
) -> bool:
    """Return whether the endpoint confirmed a run before it listed."""
    return row.confirmed_at is None or row.confirmed_at < listing.sent_at


def _can_not_start(
    row: _runs.RunRow,
    listing: _agent_events.LeaseRenewed,
    timing: _timing.LeaseTiming,
) -> bool:
    """Return whether a stopped run's order would be refused by now.

    Either a stop was confirmed, after which the endpoint refuses that run,
    or the lease that came with the order has passed.
    """
    stopped = row.stop_confirmed_at
    refused = (
        stopped is not None and stopped + timing.stop_s <= listing.sent_at
    )
    expired = 0 < row.expires_ms < listing.clock_ms - 1
    return refused or expired
