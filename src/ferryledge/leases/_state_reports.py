"""When an entry is told again how an agent's endpoint stands."""

import functools

import msgspec

from ferryledge import placement
from ferryledge import wire

#: Entries that an agent keeps up to date: few enough that they seldom want
#: the same room, and that reports stay bounded as entries are added.
MAX_PRIMARY_ENTRIES = 4
#: Seconds between reports to other entries, and while room is plentiful.
SELDOM_S = 0.45
PLENTY_S = 0.1
#: The same to a home while room is scarce: a few changes share a report.
SCARCE_S = 0.004
#: Room that becomes free is shown to one home after the other, this many
#: seconds apart: about a round trip, so that the first can take it before
#: the next one would ask for it in vain.
TURN_S = 0.002
#: Share of the capacity that must be free to be plenty.
_PLENTY_SHARE = 0.25


_NOTHING = wire.Resources()


class ReportTurns(msgspec.Struct):
    """Whose turn it is to hear first of room that became free."""

    free: wire.Resources = _NOTHING
    freed_at: float = 0.0
    turn: int = 0

    def note_free(self, now: float, free: wire.Resources) -> None:
        """Take in the present room."""
        if free.cpu_millis > self.free.cpu_millis:
            self.freed_at = now
            self.turn += 1
        self.free = free

    def report_order(self, wanted_by: dict[str, float]) -> list[str]:
        """Return homes in the order in which they hear of freed room.

        The one with the most urgent job comes first. Those that wait for
        nothing take turns behind the others.

        :param wanted_by: the homes' names with the latest start that their
            most urgent waiting job can bear
        """
        names = list(wanted_by)
        places = len(names)

        def key(name: str) -> tuple[float, int]:
            return wanted_by[name], (names.index(name) + self.turn) % places

        return sorted(names, key=key)

    def announce_at(self, place: int) -> float:
        """Return when the home at that place hears of room freed last."""
        return self.freed_at + TURN_S * place


@functools.lru_cache(maxsize=64)
def primary_entries_of(agent: str, entries: tuple[str, ...]) -> list[str]:
    """Return the entries that an agent keeps up to date.

    Entries and agents agree on them as far as they know the same entries;
    where they don't, reports come seldom and orders are turned down, no
    more.

    :param agent: the agent's name
    :param entries: names of the entries that are connected, sorted
    """
    return placement.rank(agent, entries)[:MAX_PRIMARY_ENTRIES]


def _is_plenty(state: wire.EndpointState) -> bool:
    free = state.free.cpu_millis
    return free >= _PLENTY_SHARE * state.capacity.cpu_millis


def state_without_free(state: wire.EndpointState) -> tuple[object, ...]:
    """Return what an entry hears of at once when it changes."""
    return (
        state.incarnation,
        state.service,
        state.capacity,
        state.accepting,
        state.remaining_s,
        state.slowness,
        state.is_primary,
        state.entries,
        state.cold,
        state.failing,
        state.steady,
    )


def due_at(
    told: wire.EndpointState | None,
    told_at: float,
    state: wire.EndpointState,
    announce_at: float | None,
) -> float:
    """Return when a report is due, in monotonic seconds; never is infinite.

    Where there is plenty of room, an entry's own orders keep its view close
    enough.

    :param told: what the entry was told last, with the room that it counts
        with since; none if nothing
    :param told_at: when that was
    :param state: the endpoint's state now
    :param announce_at: when it is the entry's turn to hear of freed room; none
        if it is no home
    """
    if state == told:
        return float("inf")
    if told is None or state_without_free(told) != state_without_free(state):
        return told_at
    if announce_at is None:
        return told_at + SELDOM_S
    if _is_plenty(told) and _is_plenty(state):
        return told_at + PLENTY_S
    if state.free.cpu_millis > told.free.cpu_millis:
        return max(told_at + SCARCE_S, announce_at)
    return told_at + SCARCE_S
