"""When a run that the endpoint does not list is over."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _runs
from ferryledge import wire


def end_of(
    row: _runs.RunRow,
    listing: _agent_events.LeaseRenewed,
) -> wire.HowEnded | None:
    """Return how an unlisted run ended; none if it may still start.

    :param row: a run that the listing is without
    :param listing: what the endpoint listed
    """
    match row.state:
        case _runs.RunState.RUNNING if _was_confirmed(row, listing):
            return wire.HowEnded.LOST
        case _runs.RunState.STOPPING if _can_not_start(row, listing):
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
) -> bool:
    """Return whether a stopped run's order would be refused by now.

    Either a stop was confirmed before the list was asked for: the endpoint
    refuses that run from then on, and what it still ends is listed. Or the
    lease that came with the order has passed.
    """
    stopped = row.stop_confirmed_at
    refused = stopped is not None and stopped <= listing.sent_at
    expired = 0 < row.expires_ms < listing.clock_ms - 1
    return refused or expired
