"""Binds waiting tasks to endpoints."""

from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import placement
from ferryledge import wire

#: Share of the queue's wait that a slow slot must beat: a job at the head of
#: the queue gets the next normal slot, long before the whole queue is done.
_SLOW_SLOT_WAIT = 0.1


class Placing:
    """Takes tasks from the queue to free slots.

    :param state: the pool
    """

    def __init__(self, state: _pool_state.PoolState) -> None:
        self._state = state

    def place_waiting(self, now: float) -> None:
        """Bind waiting tasks to free slots, in the queue's order."""
        if not self._state.queue.tasks:
            return
        rows = self._state.table.available_rows(now)
        if not rows:
            self._call_reports(now)
            return
        for waiting in self._state.queue.candidates(now):
            job = self._state.jobs[waiting.submission]
            self._place_job(now, job)
            rows = self._state.table.available_rows(now)
            if not rows:
                break
        if self._state.queue.tasks:
            self._call_reports(now)

    def _place_job(self, now: float, job: _jobs.Job) -> None:
        waiting = job.waiting
        while waiting.tasks:
            room = self._state.quotas.room(waiting.workspace)
            if room < 1:
                return
            row = self._choose(now, job)
            if row is None:
                return
            count = min(
                len(waiting.tasks), row.task_capacity(job.service.memory_mb)
            )
            count = int(min(count, room))
            self.send_start(now, job, row, count)

    def _choose(
        self, now: float, job: _jobs.Job
    ) -> placement.EndpointRow | None:
        slots = max(1, self._state.table.slots)
        wish = placement.PlacementRequest(
            job.waiting.expected_s,
            self._state.normal_slowness,
            _SLOW_SLOT_WAIT * self._state.queue.work_s / slots,
            job.zones,
            job.service.memory_mb,
            self._state.identity.zone,
            self._state.preferred_endpoints if not job.front else frozenset(),
            self._state.agent_sets.get(job.front),
        )
        rows = self._state.table.available_rows(now)
        return placement.choose_endpoint(rows, self._state.run_times, wish)

    def send_start(
        self,
        now: float,
        job: _jobs.Job,
        row: placement.EndpointRow,
        count: int,
    ) -> None:
        """Bind that many of a job's waiting tasks to an endpoint."""
        at_arbiter = job.ticket_use is _jobs.TicketUse.AT_ARBITER
        if at_arbiter:
            indices = [job.waiting.tasks.popleft() for _ in range(count)]
        else:
            indices = self._state.queue.take(job.waiting, count)
        first_seq = self._state.next_seq
        self._state.next_seq += count
        tasks = job.message.tasks
        each = self._report_each(count)
        self._state.held_back = self._state.held_back or not each
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
                each,
            )
            self._state.table.bind(binding)
            job.bound[binding.seq] = row.name
        self._state.quotas.take(job.message.workspace, count)
        self._state.trace.note(
            now,
            job.submission,
            _trace.Mechanism.PLACEMENT,
            f"{count} tasks to {row.name} in {row.zone}, free {row.free} "
            f"of {row.slots} after, slowness "
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
            each,
            job.service.memory_mb,
            job.message.label,
            job.message.ticket if at_arbiter else "",
        )
        self._state.peers.send(now, row.name, message)

    def _report_each(self, count: int) -> bool:
        """Return whether results are wanted one by one.

        While many slots are free nobody waits for the news of a free one,
        and the job can't be answered before its last task anyway.
        """
        if count == 1:
            return True
        slots = self._state.table.slots
        free = slots - self._state.table.bound
        return free < self._state.options.report_together_free * slots

    def _call_reports(self, now: float) -> None:
        """Ask for results that are held back, now that tasks wait."""
        if not self._state.held_back:
            return
        self._state.held_back = False
        for row in self._state.table:
            held = [one for one in row.bound.values() if not one.report_each]
            if not held:
                continue
            for binding in held:
                binding.report_each = True
            self._state.peers.send(now, row.name, wire.ReportNow())

    def send_probes(self, now: float) -> None:
        """Try endpoints whose ejection is over with one task each."""
        if not self._state.health_tracker.held:
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
        """Send one repeatable waiting task to an endpoint on trial."""
        for waiting in self._state.queue.candidates(now):
            job = self._state.jobs[waiting.submission]
            allowed = self._state.may_use(job, row)
            if job.message.repeatable and allowed and not row.bound:
                self._state.health_tracker.probe_sent(row.name)
                self.send_start(now, job, row, 1)
                return
