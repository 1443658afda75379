"""The tables of a scheduler, over which its systems run."""

import dataclasses
import random

from ferryledge import configlog
from ferryledge.core import _jobs
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _rulebook
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import limits
from ferryledge import placement

_SHORTEST_DELAY_S = 0.2


@dataclasses.dataclass(slots=True)
class PoolState:
    """What a scheduler knows of its pool and its jobs."""

    identity: _options.Identity
    options: _options.EntryOptions
    #: Where messages go out.
    peers: _peers.Peers
    #: Source of all randomness.
    rng: random.Random
    #: Where decisions are noted.
    trace: _trace.Trace
    queue: placement.WaitingQueue
    rulebook: _rulebook.Rulebook = dataclasses.field(
        default_factory=lambda: _rulebook.Rulebook(configlog.EMPTY_SNAPSHOT)
    )
    table: placement.EndpointTable = dataclasses.field(
        default_factory=placement.EndpointTable
    )
    run_times: placement.RunTimes = dataclasses.field(
        default_factory=placement.RunTimes
    )
    health_tracker: health.HealthTracker = dataclasses.field(
        default_factory=health.HealthTracker
    )
    quotas: limits.QuotaShares = dataclasses.field(
        default_factory=limits.QuotaShares
    )
    jobs: dict[str, _jobs.Job] = dataclasses.field(default_factory=dict)
    #: For each front, the processes that it can reach itself.
    agent_sets: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    #: Endpoints to use first for jobs of this entry's own clients.
    preferred_endpoints: frozenset[str] = frozenset()
    #: Whether others hand their jobs to this entry.
    owns_pool: bool = True
    #: Whether some results may be reported only with others.
    held_back: bool = False
    #: Slowness of the usable endpoint in the middle.
    normal_slowness: float = 1.0
    #: Number of the next task that is bound.
    next_seq: int = 0

    def may_use(self, job: _jobs.Job, row: placement.EndpointRow) -> bool:
        """Return whether a job's tasks may go to an endpoint at all.

        A front's tasks go only to agents that it can reach, so that it can
        take them back.
        """
        if job.zones is not None and row.zone not in job.zones:
            return False
        processes = self.agent_sets.get(job.front)
        return processes is None or row.process in processes

    def spread(self, base_s: float) -> float:
        """Return a delay for a refusal, spread among those refused."""
        return limits.jittered_delay(
            base_s, self.options.max_retry_after_s, self.rng
        )

    def drain_s(self) -> float:
        """Return when what waits now may have been worked off."""
        slots = max(1, self.table.slots)
        return self.spread(max(_SHORTEST_DELAY_S, self.queue.work_s / slots))
