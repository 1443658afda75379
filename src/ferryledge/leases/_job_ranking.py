"""Ranks waiting jobs for the capacity of a full pool.

Jobs that can still meet their objective go first, by the latest start that is
likely to meet it. So a long job yields to a short one while both can be on
time. Late jobs share the capacity that is left; among them, the job whose
answer becomes useless first goes first.

The value of an answer relative to its cost in cores is not considered, since
clients do not state it.
"""

from collections import abc

from ferryledge.leases import _jobs
from ferryledge.leases import _rules

#: Seconds by which a dispatched job goes ahead of one that is not. The lead is
#: longer than most jobs may wait: on a full pool it is better to finish a few
#: jobs than to start many, since a job is useless until its last task ends.
DISPATCHED_LEAD_S = 0.5
#: Seconds for each level of a queue's priority. A short job may wait about as
#: long, so priority decides only between jobs of similar urgency.
PRIORITY_STEP_S = 0.2
#: Seconds by which the retry of a refused client goes ahead, if it comes at
#: the scheduled time.
RETRY_LEAD_S = PRIORITY_STEP_S
#: Seconds from now of the deadline that is reported for late jobs. It is later
#: than that of any job that can still meet its objective.
_LATE_DEADLINE_S = 30.0


class JobRanking:
    """Ranks waiting jobs by a virtual deadline.

    :param rules: the rules in force; defaults to all
    """

    def __init__(self, rules: _rules.EntryRules | None = None) -> None:
        self.rules = rules or _rules.EntryRules()

    def next_start_by(self, job: _jobs.Job, start_interval_s: float) -> float:
        """Return when the next task of a job should start.

        Each further waiting task starts one interval later, and the last one
        should start by the latest start of the job.

        :param job: the job
        :param start_interval_s: seconds between two starts on a full pool
        """
        return job.start_by - start_interval_s * job.waiting

    def virtual_deadline(
        self, job: _jobs.Job, start_interval_s: float
    ) -> float:
        """Return the time by which a job is ranked; the earliest goes first.

        :param job: the job
        :param start_interval_s: seconds between two starts on a full pool
        """
        virtual_deadline = job.arrived_at
        if self.rules.latest_start_first:
            virtual_deadline = self.next_start_by(job, start_interval_s)
        if self.rules.priorities:
            virtual_deadline += (
                PRIORITY_STEP_S * job.request.job_class.priority
            )
        if job.is_scheduled_retry:
            virtual_deadline -= RETRY_LEAD_S
        if self.rules.begun_first and job.is_dispatched:
            virtual_deadline -= DISPATCHED_LEAD_S
        return virtual_deadline

    def is_late(self, now: float, job: _jobs.Job) -> bool:
        """Return whether a job is undispatched and likely to be late."""
        if job.is_dispatched:
            return False
        return now > job.start_by or job.is_deferred

    def key(
        self, now: float, job: _jobs.Job, start_interval_s: float
    ) -> tuple[bool, float]:
        """Return the sort key of a job; the lowest goes first."""
        is_late = self.is_late(now, job)
        if is_late and job.may_be_late:
            return (is_late, job.demand.useful_start_by)
        return (is_late, self.virtual_deadline(job, start_interval_s))

    def sort(
        self,
        now: float,
        jobs: abc.Iterable[_jobs.Job],
        start_interval_s: float,
    ) -> list[_jobs.Job]:
        """Return jobs by rank, the first to be served first."""
        return sorted(
            jobs, key=lambda job: self.key(now, job, start_interval_s)
        )

    def earliest_deadline(
        self,
        now: float,
        jobs: abc.Iterable[_jobs.Job],
        start_interval_s: float,
    ) -> float | None:
        """Return the earliest virtual deadline, or ``None`` without jobs.

        Late jobs count only if all jobs are late. A dispatched job never
        counts as late, since its running tasks hold capacity until the last
        one ends.
        """
        waiting = list(jobs)
        deadlines = [
            self.virtual_deadline(job, start_interval_s)
            for job in waiting
            if not self.is_late(now, job)
        ]
        if deadlines:
            return min(deadlines)
        return now + _LATE_DEADLINE_S if waiting else None
