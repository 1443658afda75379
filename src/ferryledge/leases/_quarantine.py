"""How much of which endpoints an entry leaves unused, by evidence.

It answers endpoints that go down and come back by turns: what runs there when
they go is lost, so they get little first, and more as they hold. A pool where
many do is used all the same: no more than a share of it is left out, counting
those that the judge of health ejected.
"""

from collections import abc

import msgspec

from ferryledge import health
from ferryledge.leases import _pool
from ferryledge import wire

#: Largest share of the cores that is left unused by evidence: beyond it the
#: rest can't carry what callers send, and what fails has a common cause more
#: likely than one of the endpoints' own.
_MOST_OUT = health.HealthOptions().max_ejected
#: Endpoints of a zone with evidence against them that make it a zone's.
_FEWEST_OF_ZONE = 2


class Room(msgspec.Struct, frozen=True):
    """What of an endpoint's room is to be used."""

    free: wire.Resources
    #: Tasks that it may get at once.
    tasks: int


def usable_shares(rows: abc.Iterable[_pool.AgentRow]) -> dict[str, float]:
    """Return the endpoints to be used in part, with the share to use.

    :param rows: all agents of the pool
    """
    there = [row for row in rows if row.connected and row.state.accepting]
    shaky = [row for row in there if row.state.steady < 1.0]
    if not shaky:
        return {}
    left = _MOST_OUT * sum(_cores(row) for row in there)
    left -= sum(_cores(row) for row in there if not row.healthy)
    shares = {}
    for row in sorted(shaky, key=_steadiness):
        left -= (1.0 - row.state.steady) * _cores(row)
        if left < 0.0:
            break
        shares[row.name] = row.state.steady
    return shares


def usable_room(row: _pool.AgentRow, share: float, tasks: int) -> Room:
    """Return what of an endpoint is to be used.

    One on which nothing runs gets a task at the least: without any it would
    never show that it holds.

    :param row: the agent beside it
    :param share: share of its capacity to use
    :param tasks: how many it might get
    """
    free = row.free
    is_idle = free == row.state.capacity
    if row.awaits_probe or (is_idle and not share):
        return Room(free, min(1, tasks))
    if share >= 1.0:
        return Room(free, tasks)
    unused = int((1.0 - share) * row.state.capacity.cpu_millis)
    cpu_millis = free.cpu_millis - unused
    free = msgspec.structs.replace(free, cpu_millis=cpu_millis)
    return Room(free, tasks)


def suspect_zones(rows: abc.Iterable[_pool.AgentRow]) -> set[str]:
    """Return the zones at least half of whose endpoints are in doubt."""
    by_zone: dict[str, list[bool]] = {}
    for row in rows:
        is_in_doubt = row.is_suspect or not row.healthy
        by_zone.setdefault(row.zone, []).append(is_in_doubt)
    return {
        zone
        for zone, doubts in by_zone.items()
        if sum(doubts) >= max(_FEWEST_OF_ZONE, len(doubts) / 2)
    }


def _cores(row: _pool.AgentRow) -> float:
    return row.state.capacity.cpu_millis / 1000.0


def _steadiness(row: _pool.AgentRow) -> float:
    return row.state.steady
