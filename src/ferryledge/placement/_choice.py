"""The choice of an endpoint for a job's waiting tasks."""

from collections import abc
import dataclasses

from ferryledge.placement import _runtimes
from ferryledge.placement import _tables

#: Slowness relative to the median of the usable endpoints, up to which an
#: endpoint counts as normal.
NORMAL_SLOWNESS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A job's requirements and preferences for an endpoint."""

    #: Expected run time of one task at normal speed, in seconds.
    expected_s: float
    #: Median slowness of the usable endpoints.
    normal_slowness: float = 1.0
    #: Expected wait for a slot on a normal endpoint, in seconds.
    wait_s: float = 0.0
    #: Zones in which the job may run; all if none.
    zones: frozenset[str] | None = None
    #: Memory that one task needs, in MB.
    memory_mb: int = 0
    #: The scheduler's own zone, preferred among equal endpoints.
    local_zone: str = ""
    #: Names of the endpoints to prefer.
    preferred_endpoints: frozenset[str] = frozenset()
    #: Process keys of the endpoints that may be used; all if none.
    processes: frozenset[str] | None = None


def _is_worthwhile(request: PlacementRequest, slowness: float) -> bool:
    """Return whether a free slot ends a task sooner than waiting would."""
    if slowness <= NORMAL_SLOWNESS:
        return True
    return request.expected_s * slowness <= request.wait_s + request.expected_s


def choose_endpoint(
    rows: abc.Iterable[_tables.EndpointRow],
    run_times: _runtimes.RunTimes,
    request: PlacementRequest,
) -> _tables.EndpointRow | None:
    """Return the best endpoint with a free slot for a job, or none.

    Normal endpoints rank before slow ones, preferred ones before others,
    then those with more free capacity, so that a job's tasks share
    messages. The scheduler's own zone breaks ties.

    :param rows: the endpoints to choose from
    :param run_times: the endpoints' slowness
    :param request: the job's requirements and preferences
    """
    best = None
    best_score = (False, False, 0, False)
    for row in rows:
        if request.zones is not None and row.zone not in request.zones:
            continue
        if (
            request.processes is not None
            and row.process not in request.processes
        ):
            continue
        capacity = row.task_capacity(request.memory_mb)
        if not capacity:
            continue
        slowness = run_times.slowness(row.name) / request.normal_slowness
        if not _is_worthwhile(request, slowness):
            continue
        normal = slowness <= NORMAL_SLOWNESS
        preferred = row.name in request.preferred_endpoints
        score = (normal, preferred, capacity, row.zone == request.local_zone)
        if best is None or score > best_score:
            best, best_score = row, score
    return best
