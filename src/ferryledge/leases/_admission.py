"""Admission control of an entry.

Jobs that can't be served usefully are refused early, so that their clients
can turn to other entries.
"""

from collections import abc
import math
import random

from ferryledge.leases import _jobs
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _pool_share
from ferryledge.leases import _retry_schedule
from ferryledge.leases import _rules
from ferryledge.leases import _timing
from ferryledge.leases import _uplink
from ferryledge import limits
from ferryledge import outcomes

#: Share of the objective for which a job waits before it may be refused.
_PROMPT_SHARE = 0.25
#: Share of the client's deadline after which a job without orders is refused.
_UNDISPATCHED_SHARE = 0.4
#: Base and maximum of the retry delay in seconds for a refused client.
_RETRY_S = 0.5
_MAX_RETRY_S = 5.0


class Admission:
    """Decides which jobs an entry admits and which waiting jobs it refuses.

    :param name: name of this entry
    :param pool: the known agents
    :param share: this entry's share of the pool's capacity
    :param link: network link of this entry
    :param rng: adds jitter to retry delays
    :param rules: the rules in force
    """

    def __init__(
        self,
        name: str,
        pool: _pool.Pool,
        share: _pool_share.PoolShare,
        link: _uplink.Uplink,
        rng: random.Random,
        rules: _rules.EntryRules,
    ) -> None:
        self._name = name
        self._rules = rules
        self._pool = pool
        self._pool_share = share
        self._link = link
        self._rng = rng
        #: Retry times of refused clients.
        self.retry_schedule = _retry_schedule.RetrySchedule(rng)
        self._ends_at = float("inf")

    def drain(self, ends_at: float) -> None:
        """Admit only jobs that are expected to end before this entry does.

        :param ends_at: end of this entry, in monotonic seconds
        """
        self._ends_at = ends_at

    def admit(
        self, now: float, job: _jobs.Job, may_find_agents: bool
    ) -> outcomes.Refused | None:
        """Return a refusal for a new job, or ``None``.

        :param now: monotonic seconds
        :param job: the new job
        :param may_find_agents: whether agents that fit the job may connect
            soon
        """
        if now + job.expected_s * _timing.RUN_MARGIN > self._ends_at:
            return self._refuse(
                outcomes.Reason.DRAINING, "this entry ends before the job"
            )
        if self._pool.all_cordoned and not may_find_agents:
            return self._refuse(
                outcomes.Reason.CAPACITY,
                "every availability zone in reach is cordoned",
            )
        service = job.request.job_class.service
        if may_find_agents or not self._pool.capacity_cores(now, service):
            return None
        return self._refuse_infeasible(job)

    def _refuse_infeasible(self, job: _jobs.Job) -> outcomes.Refused | None:
        """Return a refusal if some step fits no endpoint, else ``None``."""
        if not _placement.is_infeasible(self._pool, job):
            return None
        return self._refuse(
            outcomes.Reason.IMPOSSIBLE,
            "no endpoint is large enough or has the label",
        )

    def review(
        self, now: float, job: _jobs.Job, ahead: float
    ) -> outcomes.Refused | None:
        """Return a refusal for a job without orders, or ``None``.

        A job that would miss its objective is refused: started late, it would
        delay the jobs behind it as well.

        :param now: monotonic seconds
        :param job: a job whose answer is useless after its objective
        :param ahead: core-seconds of the work that starts before it
        """
        waited_s = now - job.arrived_at
        deadline_s = job.request.deadline_s or job.objective_s * 4.0
        if waited_s > _UNDISPATCHED_SHARE * deadline_s:
            return self._refuse(outcomes.Reason.CAPACITY, "waited too long")
        if waited_s < _PROMPT_SHARE * job.objective_s:
            return None
        if self._pool.may_recover(now):
            return None
        infeasible = self._refuse_infeasible(job)
        if infeasible is not None:
            return infeasible
        if not self._rules.prompt_refusals:
            return None
        wait_s = self._wait_s(now, job, ahead)
        if now + wait_s > job.start_by:
            return self._refuse(
                outcomes.Reason.CAPACITY,
                f"{wait_s:.2f} s of work is ahead",
            )
        return None

    def refuse_if_too_late(
        self,
        now: float,
        job: _jobs.Job,
        queueing_delay: abc.Callable[[float], float],
    ) -> outcomes.Refused | None:
        """Return a refusal for a job whose forecast answer is useless.

        Returns ``None`` while agents that could still serve it may come back.

        :param now: monotonic seconds
        :param job: a job without orders that may be answered late
        :param queueing_delay: returns the delay in seconds of additional
            core-seconds of work behind all waiting work
        """
        if self._pool.may_recover(now) and now < job.demand.useful_start_by:
            return None
        infeasible = self._refuse_infeasible(job)
        if infeasible is not None:
            return infeasible
        forecast = job.forecast
        answer_s = forecast.answer_in_s if forecast is not None else math.inf
        detail = (
            f"an answer is forecast in {answer_s:.2f} s, and of use for "
            f"{max(0.0, job.useful_until - now):.2f} s"
        )
        reason = outcomes.Reason.CAPACITY
        if not self._rules.returns_in_order:
            return self._refuse(reason, detail)
        delay_s = self.retry_schedule.schedule(
            now, job.name, job.work, queueing_delay
        )
        origin = outcomes.Origin(outcomes.Step.ADMIT, self._name)
        return outcomes.Refused(reason, origin, delay_s, detail)

    def _wait_s(self, now: float, job: _jobs.Job, ahead: float) -> float:
        """Return the seconds until the last task of a job starts."""
        service = job.request.job_class.service
        pool_cores = self._pool.capacity_cores(now, service)
        if not pool_cores:
            return float("inf")
        sharing_entries = self._pool.sharing_entries(now, service)
        cores = self._pool_share.cores(now, pool_cores, sharing_entries)
        return (ahead + job.work) / cores + self._link.wait_s(now)

    def unfinished_outcome(
        self, job: _jobs.Job
    ) -> outcomes.Refused | outcomes.FailedMayHaveRun:
        """Return the answer to a job that did not finish in time."""
        if job.dispatched_at is None:
            return self._refuse(outcomes.Reason.DEADLINE, "")
        origin = outcomes.Origin(outcomes.Step.ANSWER, self._name)
        return outcomes.FailedMayHaveRun(outcomes.Reason.DEADLINE, origin)

    def _refuse(
        self, reason: outcomes.Reason, detail: str
    ) -> outcomes.Refused:
        delay = limits.jittered_delay(_RETRY_S, _MAX_RETRY_S, self._rng)
        origin = outcomes.Origin(outcomes.Step.ADMIT, self._name)
        return outcomes.Refused(reason, origin, delay, detail)
