"""The state that the components of a scheduler share."""

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

#: Lower bound of the retry delay, before jitter.
_MIN_RETRY_DELAY_S = 0.2


@dataclasses.dataclass(slots=True)
class PoolState:
    """The endpoints, jobs and configuration of a scheduler."""

    identity: _options.Identity
    options: _options.EntryOptions
    #: Sends messages to other processes.
    peers: _peers.Peers
    #: Random number generator for all random choices.
    rng: random.Random
    #: Records decisions.
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
    #: Jobs that are not answered yet, by submission.
    jobs: dict[str, _jobs.Job] = dataclasses.field(default_factory=dict)
    #: Process keys of the agents that each front can reach directly.
    agent_sets: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    #: Endpoints to prefer for jobs of this entry's own clients.
    preferred_endpoints: frozenset[str] = frozenset()
    #: Whether other entries delegate jobs to this entry.
    owns_pool: bool = True
    #: Whether agents may defer the reports of some tasks.
    has_deferred_reports: bool = False
    #: Median slowness of the usable endpoints.
    normal_slowness: float = 1.0
    #: Sequence number of the next task to bind.
    next_seq: int = 0

    def may_use(self, job: _jobs.Job, row: placement.EndpointRow) -> bool:
        """Return whether an endpoint is eligible for a job's tasks.

        Tasks go only to agents that the job's front can reach, so that the
        front can recover the tasks if this scheduler is lost.
        """
        if job.zones is not None and row.zone not in job.zones:
            return False
        processes = self.agent_sets.get(job.front)
        return processes is None or row.process in processes

    def jittered_delay(self, base_s: float) -> float:
        """Return a retry delay with jitter, up to the configured maximum.

        :param base_s: the delay before jitter, in seconds
        """
        return limits.jittered_delay(
            base_s, self.options.max_retry_after_s, self.rng
        )

    def drain_s(self) -> float:
        """Return a retry delay based on the time to drain the queue."""
        slots = max(1, self.table.slots)
        return self.jittered_delay(
            max(_MIN_RETRY_DELAY_S, self.queue.work_s / slots)
        )
