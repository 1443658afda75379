"""Decides when an agent reports the state of its endpoint to an entry.

An agent keeps a few primary entries up to date and reports to the others
seldom. Free room is announced to the primary entries one after the other, so
that they do not all compete for it.
"""

import functools

import msgspec

from ferryledge import placement
from ferryledge import wire

#: Entries that an agent keeps up to date (its primary entries). A small number
#: keeps them from competing for the same room and bounds the reports.
MAX_PRIMARY_ENTRIES = 4
#: Seconds between reports to other entries.
SECONDARY_INTERVAL_S = 0.45
#: Seconds between reports to a primary entry while much room is free.
PLENTY_INTERVAL_S = 0.1
#: The same while room is scarce, so that a few changes share a report.
SCARCE_INTERVAL_S = 0.004
#: Seconds between the announcements of free room to two primary entries, about
#: a round trip: the first entry can use the room before the next one tries to.
STAGGER_S = 0.002
#: Share of free capacity from which room is plentiful.
_PLENTY_SHARE = 0.25
_NO_ROOM = wire.Resources()


class ReportTurns(msgspec.Struct):
    """The order in which free room is reported to the primary entries."""

    free: wire.Resources = _NO_ROOM
    freed_at: float = 0.0
    turn: int = 0

    def note_free(self, now: float, free: wire.Resources) -> None:
        """Record the free room, and start a new turn if it grew."""
        if free.cpu_millis > self.free.cpu_millis:
            self.freed_at = now
            self.turn += 1
        self.free = free

    def report_order(self, wanted_by: dict[str, float]) -> list[str]:
        """Return the primary entries in the order of their reports.

        Entries with urgent jobs come first. Entries that are equally urgent,
        such as those without waiting jobs, take turns.

        :param wanted_by: the names of the primary entries with the latest
            start of their most urgent waiting job
        """
        names = list(wanted_by)
        count = len(names)

        def key(name: str) -> tuple[float, int]:
            return wanted_by[name], (names.index(name) + self.turn) % count

        return sorted(names, key=key)

    def announce_at(self, place: int) -> float:
        """Return when to report freed room to the entry at a place."""
        return self.freed_at + STAGGER_S * place


@functools.lru_cache(maxsize=64)
def primary_entries_of(agent: str, entries: tuple[str, ...]) -> list[str]:
    """Return the entries that an agent keeps up to date.

    Entries and agents compute the same result if they know the same entries.
    Where they differ, reports are rare and orders may be turned down.

    :param agent: the name of the agent
    :param entries: the sorted names of the connected entries
    """
    return placement.rank(agent, entries)[:MAX_PRIMARY_ENTRIES]


def _is_plenty(state: wire.EndpointState) -> bool:
    free = state.free.cpu_millis
    return free >= _PLENTY_SHARE * state.capacity.cpu_millis


def state_without_free(state: wire.EndpointState) -> tuple[object, ...]:
    """Return the fields whose changes are reported at once."""
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
    """Return when a report to an entry is due; infinite if never.

    While much room is free, reports are rare, since an entry's view stays
    close enough by its own orders.

    :param told: the last state that was reported, with the free room that the
        entry assumes since then; none if nothing was reported
    :param told_at: when that was, in monotonic seconds
    :param state: the state of the endpoint now
    :param announce_at: when to announce free room to the entry, in monotonic
        seconds; none if it is not a primary entry
    """
    if state == told:
        return float("inf")
    if told is None or state_without_free(told) != state_without_free(state):
        return told_at
    if announce_at is None:
        return told_at + SECONDARY_INTERVAL_S
    if _is_plenty(told) and _is_plenty(state):
        return told_at + PLENTY_INTERVAL_S
    if state.free.cpu_millis > told.free.cpu_millis:
        return max(told_at + SCARCE_INTERVAL_S, announce_at)
    return told_at + SCARCE_INTERVAL_S
