"""What an entry could start at once for others, and what it lacks itself.

It answers callers that crowd at some entries: these expect to be late while
others have room that none of their own jobs waits for.
"""

import math

from ferryledge.leases import _job_ranking
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _uplink

#: Bytes that a waiting job is to take of the own link beside its spec.
_JOB_BYTES = 400


def cpu_millis_of(job: _jobs.Job) -> int:
    """Return the thousandths of a core that a job could use at once."""
    steps = job.request.steps
    return sum(steps[one.step].need.cpu_millis for one in job.startable())


class SpareCapacity:
    """Looks at the room of this entry.

    :param jobs: the jobs that are held
    :param pool: the agents
    :param link: this entry's own
    :param ranking: the order of waiting jobs
    """

    def __init__(
        self,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        link: _uplink.Uplink,
        ranking: _job_ranking.JobRanking,
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._link = link
        self._job_ranking = ranking

    def cpu_millis(self, now: float, service: str) -> int:
        """Return the thousandths of a core that others' jobs could use.

        None while an own job waits: on a full pool some room is always free
        for a moment, and the jobs that wait there have a turn.

        :param now: monotonic seconds
        :param service: of the endpoints
        """
        if not self._link.is_free(now):
            return 0
        reserved = 0
        for job in self._jobs.waiting:
            if job.request.job_class.service != service:
                continue
            if not job.is_incoming:
                return 0
            reserved += cpu_millis_of(job)
        free = sum(
            max(0, row.free.cpu_millis)
            for row in self._pool
            if row.usable(now) and row.state.service == service
        )
        return max(0, free - reserved)

    def has_room(self, now: float, job: _jobs.Job) -> bool:
        """Return whether all of a new job's first tasks could start now."""
        if _placement.is_infeasible(self._pool, job):
            return False
        service = job.request.job_class.service
        return cpu_millis_of(job) <= self.cpu_millis(now, service)

    def may_differ(self, now: float, entries: int) -> bool:
        """Return whether other entries may have room that this one has not.

        They have not where each of them shares all endpoints, unless it is
        the own link that is full.

        :param now: monotonic seconds
        :param entries: how many others there are
        """
        if self._link.is_busy(now) or not self._pool.is_usable(now):
            return True
        return self._pool.sharing_entries(now) < entries + 0.5

    def late(self, now: float, lead_s: float) -> list[_jobs.Job]:
        """Return the untried jobs that would start too late here.

        The most pressing ones come first.

        :param now: monotonic seconds
        :param lead_s: how much sooner than its latest start a job counts as
            late, so that another entry still starts it in time
        """
        late = []
        ahead: dict[str, float] = {}
        link_s = self._link.wait_s(now)
        for job in self._job_ranking.sort(now, self._jobs.undispatched, 0.0):
            service = job.request.job_class.service
            work = ahead.get(service, 0.0) + job.work
            wait_s = self._wait_s(now, job, work) + link_s
            if now + wait_s + lead_s > job.start_by:
                late.append(job)
            else:
                ahead[service] = work
                link_s += self._link_s(job)
        return late

    def _wait_s(self, now: float, job: _jobs.Job, work: float) -> float:
        """Return how long a job waits behind so many core-seconds."""
        service = job.request.job_class.service
        cores = self._pool.capacity_cores(now, service)
        if not cores or _placement.is_infeasible(self._pool, job):
            return math.inf
        return work * self._pool.sharing_entries(now, service) / cores

    def _link_s(self, job: _jobs.Job) -> float:
        size = len(job.request.spec) + _JOB_BYTES
        return size / self._link.bytes_per_s
