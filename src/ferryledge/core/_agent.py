"""The core of an agent: starts tasks and reports their results.

Schedulers (the owners of tasks) send start messages; the agent runs the tasks
that fit its free slots, releases the others and sends back the results. It
also authorises submissions that use tickets minted here, and stops the tasks
of a lost scheduler from starting when a front fences it.
"""

from collections import abc
import dataclasses

from ferryledge.core import _actions
from ferryledge.core import _arbiter
from ferryledge.core import _batches
from ferryledge.core import _convert
from ferryledge.core import _events
from ferryledge.core import _options
from ferryledge import ledger
from ferryledge import wire

_RESULT_EXPIRED = b"result no longer kept"
_EXPIRY_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Owner:
    """A scheduler that has opened a stream to this agent."""

    hello: wire.Hello
    connected: bool = True
    #: When the stream broke, in monotonic seconds.
    lost_at: float = 0.0
    #: When the last message was sent, in monotonic seconds.
    last_sent: float = 0.0
    #: Number of its tasks that run here.
    running: int = 0
    #: Latest configuration version acknowledged to it.
    reported_version: int = 0
    #: Whether it is known to have read that this agent drains.
    knows_of_drain: bool = False
    #: Whether it is draining itself; its stream closes once its work is done.
    leaving: bool = False


