"""The scheduler of a pool.

A task is bound to one endpoint. It is bound again only after the endpoint's
agent has confirmed that the task has not started and never will.
"""

import random

from ferryledge.core import _admission
from ferryledge.core import _answering
from ferryledge.core import _endpoints
from ferryledge.core import _monitoring
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _placing
from ferryledge.core import _pool_state
from ferryledge.core import _requests
from ferryledge.core import _rulebook
from ferryledge.core import _task_ends
from ferryledge.core import _ticketing
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import ledger
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between checks for silent agents, deadlines and overdue tasks.
_SWEEP_INTERVAL_S = 0.1


class Scheduler:
    """Places jobs on the endpoints of a pool.

    The front of a job is the entry that took the job from its client and
    waits for the answer.

    :param identity: this process
    :param options: limits and timeouts
    :param peers: sends messages to other processes
    :param rng: random number generator for all random choices
    :param trace: records decisions
    """

    def __init__(
        self,
        identity: _options.Identity,
        options: _options.EntryOptions,
        peers: _peers.Peers,
        rng: random.Random,
        trace: _trace.Trace,
    ) -> None:
        queue = placement.WaitingQueue(
            options.age_bound_s, self._fair_share_penalty
        )
        self._state = _pool_state.PoolState(
            identity, options, peers, rng, trace, queue
        )
        self._admission = _admission.Admission(self._state)
        self._placing = _placing.Placing(self._state)
        self._monitoring = _monitoring.Monitoring(self._state)
        #: Ends jobs and sends their answers.
        self.answering = _answering.Answering(self._state)
        #: Queues jobs and redeems their tickets.
        self.ticketing = _ticketing.Ticketing(
            self._state, self._admission, self._placing, self.answering
        )
        #: Handles reports of finished and released tasks.
        self.task_ends = _task_ends.TaskEnds(
            self._state, self.answering, self.ticketing
        )
        #: Handles endpoints that connect, disconnect or leave.
        self.endpoints = _endpoints.Endpoints(
            self._state, self.answering, self.ticketing
        )
        #: Numbers of the submissions received, by front.
        self._seen: dict[str, ledger.SeenNumbers] = {}
        self._next_sweep = 0.0

    def _fair_share_penalty(self, workspace: str) -> float:
        """Return the queue penalty for a workspace's current slot usage."""
        rulebook = self._state.rulebook
        active = self._state.quotas.active() | {workspace}
        return limits.fair_share_penalty(
            self._state.quotas.used(workspace),
            rulebook.weight(workspace),
            sum(rulebook.weight(name) for name in active),
            self._state.table.slots,
        )

    @property
    def waiting(self) -> int:
        """Number of tasks that wait for a slot."""
        return self._state.queue.tasks

    @property
    def jobs(self) -> int:
        """Number of jobs that are not answered yet."""
        return len(self._state.jobs)

    @property
    def placed(self) -> int:
        """Number of tasks bound so far, over all jobs."""
        return self._state.next_seq

    @property
    def table(self) -> placement.EndpointTable:
        """The endpoints of the pool."""
        return self._state.table

    @property
    def run_times(self) -> placement.RunTimes:
        """Run-time estimates of services and endpoints."""
        return self._state.run_times

    @property
    def health_tracker(self) -> health.HealthTracker:
        """The health states of the endpoints."""
        return self._state.health_tracker

    def configure(self, rulebook: _rulebook.Rulebook) -> None:
        """Apply a newer configuration."""
        self._state.rulebook = rulebook
        self._state.table.set_cordons(rulebook.cordons)
        self._state.quotas.set_quotas(rulebook.quotas())

    def place(self, now: float, front: str, message: wire.PlaceJob) -> None:
        """Admit and queue a job, or refuse it.

        :param now: monotonic seconds
        :param front: the peer that sent the job; empty for this entry
        :param message: the job
        """
        if not self._is_new(message.submission):
            return
        admitted = self._admission.admit(now, front, message)
        if isinstance(admitted, outcomes.Refused):
            self.answering.answer(
                now, front, message.submission, _requests.JobAnswer(admitted)
            )
            return
        self._state.jobs[message.submission] = admitted
        self.ticketing.enqueue(now, admitted)

    def _is_new(self, submission: str) -> bool:
        """Record a submission and return whether it is new.

        A duplicate must not run, even after the first job has ended.
        """
        front = ledger.submission_front(submission)
        seen = self._seen.get(front)
        if seen is None:
            seen = self._seen[front] = ledger.SeenNumbers()
        return seen.add(ledger.submission_number(submission))

    def cancel(self, now: float, front: str, submission: str) -> None:
        """Cancel a job at the request of its front."""
        job = self._state.jobs.get(submission)
        if job is None or job.front != front:
            return
        self.answering.fail(
            now, job, outcomes.Reason.CANCELLED, outcomes.Step.CANCEL
        )

    def front_lost(self, now: float, front: str) -> None:
        """Drop the jobs of a front whose stream broke.

        Running tasks continue: the front may be recovering them.
        """
        self._state.agent_sets.pop(front, None)
        for job in list(self._state.jobs.values()):
            if job.front == front:
                self.answering.forget(job)

    def abandon(self, now: float, front: str, through: int) -> None:
        """Drop the jobs that a front has recovered.

        :param now: monotonic seconds
        :param front: the front's name
        :param through: number of the last submission to drop
        """
        for job in list(self._state.jobs.values()):
            number = ledger.submission_number(job.submission)
            if job.front == front and number <= through:
                self.answering.abandon(now, job)

    def share(
        self,
        preferred_endpoints: frozenset[str],
        owns_pool: bool,
        pool_endpoints: frozenset[str] | None,
    ) -> None:
        """Set the endpoints that are assigned to this entry.

        :param preferred_endpoints: endpoints to prefer for jobs that this
            entry schedules itself
        :param owns_pool: whether other entries delegate jobs to this entry
        :param pool_endpoints: the endpoints of this entry's pools; ``None``
            for all endpoints
        """
        self._state.preferred_endpoints = preferred_endpoints
        self._state.owns_pool = owns_pool
        for row in self._state.table:
            row.assigned = (
                pool_endpoints is None
                or row.name in pool_endpoints
                or row.name in preferred_endpoints
            )
            self._state.table.refresh(row)
        share = 1.0
        if pool_endpoints is not None and len(self._state.table):
            share = len(pool_endpoints) / len(self._state.table)
        self._state.quotas.set_share(share)

    def can_place(self, tasks: int, margin: float) -> bool:
        """Return whether the preferred endpoints can take a job at once.

        :param tasks: number of tasks of the job
        :param margin: fraction of their slots that must stay free
        """
        if self._state.queue.tasks:
            return False
        free = slots = 0
        for name in self._state.preferred_endpoints:
            row = self._state.table.find(name)
            if row is not None and row.usable:
                slots += min(row.slots, row.connections)
                free += row.free
        return free - tasks >= margin * slots

    def allow_agents(self, front: str, processes: frozenset[str]) -> None:
        """Restrict a front's jobs to the agents that the front can reach.

        :param front: the front's name
        :param processes: the process keys of those agents
        """
        self._state.agent_sets[front] = processes

    def run_systems(self, now: float) -> None:
        """Check timeouts if due, then probe endpoints and place tasks."""
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_INTERVAL_S
            self._sweep(now)
        self._placing.send_probes(now)
        self._placing.place_waiting(now)

    def wake_at(self) -> float:
        """Return the time by which :meth:`run_systems` must run next."""
        if not self._state.jobs:
            return float("inf")
        return self._next_sweep

    def _sweep(self, now: float) -> None:
        for row in self._monitoring.lost_endpoints(now):
            self.endpoints.agent_gone(now, row)
        self._monitoring.sweep(now)
        for job in list(self._state.jobs.values()):
            if now >= job.deadline_at:
                self.answering.fail(
                    now, job, outcomes.Reason.DEADLINE, outcomes.Step.PLACE
                )
        self._sweep_timeouts(now)

    def _sweep_timeouts(self, now: float) -> None:
        for job, name in self._monitoring.timed_out_jobs(now):
            self.answering.fail(
                now,
                job,
                outcomes.Reason.TIMEOUT,
                outcomes.Step.RUN,
                name,
            )
