"""The order in which waiting jobs get room.

It answers a full pool: a burst of one kind, a wave, endpoints that left.
Jobs that can still meet their objective go first, by the latest start that is
likely to meet it; the others take what room is left, those first whose answer
is useless soonest. So a long job waits longer than a quick one, and both can
be in time.

Known to be weak: the order does not weigh what a job's answer is worth
against the cores that it takes, since callers do not say so.
"""

from collections import abc

from ferryledge.leases import _jobs
from ferryledge.leases import _rules

#: Seconds by which a job that has begun goes ahead of one that has not: its
#: tasks hold room for nothing until the last of them has ended. More than
#: most jobs may wait, so that on a full pool few are begun and those end.
DISPATCHED_LEAD_S = 0.5
#: Seconds that one step of a queue's priority counts as: what a quick job may
#: wait. So operators' order decides between jobs that are about as pressing.
PRIORITY_STEP_S = 0.2
#: Seconds by which a job goes ahead whose client was refused before and comes
#: back when it was told: what a quick job may wait.
RETRY_LEAD_S = PRIORITY_STEP_S
#: A late job counts as if it could wait this long, in seconds: behind all
#: that can still meet their objective.
_LATE_S = 30.0


class JobRanking:
    """Sorts waiting jobs.

    :param rules: those that hold; none is all
    """

    def __init__(self, rules: _rules.EntryRules | None = None) -> None:
        self.rules = rules or _rules.EntryRules()

    def next_start_by(self, job: _jobs.Job, start_interval_s: float) -> float:
        """Return when a job's next task should start.

        Its last waiting task starts one gap later for each other one.

        :param job: the job
        :param start_interval_s: seconds between two starts on a full pool
        """
        return job.start_by - start_interval_s * job.waiting

    def virtual_deadline(
        self, job: _jobs.Job, start_interval_s: float
    ) -> float:
        """Return a time by which jobs are sorted: who gets room first.

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
        """Return whether a job has not begun and is unlikely to be in time."""
        if job.is_dispatched:
            return False
        return now > job.start_by or job.is_deferred

    def key(
        self, now: float, job: _jobs.Job, start_interval_s: float
    ) -> tuple[bool, float]:
        """Return a key that sorts jobs by who gets room first."""
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
        """Return jobs in the order in which they get room."""
        return sorted(
            jobs, key=lambda job: self.key(now, job, start_interval_s)
        )

    def earliest_deadline(
        self,
        now: float,
        jobs: abc.Iterable[_jobs.Job],
        start_interval_s: float,
    ) -> float | None:
        """Return the first turn of jobs that wait; none if none does.

        One that is late already yields to those that are not, unless some of
        its tasks run: they hold their room until the last one has ended.
        """
        waiting = list(jobs)
        pressing = [
            self.virtual_deadline(job, start_interval_s)
            for job in waiting
            if not self.is_late(now, job)
        ]
        if pressing:
            return min(pressing)
        return now + _LATE_S if waiting else None