class AgentCore:
    """Allocates the slots of one endpoint to the tasks of schedulers.

    :param identity: identity of this process
    :param options: limits on the use of the endpoint
    """

    def __init__(
        self,
        identity: _options.Identity,
        options: _options.AgentOptions,
    ) -> None:
        self._identity = identity
        self._options = options
        self._starts = ledger.StartLedger(options.result_retention_s)
        self._arbiter = _arbiter.Arbiter(
            identity, options.ticket_life_s, self._send
        )
        #: Owners by incarnation.
        self._owners: dict[str, _Owner] = {}
        #: Incarnations of connected owners by name.
        self._incarnations: dict[str, str] = {}
        self._batches: dict[ledger.TaskKey, _batches.Batch] = {}
        #: Fronts to notify when a fenced task ends.
        self._fence_requesters: dict[ledger.TaskKey, str] = {}
        #: Memory of each running task in MB.
        self._memory: dict[ledger.TaskKey, int] = {}
        self._memory_used = 0
        self._actions: list[_actions.Action] = []
        self._draining = False
        self._config_version = 0
        self._next_expiry = 0.0

    @property
    def running(self) -> int:
        """Number of tasks that run now."""
        return self._starts.running

    @property
    def draining(self) -> bool:
        """Whether the agent refuses new tasks because it is draining."""
        return self._draining

    @property
    def is_drain_known(self) -> bool:
        """Whether all connected schedulers know that this agent drains.

        None of them sends tasks or uses tickets of this agent from then on.
        """
        return self._draining and all(
            owner.knows_of_drain
            for owner in self._owners.values()
            if owner.connected
        )

    @property
    def awaits_schedulers(self) -> bool:
        """Whether a scheduler may reconnect, to ask for results it lacks."""
        return any(
            not (owner.connected or owner.leaving)
            for owner in self._owners.values()
        )

    @property
    def idle(self) -> bool:
        """Whether no task runs and no batch is open."""
        return not self._starts.running and not self._batches

    @property
    def tickets_in_use(self) -> int:
        """Number of submissions that run under this agent's tickets."""
        return self._arbiter.in_progress

    @property
    def config_version(self) -> int:
        """The newest configuration version received from any peer."""
        return self._config_version

    def hello(self) -> wire.Hello:
        """Return the first message of a new stream."""
        return wire.Hello(
            wire.Role.AGENT,
            self._identity.name,
            self._identity.incarnation,
            self._identity.zone,
            self._options.slots,
            self._options.connections,
            self._options.memory_mb,
            self._draining,
            self._config_version,
        )

    def receive(self, now: float, event: _events.Event) -> None:
        """Process one event.

        The resulting actions are returned by the next :meth:`tick`.

        :param now: monotonic seconds
        :param event: the event
        :raises TypeError: if an agent does not handle this kind of event
        """
        match event:
            case _events.Received(peer, message):
                self._on_message(now, peer, message)
            case _events.TaskEnded():
                self._on_task_ended(now, event)
            case _events.PeerUp(hello):
                self._on_peer_up(now, hello)
            case _events.PeerDown(name, incarnation):
                self._on_peer_down(now, name, incarnation)
            case _events.DrainRequested():
                self._on_drain()
            case _:
                raise TypeError(f"not an event for an agent: {event!r}")

    def tick(self, now: float) -> list[_actions.Action]:
        """Run the timers that are due and return the queued actions.

        :param now: monotonic seconds
        """
        if now >= self._next_expiry:
            self._next_expiry = now + _EXPIRY_INTERVAL_S
            self._starts.expire(now)
            self._arbiter.expire(now)
            self._settle_lost_owners(now)
        self._send_keepalives(now)
        actions = self._actions
        self._actions = []
        return actions

    def wake_at(self) -> float:
        """Return the latest time for the next tick, in monotonic seconds."""
        due = self._next_expiry
        for owner in self._owners.values():
            if owner.connected:
                due = min(
                    due, owner.last_sent + self._keepalive_interval(owner)
                )
        return due

    # Streams and keep-alives.

    def _on_peer_up(self, now: float, hello: wire.Hello) -> None:
        if hello.role is not wire.Role.ENTRY:
            return
        owner = self._owners.get(hello.incarnation)
        if owner is None:
            owner = _Owner(hello)
            self._owners[hello.incarnation] = owner
        owner.connected = True
        owner.last_sent = now
        self._incarnations[hello.name] = hello.incarnation
        if self._draining:
            # The greeting may have been sent before the drain.
            owner.knows_of_drain = False
            self._send(now, hello.incarnation, wire.Leaving())
        running = {batch.submission for batch in self._batches.values()}
        self._arbiter.repeat_verdicts(now, hello.incarnation, running)
        self._update_config_version(hello.config_version)

    def _on_peer_down(self, now: float, name: str, incarnation: str) -> None:
        owner = self._owners.get(incarnation)
        if owner is None:
            return
        owner.connected = False
        owner.lost_at = now
        if self._incarnations.get(name) == incarnation:
            del self._incarnations[name]

    def _settle_lost_owners(self, now: float) -> None:
        """Settle the tickets of owners that did not reconnect in time.

        Owners with running tasks are kept until these have ended.
        """
        grace = self._options.owner_grace_s
        for incarnation, owner in list(self._owners.items()):
            if owner.connected or now - owner.lost_at < grace:
                continue
            if owner.running:
                continue
            self._arbiter.settle_lost_owner(incarnation)
            del self._owners[incarnation]

    def _keepalive_interval(self, owner: _Owner) -> float:
        if owner.running:
            return self._options.busy_keepalive_s
        return self._options.keepalive_s

    def _send_keepalives(self, now: float) -> None:
        for owner in self._owners.values():
            if not owner.connected:
                continue
            if now >= owner.last_sent + self._keepalive_interval(owner):
                alive = wire.KeepAlive(self._config_version)
                self._send(now, owner.hello.incarnation, alive)

    def _send(
        self, now: float, incarnation: str, message: wire.Message
    ) -> bool:
        """Queue a message unless the owner is disconnected.

        :return: whether the message was queued
        """
        owner = self._owners.get(incarnation)
        if owner is None or not owner.connected:
            return False
        owner.last_sent = now
        self._actions.append(_actions.Send(owner.hello.name, message))
        return True

    def _report_config_version(self, now: float, incarnation: str) -> None:
        """Acknowledge a newer configuration version immediately."""
        owner = self._owners.get(incarnation)
        if owner is None or owner.reported_version >= self._config_version:
            return
        owner.reported_version = self._config_version
        self._send(now, incarnation, wire.KeepAlive(self._config_version))

    def _update_config_version(self, version: int) -> None:
        self._config_version = max(self._config_version, version)

    # Incoming messages.

    def _on_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        owner = self._incarnations.get(peer)
        if owner is None:
            return
        match message:
            case wire.StartTasks():
                self._on_start(now, owner, message)
            case wire.KeepAlive(version):
                self._update_config_version(version)
                self._report_config_version(now, owner)
            case wire.CancelTasks():
                self._on_cancel(now, owner, message)
            case wire.ReportNow():
                self._on_report_now(now, owner)
            case wire.Reconcile():
                self._on_reconcile(now, owner, message)
            case wire.FenceOwner():
                self._on_fence(now, owner, message)
            case wire.Leaving(confirms):
                self._on_leaving(owner, confirms)
            case wire.TicketRequest() if self._draining:
                # An empty answer, so that the entry asks others.
                self._send(now, owner, wire.Tickets(()))
            case _:
                self._arbiter.on_message(now, owner, message)

    def _on_start(
        self, now: float, owner: str, message: wire.StartTasks
    ) -> None:
        if message.ticket and not self._arbiter.authorise_start(
            now, owner, message
        ):
            self._release_all(now, owner, message, wire.ReleaseReason.TICKET)
            return
        refusal = self._refusal(message)
        if refusal:
            if message.ticket:
                self._arbiter.revoke(message.ticket, message.submission)
            self._release_all(now, owner, message, refusal)
            return
        self._start_tasks(now, owner, message, self._free_capacity(message))

    def _refusal(self, message: wire.StartTasks) -> wire.ReleaseReason | None:
        count = len(message.indices)
        if message.incarnation != self._identity.incarnation:
            return wire.ReleaseReason.INCARNATION
        if self._draining:
            return wire.ReleaseReason.LEAVING
        if len(message.payloads) != count:
            return wire.ReleaseReason.MALFORMED
        capacity = self._free_capacity(message)
        if not capacity or (message.ticket and capacity < count):
            return wire.ReleaseReason.BUSY
        return None

    def _free_capacity(self, message: wire.StartTasks) -> int:
        """Return the number of the message's tasks that can start now."""
        limit = min(self._options.slots, self._options.connections)
        capacity = limit - self._starts.running
        if self._options.memory_mb and message.memory_mb:
            memory = self._options.memory_mb - self._memory_used
            capacity = min(capacity, memory // message.memory_mb)
        return max(0, capacity)

    def _start_tasks(
        self, now: float, owner: str, message: wire.StartTasks, capacity: int
    ) -> None:
        """Start as many tasks as the capacity allows, release the others."""
        batch = _batches.Batch(
            owner, message.submission, message.report_each, 0, message.ticket
        )
        refused = []
        excess = []
        for offset, index in enumerate(message.indices):
            key = ledger.TaskKey(owner, message.first_seq + offset)
            if batch.left >= capacity:
                if self._starts.find(key) is None:
                    excess.append(key)
                continue
            admission = self._starts.admit(key, message.submission, index)
            if admission is ledger.Admission.FRESH:
                self._start_task(key, index, offset, message, batch)
            elif admission is ledger.Admission.REFUSED:
                refused.append(key.seq)
        if refused:
            fenced = self._starts.is_fenced(owner, message.submission)
            reason = (
                wire.ReleaseReason.FENCED
                if fenced
                else wire.ReleaseReason.STALE
            )
            self._send_released(
                now, owner, message.submission, refused, reason
            )
        released = [key.seq for key in excess if self._starts.release(key)]
        if released:
            busy = wire.ReleaseReason.BUSY
            self._send_released(now, owner, message.submission, released, busy)

    def _start_task(
        self,
        key: ledger.TaskKey,
        index: int,
        offset: int,
        message: wire.StartTasks,
        batch: _batches.Batch,
    ) -> None:
        batch.left += 1
        self._batches[key] = batch
        self._memory[key] = message.memory_mb
        self._memory_used += message.memory_mb
        if key.owner in self._owners:
            self._owners[key.owner].running += 1
        self._actions.append(
            _actions.RunTask(
                key.owner,
                key.seq,
                message.submission,
                index,
                message.service,
                message.payloads[offset],
                message.timeout_s,
                message.label,
            )
        )

    def _release_all(
        self,
        now: float,
        owner: str,
        message: wire.StartTasks,
        reason: wire.ReleaseReason,
    ) -> None:
        seqs = []
        for offset in range(len(message.indices)):
            key = ledger.TaskKey(owner, message.first_seq + offset)
            record = self._starts.find(key)
            if record is None and self._starts.release(key):
                seqs.append(key.seq)
        if seqs:
            self._send_released(now, owner, message.submission, seqs, reason)

    def _send_released(
        self,
        now: float,
        owner: str,
        submission: str,
        seqs: abc.Sequence[int],
        reason: wire.ReleaseReason,
    ) -> None:
        message = wire.TasksReleased(
            submission, tuple(seqs), reason, self._starts.running
        )
        self._send(now, owner, message)

    def _on_cancel(
        self, now: float, owner: str, message: wire.CancelTasks
    ) -> None:
        released = []
        for seq in message.seqs:
            key = ledger.TaskKey(owner, seq)
            record = self._starts.find(key)
            if record is None and self._starts.release(key):
                released.append(seq)
            elif record is not None and record.finish is None:
                self._actions.append(_actions.StopTask(owner, seq))
        if released:
            self._send_released(
                now,
                owner,
                message.submission,
                released,
                wire.ReleaseReason.CANCELLED,
            )

    # Results.

    def _on_task_ended(self, now: float, event: _events.TaskEnded) -> None:
        key = ledger.TaskKey(event.owner, event.seq)
        if not event.started:
            self._on_task_unstarted(now, key)
            return
        finish = ledger.Finish(event.ok, event.body, event.run_s, now)
        record = self._starts.finish(key, finish)
        if record is None:
            return
        batch = self._remove_task(key)
        self._report_finished(now, batch, _convert.finished_task(record))
        self._report_fenced_task(now, record)

    def _remove_task(self, key: ledger.TaskKey) -> _batches.Batch:
        """Free the slot and memory of a task and return its batch."""
        self._memory_used -= self._memory.pop(key, 0)
        owner = self._owners.get(key.owner)
        if owner is not None:
            owner.running -= 1
        return self._batches.pop(key)

    def _on_task_unstarted(self, now: float, key: ledger.TaskKey) -> None:
        """Release a task that did not reach the endpoint."""
        record = self._starts.undo_start(key)
        if record is None:
            return
        batch = self._remove_task(key)
        batch.left -= 1
        batch.unstarted += 1
        if not batch.left:
            self._arbiter.settle_batch(batch)
            self._flush(now, batch)
        self._send_released(
            now,
            key.owner,
            record.submission,
            [key.seq],
            wire.ReleaseReason.UNREACHABLE,
        )
        front = self._fence_requesters.pop(key, None)
        if front is not None:
            job = wire.FencedJob(record.submission, unstarted=(record.index,))
            report = wire.FenceReport(key.owner, (job,), first=False)
            self._send(now, front, report)

    def _report_finished(
        self, now: float, batch: _batches.Batch, task: wire.FinishedTask
    ) -> None:
        batch.left -= 1
        batch.held.append(task)
        batch.failed = batch.failed or not task.ok
        if batch.ticket:
            batch.results[task.index] = task.body
        if not batch.left:
            self._arbiter.settle_batch(batch)
        if batch.report_each or not task.ok or not batch.left:
            self._flush(now, batch)

    def _flush(self, now: float, batch: _batches.Batch) -> None:
        if not batch.held:
            return
        message = wire.TasksFinished(
            batch.submission, tuple(batch.held), self._starts.running
        )
        batch.held = []
        self._send(now, batch.owner, message)

    def _on_report_now(self, now: float, owner: str) -> None:
        flushed_ids: set[int] = set()
        for batch in list(self._batches.values()):
            if batch.owner != owner or id(batch) in flushed_ids:
                continue
            flushed_ids.add(id(batch))
            batch.report_each = True
            self._flush(now, batch)

    def _on_reconcile(
        self, now: float, owner: str, message: wire.Reconcile
    ) -> None:
        """Send the state of tasks whose messages may be lost.

        Tasks not seen here are released, so that they can't start later.
        Running tasks are left out: they are reported when they end.
        """
        pairs = zip(message.seqs, message.submissions, strict=False)
        for seq, submission in pairs:
            key = ledger.TaskKey(owner, seq)
            record = self._starts.find(key)
            if record is None and self._starts.release(key):
                self._send_released(
                    now, owner, submission, [seq], wire.ReleaseReason.UNSEEN
                )
                continue
            if record is not None and record.finish is None:
                continue
            task = (
                _convert.finished_task(record)
                if record is not None
                else wire.FinishedTask(seq, -1, False, _RESULT_EXPIRED, 0.0)
            )
            finished = wire.TasksFinished(submission, (task,))
            self._send(now, owner, finished)

    # Fences: a front recovers its jobs from a lost scheduler.

    def _on_fence(
        self, now: float, front: str, message: wire.FenceOwner
    ) -> None:
        """Stop further starts by a lost scheduler and report its tasks.

        Tasks that still run are reported to the front when they end.
        """
        records_by_submission: dict[str, list[ledger.TaskRecord]] = {}
        for record in self._starts.fence(
            message.owner, front, message.through
        ):
            records_by_submission.setdefault(record.submission, []).append(
                record
            )
            if record.finish is None:
                self._fence_requesters[record.key] = front
        requested = set(message.submissions)
        jobs = tuple(
            _convert.fenced_job(submission, records)
            for submission, records in records_by_submission.items()
            if submission in requested
        )
        report = wire.FenceReport(message.owner, jobs, through=message.through)
        self._send(now, front, report)

    def _report_fenced_task(
        self, now: float, record: ledger.TaskRecord
    ) -> None:
        front = self._fence_requesters.pop(record.key, None)
        if front is None:
            return
        job = _convert.fenced_job(record.submission, [record])
        report = wire.FenceReport(record.key.owner, (job,), first=False)
        self._send(now, front, report)

    # Draining.

    def _on_leaving(self, owner: str, confirms: bool) -> None:
        if confirms:
            self._owners[owner].knows_of_drain = True
        else:
            self._owners[owner].leaving = True

    def _on_drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        for owner in self._owners.values():
            if owner.connected:
                self._actions.append(
                    _actions.Send(owner.hello.name, wire.Leaving())
                )
