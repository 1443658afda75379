"""Decides when an agent reports the state of its endpoint to an entry.

An agent keeps a few primary entries up to date and reports to the others
seldom. Free capacity is reported to the primary entries one after the other,
so that they do not all compete for it.
"""

import functools

import msgspec

from ferryledge import placement
from ferryledge import wire

#: Entries that an agent keeps up to date (its primary entries). A small number
#: keeps them from competing for the same capacity and bounds the reports.
MAX_PRIMARY_ENTRIES = 4
#: Seconds between reports to other entries.
SECONDARY_INTERVAL_S = 0.45
#: Seconds between reports to a primary entry while much capacity is free.
PLENTY_INTERVAL_S = 0.1
#: The same while capacity is scarce, so that a few changes share a report.
SCARCE_INTERVAL_S = 0.004
#: Seconds between reports of free capacity to two primary entries, about a
#: round trip: the first entry can use the capacity before the next one tries.
STAGGER_S = 0.002
#: Share of the capacity that must be free to count as plentiful.
_PLENTY_SHARE = 0.25
_NOTHING_FREE = wire.Resources()


class ReportTurns(msgspec.Struct):
    """The order in which free capacity is reported to the primary entries."""

    free: wire.Resources = _NOTHING_FREE
    freed_at: float = 0.0
    rotation: int = 0

    def note_free(self, now: float, free: wire.Resources) -> None:
        """Record the free capacity, and start a new rotation if it grew."""
        if free.cpu_millis > self.free.cpu_millis:
            self.freed_at = now
            self.rotation += 1
        self.free = free

    def report_order(self, wanted_by: dict[str, float]) -> list[str]:
        """Return the primary entries in the order of their reports.

        Entries with urgent jobs come first. Equally urgent entries, such as
        those without waiting jobs, are rotated.

        :param wanted_by: the names of the primary entries with the latest
            start of their most urgent waiting job
        """
        names = list(wanted_by)
        count = len(names)

        def key(name: str) -> tuple[float, int]:
            return wanted_by[name], (names.index(name) + self.rotation) % count

        return sorted(names, key=key)

    def announce_at(self, place: int) -> float:
        """Return when to report free capacity to the entry at this place."""
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
        state.draining,
        state.is_room_known,
    )


def due_at(
    reported: wire.EndpointState | None,
    reported_at: float,
    state: wire.EndpointState,
    announce_at: float | None,
) -> float:
    """Return when a report to an entry is due; infinite if never.

    While much capacity is free, reports are rare, since an entry accounts
    for its own orders.

    :param reported: the last reported state, with the free capacity that the
        entry assumes since then; none if nothing was reported
    :param reported_at: when that was, in monotonic seconds
    :param state: the state of the endpoint now
    :param announce_at: when to report free capacity to the entry, in
        monotonic seconds; none if it is not a primary entry
    """
    if state == reported:
        return float("inf")
    if reported is None or state_without_free(reported) != state_without_free(
        state
    ):
        return reported_at
    if announce_at is None:
        return reported_at + SECONDARY_INTERVAL_S
    if _is_plenty(reported) and _is_plenty(state):
        return reported_at + PLENTY_INTERVAL_S
    if state.free.cpu_millis > reported.free.cpu_millis:
        return max(reported_at + SCARCE_INTERVAL_S, announce_at)
    return reported_at + SCARCE_INTERVAL_S
