"""When an entry is told again how its agents' endpoints stand."""

from ferryledge import wire

#: Seconds between reports while there is plenty of room.
EVERY_S = 0.05
#: Share of the capacity that must be free for that.
_PLENTY_SHARE = 0.25


def _is_plenty(state: wire.EndpointState) -> bool:
    free = state.free.cpu_millis
    return free >= _PLENTY_SHARE * state.capacity.cpu_millis


def _but_room(state: wire.EndpointState) -> tuple[object, ...]:
    return (
        state.incarnation,
        state.service,
        state.capacity,
        state.accepting,
        state.remaining_s,
        state.slowness,
    )


def is_due(
    told: wire.EndpointState | None,
    state: wire.EndpointState,
    since_s: float,
) -> bool:
    """Return whether a report is due.

    Where room is scarce, each change counts. Where there is plenty, an
    entry's own orders keep its view close enough, and reports are few.

    :param told: what the entry was told last; none if nothing
    :param state: the endpoint's state now
    :param since_s: seconds since it was told
    """
    if state == told:
        return False
    if told is None or _but_room(told) != _but_room(state):
        return True
    if _is_plenty(told) and _is_plenty(state):
        return since_s >= EVERY_S
    return True
