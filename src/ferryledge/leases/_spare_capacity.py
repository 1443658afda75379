"""Spare capacity of an entry, and the jobs that exceed its capacity.

Entries use it to hand jobs over from overloaded entries to idle ones.
"""

import math

from ferryledge.leases import _job_ranking
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _uplink

#: Bytes that a waiting job adds to the traffic of the link besides its spec.
_JOB_BYTES = 400


def startable_cpu_millis(job: _jobs.Job) -> int:
    """Return the CPU, in thousandths of a core, that a job can use now."""
    steps = job.request.steps
    return sum(steps[task.step].need.cpu_millis for task in job.startable())


class SpareCapacity:
    """Estimates the spare capacity and the waiting times of this entry.

    :param jobs: the jobs that this entry holds
    :param pool: the agents
    :param link: the network link of this machine
    :param ranking: the queueing order of waiting jobs
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
        """Return the CPU that jobs of other entries could use.

        It is zero while a job of this entry waits: even in a full pool some
        capacity is free at times, but waiting jobs have precedence.

        :param now: monotonic seconds
        :param service: the service of the endpoints
        :return: thousandths of a core
        """
        if not self._link.is_free(now):
            return 0
        reserved = 0
        for job in self._jobs.waiting:
            if job.request.job_class.service != service:
                continue
            if not job.is_incoming:
                return 0
            reserved += startable_cpu_millis(job)
        free = sum(
            max(0, row.free.cpu_millis)
            for row in self._pool
            if row.usable(now) and row.state.service == service
        )
        return max(0, free - reserved)

    def can_start(self, now: float, job: _jobs.Job) -> bool:
        """Return whether all first tasks of a new job could start now."""
        if _placement.is_infeasible(self._pool, job):
            return False
        service = job.request.job_class.service
        return startable_cpu_millis(job) <= self.cpu_millis(now, service)

    def others_may_have_more(self, now: float, entries: int) -> bool:
        """Return whether other entries may have capacity that this one lacks.

        Usually they don't if all entries share all endpoints, except while
        this machine's link is busy or no endpoint is usable from here.

        :param now: monotonic seconds
        :param entries: the number of other entries
        """
        if self._link.is_busy(now) or not self._pool.is_usable(now):
            return True
        return self._pool.sharing_entries(now) < entries + 0.5

    def late_jobs(self, now: float, lead_s: float) -> list[_jobs.Job]:
        """Return the undispatched jobs that would start too late here.

        :param now: monotonic seconds
        :param lead_s: seconds before its latest start at which a job counts
            as late, so that another entry can still start it in time
        :return: the jobs, most urgent first
        """
        late = []
        queued_work: dict[str, float] = {}
        link_wait_s = self._link.wait_s(now)
        for job in self._job_ranking.sort(now, self._jobs.undispatched, 0.0):
            service = job.request.job_class.service
            work = queued_work.get(service, 0.0) + job.work
            wait_s = self._wait_s(now, job, work) + link_wait_s
            if now + wait_s + lead_s > job.start_by:
                late.append(job)
            else:
                queued_work[service] = work
                link_wait_s += self._transfer_s(job)
        return late

    def _wait_s(self, now: float, job: _jobs.Job, work: float) -> float:
        """Return the expected wait of a job behind some work.

        :param now: monotonic seconds
        :param job: the job
        :param work: core-seconds of the jobs before it and of itself
        """
        service = job.request.job_class.service
        cores = self._pool.capacity_cores(now, service)
        if not cores or _placement.is_infeasible(self._pool, job):
            return math.inf
        return work * self._pool.sharing_entries(now, service) / cores

    def _transfer_s(self, job: _jobs.Job) -> float:
        size = len(job.request.spec) + _JOB_BYTES
        return size / self._link.bytes_per_s
