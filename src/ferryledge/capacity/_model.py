"""What each role costs at a size, worked out from the slopes."""

from collections import abc
import dataclasses
import math

from ferryledge.capacity import _fit
from ferryledge.capacity import _tools

#: A processor is loaded to that share at the peak.
TARGET_UTILISATION = 0.6
#: Endpoints in a pool.
POOL_SIZE = 96
#: Seconds between keep-alives on an idle stream.
KEEPALIVE_S = 15.0
RETENTION_S = 30.0
TICKET_LIFE_S = 900.0
#: Mean run time of a task in seconds, and tasks of a job: assumptions.
MEAN_RUN_S = 0.3
MEAN_TASKS = 10
#: Tasks of a job and of an order in the measurements under leases.
_TASKS_OF_A_JOB = 4
_TASKS_OF_AN_ORDER = 4
#: Share of the jobs that may not be repeated: an assumption.
UNREPEATABLE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A size."""

    name: str
    workers: int
    regions: int
    #: Task starts a second at the peak, over all regions.
    starts_per_s: float
    workspaces: int
    changes_per_day: int
    #: Entries in a region; 0 works out how many are needed.
    entries: int = 0


TARGET = Deployment("the target size", 1800, 8, 130_000.0, 140, 2200)
TODAY = Deployment("each user today", 11, 1, 200.0, 4, 20, entries=3)


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What a deployment costs, for each region and process."""

    deployment: Deployment
    endpoints_per_region: float
    starts_per_region: float
    pools: int
    entries: int
    #: Processor share of a pool's scheduler at the peak.
    scheduler_cpu: float
    #: Starts a second that a whole processor schedules in jobs of 1, 10
    #: and 100.
    entry_starts: tuple[float, float, float]
    entry_state_mb: float
    entry_floor_mb: float
    entry_control_bytes: float
    entry_control_cpu: float
    entry_data_mb: float
    agent_cpu: float
    agent_state_mb: float
    agent_floor_mb: float
    agent_control_bytes: float
    streams_per_entry: int
    streams_per_agent: int
    appends_per_s: float
    checkpoint_kb: float
    fold_cpu: float
    #: The same on the users' platform, where tasks run under leases.
    leased: "LeasedCosts"


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedCosts:
    """What tasks under leases cost, for each process of a region."""

    #: Processor shares of an agent: without work, and at the peak.
    agent_idle_cpu: float
    agent_cpu: float
    #: The same of an entry.
    entry_idle_cpu: float
    entry_cpu: float
    #: Bytes a second, both ways, of streams without runs.
    agent_bytes: float
    entry_bytes: float


def _entries(
    deployment: Deployment, starts: float, per_core: float, pools: int
) -> int:
    if deployment.entries:
        return deployment.entries
    needed = math.ceil(starts / (per_core * TARGET_UTILISATION))
    # One more than pools or load ask for, so that one may be lost.
    return max(pools, needed) + 1


def work_out(
    deployment: Deployment, slopes: abc.Sequence[_fit.Slope]
) -> Costs:
    """Return the costs of a deployment."""
    by_name = {slope.name: slope for slope in slopes}
    endpoints = deployment.workers / deployment.regions
    starts = deployment.starts_per_s / deployment.regions
    pools = max(1, math.ceil(endpoints / POOL_SIZE))
    cpu = by_name["entry_cpu_by_tasks_of_a_job"]
    # Measured points: the line is poor at the small end of 1 to 810 tasks.
    measured = dict(cpu.points)
    per_core = [n / measured[n] for n in (1.0, 10.0, 100.0)]
    entries = _entries(deployment, starts, per_core[1], pools)
    running = starts * MEAN_RUN_S
    streams = round(endpoints) + entries - 1
    agent_starts = starts / endpoints
    batch = by_name["agent_cpu_by_tasks_of_a_batch"]
    alive = (
        by_name["keepalive_bytes_by_streams"].per_unit + _tools.PACKET_BYTES
    )
    changes = deployment.changes_per_day / 86_400
    checkpoints = 1 / 600 + changes / 200
    return Costs(
        deployment=deployment,
        endpoints_per_region=endpoints,
        starts_per_region=starts,
        pools=pools,
        entries=entries,
        scheduler_cpu=starts / pools / per_core[1],
        entry_starts=(per_core[0], per_core[1], per_core[2]),
        entry_state_mb=(
            by_name["entry_memory_by_endpoints"].at(endpoints)
            + by_name["entry_memory_by_open_tasks"].per_unit
            * (2 * running / pools)
        )
        / 1e6,
        entry_floor_mb=by_name["library_floor_mb"].points[1][1],
        entry_control_bytes=streams * alive / KEEPALIVE_S,
        entry_control_cpu=by_name["idle_entry_cpu_by_streams"].at(streams),
        entry_data_mb=by_name["bytes_by_tasks_of_a_job"].at(MEAN_TASKS)
        * (starts / MEAN_TASKS / pools)
        / 1e6,
        agent_cpu=batch.at(1) * agent_starts,
        agent_state_mb=(
            by_name["agent_memory_by_finished_tasks"].per_unit
            * agent_starts
            * RETENTION_S
            + by_name["agent_memory_by_used_tickets"].per_unit
            * (agent_starts / MEAN_TASKS)
            * UNREPEATABLE
            * TICKET_LIFE_S
        )
        / 1e6,
        agent_floor_mb=by_name["library_floor_mb"].points[0][1],
        agent_control_bytes=entries * alive / KEEPALIVE_S,
        streams_per_entry=streams,
        streams_per_agent=entries,
        appends_per_s=changes + checkpoints,
        checkpoint_kb=by_name["checkpoint_bytes_by_entities"].at(
            deployment.workspaces + 60
        )
        / 1e3,
        fold_cpu=by_name["fold_cpu_by_entities"].at(
            deployment.workspaces + 60
        ),
        leased=_work_out_leased(by_name, endpoints, entries, starts),
    )


def _work_out_leased(
    by_name: abc.Mapping[str, _fit.Slope],
    endpoints: float,
    entries: int,
    starts: float,
) -> LeasedCosts:
    """Return the costs under leases; all figures are those of a region."""
    order = by_name["leased_agent_cpu_by_tasks_of_an_order"]
    orders = starts / endpoints / _TASKS_OF_AN_ORDER
    agent_idle = by_name["leased_agent_idle_cpu_by_entries"].at(entries)
    entry_idle = by_name["leased_entry_idle_cpu_by_agents"].at(endpoints)
    job = by_name["leased_entry_cpu_by_agents"].at(endpoints)
    jobs = starts / entries / _TASKS_OF_A_JOB
    alive = by_name["leased_idle_bytes_by_streams"]
    return LeasedCosts(
        agent_idle,
        agent_idle + orders * order.at(_TASKS_OF_AN_ORDER),
        entry_idle,
        entry_idle + jobs * job,
        alive.at(entries),
        alive.at(endpoints),
    )
