"""Refuses jobs that would only wait, while the refusal is still cheap."""

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

#: Share of the objective within which a refusal counts as prompt.
_PROMPT_SHARE = 0.25
#: Share of the client's time after which an untried job is given up.
_UNTRIED_SHARE = 0.4
#: Base and longest delay in seconds that a refused client is told.
_RETRY_S = 0.5
_LONGEST_RETRY_S = 5.0


class Admission:
    """Decides which jobs an entry keeps.

    :param name: this entry
    :param pool: the agents
    :param share: what this entry gets of their room
    :param link: this entry's own
    :param rng: spreads the delays that clients are told
    :param rules: those that hold
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
        #: What refused callers were told.
        self.retry_schedule = _retry_schedule.RetrySchedule(rng)
        self._ends_at = float("inf")

    def close(self, ends_at: float) -> None:
        """Take only jobs that end before this entry does.

        :param ends_at: when that is, in monotonic seconds
        """
        self._ends_at = ends_at

    def admit(
        self, now: float, job: _jobs.Job, hope: bool
    ) -> outcomes.Refused | None:
        """Return a refusal for a new job, or none.

        :param now: monotonic seconds
        :param job: the job
        :param hope: whether endpoints may come soon that fit where none does
        """
        if now + job.expected_s * _timing.RUN_MARGIN > self._ends_at:
            return self._refuse(
                outcomes.Reason.DRAINING, "this entry ends before the job"
            )
        if self._pool.all_cordoned and not hope:
            return self._refuse(
                outcomes.Reason.CAPACITY,
                "every availability zone in reach is cordoned",
            )
        service = job.request.job_class.service
        if hope or not self._pool.capacity_cores(now, service):
            return None
        return self._unfit(job)

    def _unfit(self, job: _jobs.Job) -> outcomes.Refused | None:
        """Return a refusal if some step fits nowhere."""
        if not _placement.is_infeasible(self._pool, job):
            return None
        return self._refuse(
            outcomes.Reason.IMPOSSIBLE,
            "no endpoint is large enough or has the label",
        )

    def review(
        self, now: float, job: _jobs.Job, ahead: float
    ) -> outcomes.Refused | None:
        """Return a refusal for a job that nothing was ordered for yet.

        One that would only be late is refused: started after all, it would
        make a later one late in its turn, and its client can come back now.

        :param now: monotonic seconds
        :param job: the job
        :param ahead: core-seconds that get room before it
        """
        waited = now - job.arrived_at
        deadline_s = job.request.deadline_s or job.objective_s * 4.0
        if waited > _UNTRIED_SHARE * deadline_s:
            return self._refuse(outcomes.Reason.CAPACITY, "waited too long")
        if waited < _PROMPT_SHARE * job.objective_s:
            return None
        if self._pool.may_recover(now):
            return None
        unfit = self._unfit(job)
        if unfit is not None:
            return unfit
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
        """Return a refusal for a job whose answer is forecast to be of no use.

        :param now: monotonic seconds
        :param job: a job that may be late and for which nothing was ordered
        :param queueing_delay: tells in how many seconds so much work has got room,
            beside what waits already
        """
        if self._pool.may_recover(now) and now < job.demand.useful_start_by:
            return None
        unfit = self._unfit(job)
        if unfit is not None:
            return unfit
        told = job.forecast
        answer_s = told.answer_in_s if told is not None else math.inf
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
        """Return how long it takes until the last task of a job has room."""
        service = job.request.job_class.service
        pool_cores = self._pool.capacity_cores(now, service)
        if not pool_cores:
            return float("inf")
        sharing_entries = self._pool.sharing_entries(now, service)
        cores = self._pool_share.cores(now, pool_cores, sharing_entries)
        return (ahead + job.work) / cores + self._link.wait_s(now)

    def give_up(
        self, job: _jobs.Job
    ) -> outcomes.Refused | outcomes.FailedMayHaveRun:
        """Return the answer to a job whose client's time is over."""
        if job.dispatched_at is None:
            return self._refuse(outcomes.Reason.DEADLINE, "")
        origin = outcomes.Origin(outcomes.Step.ANSWER, self._name)
        return outcomes.FailedMayHaveRun(outcomes.Reason.DEADLINE, origin)

    def _refuse(
        self, reason: outcomes.Reason, detail: str
    ) -> outcomes.Refused:
        delay = limits.jittered_delay(_RETRY_S, _LONGEST_RETRY_S, self._rng)
        origin = outcomes.Origin(outcomes.Step.ADMIT, self._name)
        return outcomes.Refused(reason, origin, delay, detail)
