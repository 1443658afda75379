"""Limits how much of an unstable endpoint's capacity an entry uses.

An endpoint that repeatedly goes down and returns loses the runs that it has,
so it gets few at first and more as it stays up. At most a fixed share of the
pool's capacity is left unused this way, including the endpoints that the
health check ejected.
"""

from collections import abc

import msgspec

from ferryledge import health
from ferryledge.leases import _pool
from ferryledge import wire

#: Largest share of the pool's cores that is left unused. Beyond it the rest
#: would be overloaded, and the failures likely have a common cause.
_MAX_UNUSED_SHARE = health.HealthOptions().max_ejected
#: Fewest suspect endpoints that make their zone suspect.
_MIN_SUSPECT_OF_ZONE = 2


class UsableRoom(msgspec.Struct, frozen=True):
    """The part of an endpoint's free capacity that is to be used."""

    free: wire.Resources
    #: How many tasks may be sent to it at once.
    tasks: int


def usable_shares(rows: abc.Iterable[_pool.AgentRow]) -> dict[str, float]:
    """Return the share of capacity to use for each unstable endpoint.

    The least stable ones are limited first.

    :param rows: all agents of the pool
    :return: shares by the agents' names; the others are used in full
    """
    available = [row for row in rows if row.connected and row.state.accepting]
    unstable = [row for row in available if row.state.steady < 1.0]
    if not unstable:
        return {}
    remaining = _MAX_UNUSED_SHARE * sum(_cores(row) for row in available)
    remaining -= sum(_cores(row) for row in available if not row.healthy)
    shares = {}
    for row in sorted(unstable, key=_steadiness):
        remaining -= (1.0 - row.state.steady) * _cores(row)
        if remaining < 0.0:
            break
        shares[row.name] = row.state.steady
    return shares


def usable_room(row: _pool.AgentRow, share: float, tasks: int) -> UsableRoom:
    """Return the part of an endpoint's free capacity that is to be used.

    An endpoint that awaits a probe, or that is idle and has no share, gets at
    most one task, since only a task can show whether it has recovered.

    :param row: the endpoint's agent
    :param share: share of its capacity to use
    :param tasks: how many tasks are available for it
    """
    free = row.free
    is_idle = free == row.state.capacity
    if row.awaits_probe or (is_idle and not share):
        return UsableRoom(free, min(1, tasks))
    if share >= 1.0:
        return UsableRoom(free, tasks)
    unused = int((1.0 - share) * row.state.capacity.cpu_millis)
    cpu_millis = free.cpu_millis - unused
    free = msgspec.structs.replace(free, cpu_millis=cpu_millis)
    return UsableRoom(free, tasks)


def suspect_zones(rows: abc.Iterable[_pool.AgentRow]) -> set[str]:
    """Return the zones in which half of the endpoints or more are suspect."""
    by_zone: dict[str, list[bool]] = {}
    for row in rows:
        is_suspect = row.is_suspect or not row.healthy
        by_zone.setdefault(row.zone, []).append(is_suspect)
    return {
        zone
        for zone, suspects in by_zone.items()
        if sum(suspects) >= max(_MIN_SUSPECT_OF_ZONE, len(suspects) / 2)
    }


def _cores(row: _pool.AgentRow) -> float:
    return row.state.capacity.cpu_millis / 1000.0


def _steadiness(row: _pool.AgentRow) -> float:
    return row.state.steady
