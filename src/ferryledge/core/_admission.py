"""Admission control: admits a job to a pool or refuses it with a reason."""

import collections

from ferryledge import configlog
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _trace
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import policy
from ferryledge import wire


class Admission:
    """Decides whether a pool accepts a job.

    :param state: the state of the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state

    def admit(
        self, now: float, front: str, message: wire.PlaceJob
    ) -> _jobs.Job | outcomes.Refused:
        """Return the admitted job, or a refusal.

        :param now: current time in monotonic seconds
        :param front: name of the entry that sent the job; empty for this
            entry
        :param message: the job
        """
        service = self._state.rulebook.service(message.service)
        if service is None:
            return self.refuse(
                outcomes.Reason.UNKNOWN_SERVICE, 0.0, message.service
            )
        declared = max(
            (task.declared_s for task in message.tasks), default=0.0
        )
        expected = self._state.run_times.predict(message.service, declared)
        facts = self._facts(message, expected, declared)
        ruling = self._state.rulebook.evaluate(service, facts)
        if ruling.refused:
            return self.refuse(
                outcomes.Reason.POLICY, self._state.drain_s(), ruling.detail
            )
        zones = self._state.rulebook.zones(
            service, facts, message.places, self._state.table.zones
        )
        refusal = self._check_endpoints(service, zones)
        if refusal is not None:
            return refusal
        ideal_s = expected * _longest_factor(len(message.tasks))
        waiting = placement.WaitingJob(
            message.submission,
            message.workspace,
            expected,
            ideal_s,
            ruling.urgency,
            now,
            collections.deque(range(len(message.tasks))),
        )
        refusal = self._check_limits(message, waiting)
        if refusal is not None:
            return refusal
        job = _jobs.Job(
            message.submission,
            front,
            message,
            service,
            now,
            waiting,
            zones,
            self._state.rulebook.version,
        )
        self._state.trace.note(
            now,
            job.submission,
            _trace.Mechanism.ADMISSION,
            f"admitted: {expected:.3f} s expected per task, urgency "
            f"{ruling.urgency:g}, {self._state.queue.tasks} tasks waiting, "
            f"load {self._state.table.load:.2f}",
        )
        for failure in ruling.failures:
            self._state.trace.note(
                now, job.submission, _trace.Mechanism.POLICY, failure
            )
        return job

    def _facts(
        self, message: wire.PlaceJob, expected: float, declared: float
    ) -> policy.Facts:
        return policy.Facts(
            workspace=message.workspace,
            service=message.service,
            tasks=len(message.tasks),
            expected_s=expected,
            declared_s=declared,
            deadline_s=message.deadline_s,
            urgency=message.urgency,
            repeatable=message.repeatable,
            waiting=self._state.queue.tasks,
            load=self._state.table.load,
            home=self._state.identity.zone,
        )

    def _check_endpoints(
        self, service: configlog.Service, zones: frozenset[str] | None
    ) -> outcomes.Refused | None:
        if not any(row.usable for row in self._state.table):
            return self.refuse(
                outcomes.Reason.NO_ENDPOINT,
                self._state.jittered_delay(0.5),
                "no endpoint is connected",
            )
        cordoned = False
        for row in self._state.table:
            if zones is not None and row.zone not in zones:
                continue
            if row.memory_mb and service.memory_mb > row.memory_mb:
                continue
            if not row.cordoned:
                return None
            cordoned = True
        if cordoned:
            return self.refuse(
                outcomes.Reason.NO_ENDPOINT,
                self._state.jittered_delay(0.5),
                "the allowed availability zones are cordoned",
            )
        return self.refuse(
            outcomes.Reason.IMPOSSIBLE,
            0.0,
            "no endpoint in the allowed zones is large enough",
        )

    def _check_limits(
        self, message: wire.PlaceJob, waiting: placement.WaitingJob
    ) -> outcomes.Refused | None:
        guarded = self._state.options.guards and message.deadline_s > 0
        work_before_s = (
            self._state.queue.work_ahead(waiting.key)
            if guarded
            else self._state.queue.work_s
        )
        load = limits.Load(
            self._state.table.slots,
            self._state.queue.tasks,
            work_before_s,
            waiting.ideal_s,
        )
        verdict = limits.admit(
            load,
            len(message.tasks),
            message.deadline_s,
            self._state.options.max_waiting_tasks,
            self._state.options.guards,
        )
        match verdict:
            case limits.Refuse(reason, retry_after_s):
                return self.refuse(
                    reason, self._state.jittered_delay(retry_after_s)
                )
            case limits.Admit():
                return None

    def refuse(
        self,
        reason: outcomes.Reason,
        retry_after_s: float,
        detail: str = "",
    ) -> outcomes.Refused:
        """Return a refusal by this entry in the admission step.

        :param reason: why the job is refused
        :param retry_after_s: seconds after which the client may retry; 0 if
            a retry cannot succeed
        :param detail: a message for the client
        """
        origin = outcomes.Origin(
            outcomes.Step.ADMIT, self._state.identity.name
        )
        return outcomes.Refused(reason, origin, retry_after_s, detail)


def _longest_factor(tasks: int) -> float:
    """Estimate the run time of a job's longest task over the mean.

    The expected maximum of several run times grows about logarithmically
    with their number; the factor suits run times that vary about twofold.

    :param tasks: number of tasks in the job
    """
    return 1.0 + 0.25 * (tasks.bit_length() - 1)
