"""Binds waiting tasks to endpoints and sends them to the agents."""

from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import placement
from ferryledge import wire

#: Fraction of the time to drain the queue that counts as the wait for a normal
#: slot. The first job in the queue gets the next normal slot, long before the
#: queue is drained.
_NORMAL_SLOT_WAIT_FRACTION = 0.1


class Placing:
    """Binds queued tasks to free slots.

    :param state: the state of the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state

    def place_waiting(self, now: float) -> None:
        """Bind waiting tasks to free slots, in queue order."""
        if not self._state.queue.tasks:
            return
        rows = self._state.table.available_rows(now)
        if not rows:
            self._request_reports(now)
            return
        for waiting in self._state.queue.candidates(now):
            job = self._state.jobs[waiting.submission]
            self._place_job(now, job)
            rows = self._state.table.available_rows(now)
            if not rows:
                break
        if self._state.queue.tasks:
            self._request_reports(now)

    def _place_job(self, now: float, job: _jobs.Job) -> None:
        waiting = job.waiting
        while waiting.tasks:
            headroom = self._state.quotas.headroom(waiting.workspace)
            if headroom < 1:
                return
            row = self._choose_endpoint(now, job)
            if row is None:
                return
            count = min(
                len(waiting.tasks), row.task_capacity(job.service.memory_mb)
            )
            count = int(min(count, headroom))
            self.send_start(now, job, row, count)

    def _choose_endpoint(
        self, now: float, job: _jobs.Job
    ) -> placement.EndpointRow | None:
        slots = max(1, self._state.table.slots)
        request = placement.PlacementRequest(
            job.waiting.expected_s,
            self._state.normal_slowness,
            _NORMAL_SLOT_WAIT_FRACTION * self._state.queue.work_s / slots,
            job.zones,
            job.service.memory_mb,
            self._state.identity.zone,
            self._state.preferred_endpoints if not job.front else frozenset(),
            self._state.agent_sets.get(job.front),
        )
        rows = self._state.table.available_rows(now)
        return placement.choose_endpoint(rows, self._state.run_times, request)

    def send_start(
        self,
        now: float,
        job: _jobs.Job,
        row: placement.EndpointRow,
        count: int,
    ) -> None:
        """Bind waiting tasks of a job to an endpoint and send them.

        :param now: monotonic seconds
        :param job: the job
        :param row: the endpoint
        :param count: number of tasks to bind
        """
        at_arbiter = job.ticket_use is _jobs.TicketUse.AT_ARBITER
        if at_arbiter:
            indices = [job.waiting.tasks.popleft() for _ in range(count)]
        else:
            indices = self._state.queue.pop_tasks(job.waiting, count)
        first_seq = self._state.next_seq
        self._state.next_seq += count
        tasks = job.message.tasks
        report_each = self._should_report_each(count)
        self._state.has_deferred_reports = (
            self._state.has_deferred_reports or not report_each
        )
        for offset, index in enumerate(indices):
            binding = placement.Binding(
                first_seq + offset,
                job.submission,
                index,
                row.name,
                now,
                job.waiting.expected_s,
                tasks[index].declared_s,
                job.service.memory_mb,
                report_each,
            )
            self._state.table.bind(binding)
            job.bound[binding.seq] = row.name
        self._state.quotas.acquire(job.message.workspace, count)
        self._state.trace.note(
            now,
            job.submission,
            _trace.Mechanism.PLACEMENT,
            f"{count} tasks to {row.name} in {row.zone}, {row.free} of "
            f"{row.slots} slots still free, slowness "
            f"{self._state.run_times.slowness(row.name):.2f}",
        )
        message = wire.StartTasks(
            row.incarnation,
            job.submission,
            job.message.service,
            job.service.timeout_s,
            first_seq,
            tuple(indices),
            tuple(tasks[index].payload for index in indices),
            report_each,
            job.service.memory_mb,
            job.message.label,
            job.message.ticket if at_arbiter else "",
        )
        self._state.peers.send(now, row.name, message)

    def _should_report_each(self, count: int) -> bool:
        """Return whether the agent reports each task as it finishes.

        While many slots are free, no task waits for a slot, and a job is
        answered only after its last task. Reporting the tasks together then
        saves messages at no cost.
        """
        if count == 1:
            return True
        slots = self._state.table.slots
        free = slots - self._state.table.bound
        return free < self._state.options.report_together_free * slots

    def _request_reports(self, now: float) -> None:
        """Request the reports that agents defer, because tasks wait."""
        if not self._state.has_deferred_reports:
            return
        self._state.has_deferred_reports = False
        for row in self._state.table:
            deferred = [
                task for task in row.bound.values() if not task.report_each
            ]
            if not deferred:
                continue
            for binding in deferred:
                binding.report_each = True
            self._state.peers.send(now, row.name, wire.ReportNow())

    def send_probes(self, now: float) -> None:
        """Send one task to each endpoint whose ejection has expired."""
        if not self._state.health_tracker.has_restricted:
            return
        self._state.health_tracker.probes_due(now)
        for row in self._state.table:
            if not row.ejected or not row.connected:
                continue
            if row.leaving or row.cordoned:
                continue
            match self._state.health_tracker.state(row.name):
                case health.Healthy():
                    row.ejected = False
                    self._state.table.refresh(row)
                case health.Probing(sent=False):
                    self._probe(now, row)
                case _:
                    pass

    def _probe(self, now: float, row: placement.EndpointRow) -> None:
        """Send one repeatable task to an endpoint to check its health."""
        for waiting in self._state.queue.candidates(now):
            job = self._state.jobs[waiting.submission]
            allowed = self._state.may_use(job, row)
            if job.message.repeatable and allowed and not row.bound:
                self._state.health_tracker.probe_sent(row.name)
                self.send_start(now, job, row, 1)
                return
