"""When an entry is told again how its agents' endpoints stand."""

from ferryledge import wire

#: Seconds between reports while there is plenty of room.
EVERY_S = 0.05
#: The same while room is scarce: a few changes then share a report.
SCARCE_EVERY_S = 0.004
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


def due_at(
    told: wire.EndpointState | None,
    told_at: float,
    state: wire.EndpointState,
) -> float:
    """Return when a report is due, in monotonic seconds; never is infinite.

    Where room is scarce, a change counts at once, or nearly. Where there is
    plenty, an entry's own orders keep its view close enough, and reports are
    few.

    :param told: what the entry was told last; none if nothing
    :param told_at: when that was
    :param state: the endpoint's state now
    """
    if state == told:
        return float("inf")
    if told is None or _but_room(told) != _but_room(state):
        return told_at
    plenty = _is_plenty(told) and _is_plenty(state)
    return told_at + (EVERY_S if plenty else SCARCE_EVERY_S)
