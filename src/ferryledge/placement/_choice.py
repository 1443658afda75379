"""Which endpoint a job's waiting tasks go to."""

from collections import abc
import dataclasses

from ferryledge.placement import _runtimes
from ferryledge.placement import _tables

#: Slowness below which an endpoint counts as normal.
NORMAL_SLOWNESS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a job asks of an endpoint."""

    #: Expected run time of one task at normal speed, in seconds.
    expected_s: float
    #: Slowness of the usable endpoint in the middle: what counts as normal.
    normal_slowness: float = 1.0
    #: Seconds that a task would wait for a normal endpoint instead.
    wait_s: float = 0.0
    #: Zones in which it may run; none is anywhere.
    zones: frozenset[str] | None = None
    memory_mb: int = 0
    #: The zone of the scheduler, preferred among equals.
    home: str = ""
    #: Endpoints to use first.
    preferred_endpoints: frozenset[str] = frozenset()
    #: Processes that may be used; none is all.
    processes: frozenset[str] | None = None


def _worth_it(wish: PlacementRequest, slowness: float) -> bool:
    """Return whether a slow slot now beats a normal slot later."""
    if slowness <= NORMAL_SLOWNESS:
        return True
    return wish.expected_s * slowness <= wish.wait_s + wish.expected_s


def choose_endpoint(
    rows: abc.Iterable[_tables.EndpointRow],
    run_times: _runtimes.RunTimes,
    wish: PlacementRequest,
) -> _tables.EndpointRow | None:
    """Return the best endpoint with a free slot for a job, or none.

    Normal endpoints go before slow ones, favourites before others, then
    the one with the most free slots, so that a job's tasks share messages.
    """
    best = None
    best_score = (False, False, 0, False)
    for row in rows:
        if wish.zones is not None and row.zone not in wish.zones:
            continue
        if wish.processes is not None and row.process not in wish.processes:
            continue
        room = row.task_capacity(wish.memory_mb)
        if not room:
            continue
        slowness = run_times.slowness(row.name) / wish.normal_slowness
        if not _worth_it(wish, slowness):
            continue
        normal = slowness <= NORMAL_SLOWNESS
        favourite = row.name in wish.preferred_endpoints
        score = (normal, favourite, room, row.zone == wish.home)
        if best is None or score > best_score:
            best, best_score = row, score
    return best
