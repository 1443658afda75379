"""The agent's decisions: start, release, report, arbitrate, drain."""

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

_FORGOTTEN = b"result no longer kept"
_EXPIRE_EVERY_S = 1.0


@dataclasses.dataclass(slots=True)
class _Owner:
    """A scheduler's stream to this agent."""

    hello: wire.Hello
    connected: bool = True
    lost_at: float = 0.0
    last_sent: float = 0.0
    running: int = 0
    #: Version of the configuration that it was told last.
    told_version: int = 0


class AgentCore:
    """Owns the slots of one endpoint.

    :param identity: this process
    :param options: what may be used of the endpoint
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
        self._owners: dict[str, _Owner] = {}
        self._names: dict[str, str] = {}
        self._batches: dict[ledger.TaskKey, _batches.Batch] = {}
        self._fence_reports: dict[ledger.TaskKey, str] = {}
        self._memory: dict[ledger.TaskKey, int] = {}
        self._memory_used = 0
        self._actions: list[_actions.Action] = []
        self._draining = False
        self._config_version = 0
        self._next_expiry = 0.0

    @property
    def running(self) -> int:
        """Tasks that run now."""
        return self._starts.running

    @property
    def draining(self) -> bool:
        """Whether the agent takes no new work."""
        return self._draining

    @property
    def idle(self) -> bool:
        """Whether nothing runs and nothing waits to be reported."""
        return not self._starts.running and not self._batches

    @property
    def arbitrating(self) -> int:
        """Submissions that run under this agent's tickets."""
        return self._arbiter.in_progress

    @property
    def config_version(self) -> int:
        """The newest version of the configuration heard of."""
        return self._config_version

    def hello(self) -> wire.Hello:
        """Return the greeting for a new stream."""
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
        """Take in one event.

        :param now: monotonic seconds
        :param event: what happened
        """
        match event:
            case _events.Received(peer, message):
                self._on_message(now, peer, message)
            case _events.TaskEnded():
                self._on_ended(now, event)
            case _events.PeerUp(hello):
                self._on_up(now, hello)
            case _events.PeerDown(name, incarnation):
                self._on_down(now, name, incarnation)
            case _events.DrainRequested():
                self._on_drain()
            case _:
                raise TypeError(f"not an event for an agent: {event!r}")

    def tick(self, now: float) -> list[_actions.Action]:
        """Return the actions that the events so far call for."""
        if now >= self._next_expiry:
            self._next_expiry = now + _EXPIRE_EVERY_S
            self._starts.expire(now)
            self._arbiter.expire(now)
            self._settle_lost_owners(now)
        self._send_keepalives(now)
        actions = self._actions
        self._actions = []
        return actions

    def wake_at(self) -> float:
        """Return when to tick at the latest, in monotonic seconds."""
        due = self._next_expiry
        for owner in self._owners.values():
            if owner.connected:
                due = min(due, owner.last_sent + self._interval(owner))
        return due

    # Streams.

    def _on_up(self, now: float, hello: wire.Hello) -> None:
        if hello.role is not wire.Role.ENTRY:
            return
        owner = self._owners.get(hello.incarnation)
        if owner is None:
            owner = _Owner(hello)
            self._owners[hello.incarnation] = owner
        owner.connected = True
        owner.last_sent = now
        self._names[hello.name] = hello.incarnation
        self._see_version(hello.config_version)

    def _on_down(self, now: float, name: str, incarnation: str) -> None:
        owner = self._owners.get(incarnation)
        if owner is None:
            return
        owner.connected = False
        owner.lost_at = now
        if self._names.get(name) == incarnation:
            del self._names[name]

    def _settle_lost_owners(self, now: float) -> None:
        grace = self._options.owner_grace_s
        for incarnation, owner in list(self._owners.items()):
            if owner.connected or now - owner.lost_at < grace:
                continue
            if owner.running:
                continue
            self._arbiter.settle_lost(incarnation)
            del self._owners[incarnation]

    def _interval(self, owner: _Owner) -> float:
        if owner.running:
            return self._options.busy_keepalive_s
        return self._options.keepalive_s

    def _send_keepalives(self, now: float) -> None:
        for owner in self._owners.values():
            if not owner.connected:
                continue
            if now >= owner.last_sent + self._interval(owner):
                alive = wire.KeepAlive(self._config_version)
                self._send(now, owner.hello.incarnation, alive)

    def _send(
        self, now: float, incarnation: str, message: wire.Message
    ) -> bool:
        owner = self._owners.get(incarnation)
        if owner is None or not owner.connected:
            return False
        owner.last_sent = now
        self._actions.append(_actions.Send(owner.hello.name, message))
        return True

    def _tell_version(self, now: float, incarnation: str) -> None:
        """Let an entry know at once which version has arrived here."""
        owner = self._owners.get(incarnation)
        if owner is None or owner.told_version >= self._config_version:
            return
        owner.told_version = self._config_version
        self._send(now, incarnation, wire.KeepAlive(self._config_version))

    def _see_version(self, version: int) -> None:
        self._config_version = max(self._config_version, version)

    # Messages.

    def _on_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        owner = self._names.get(peer)
        if owner is None:
            return
        match message:
            case wire.StartTasks():
                self._on_start(now, owner, message)
            case wire.KeepAlive(version):
                self._see_version(version)
                self._tell_version(now, owner)
            case wire.CancelTasks():
                self._on_cancel(now, owner, message)
            case wire.ReportNow():
                self._on_report_now(now, owner)
            case wire.Reconcile():
                self._on_reconcile(now, owner, message)
            case wire.FenceOwner():
                self._on_fence(now, owner, message)
            case _:
                self._arbiter.on_message(now, owner, message)

    def _on_start(
        self, now: float, owner: str, message: wire.StartTasks
    ) -> None:
        if message.ticket and not self._arbiter.may_use(now, owner, message):
            self._release_all(now, owner, message, wire.ReleaseReason.TICKET)
            return
        refusal = self._refusal(message)
        if refusal:
            if message.ticket:
                self._arbiter.revoke(message.ticket, message.submission)
            self._release_all(now, owner, message, refusal)
            return
        self._start(now, owner, message, self._room(message))

    def _refusal(self, message: wire.StartTasks) -> wire.ReleaseReason | None:
        count = len(message.indices)
        if message.incarnation != self._identity.incarnation:
            return wire.ReleaseReason.INCARNATION
        if self._draining:
            return wire.ReleaseReason.LEAVING
        if len(message.payloads) != count:
            return wire.ReleaseReason.MALFORMED
        room = self._room(message)
        if not room or (message.ticket and room < count):
            return wire.ReleaseReason.BUSY
        return None

    def _room(self, message: wire.StartTasks) -> int:
        """Return how many of the message's tasks can start now."""
        limit = min(self._options.slots, self._options.connections)
        room = limit - self._starts.running
        if self._options.memory_mb and message.memory_mb:
            memory = self._options.memory_mb - self._memory_used
            room = min(room, memory // message.memory_mb)
        return max(0, room)

    def _start(
        self, now: float, owner: str, message: wire.StartTasks, room: int
    ) -> None:
        """Start the tasks that there is room for, release the others."""
        batch = _batches.Batch(
            owner, message.submission, message.report_each, 0, message.ticket
        )
        refused = []
        excess = []
        for offset, index in enumerate(message.indices):
            key = ledger.TaskKey(owner, message.first_seq + offset)
            if batch.left >= room:
                if self._starts.find(key) is None:
                    excess.append(key)
                continue
            admission = self._starts.admit(key, message.submission, index)
            if admission is ledger.Admission.FRESH:
                self._run(key, index, offset, message, batch)
            elif admission is ledger.Admission.REFUSED:
                refused.append(key.seq)
        if refused:
            fenced = self._starts.is_fenced(owner, message.submission)
            reason = (
                wire.ReleaseReason.FENCED
                if fenced
                else wire.ReleaseReason.STALE
            )
            self._released(now, owner, message.submission, refused, reason)
        freed = [key.seq for key in excess if self._starts.release(key)]
        if freed:
            busy = wire.ReleaseReason.BUSY
            self._released(now, owner, message.submission, freed, busy)

    def _run(
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
            known = self._starts.find(key)
            if known is None and self._starts.release(key):
                seqs.append(key.seq)
        if seqs:
            self._released(now, owner, message.submission, seqs, reason)

    def _released(
        self,
        now: float,
        owner: str,
        submission: str,
        seqs: abc.Sequence[int],
        reason: wire.ReleaseReason,
    ) -> None:
        released = wire.TasksReleased(
            submission, tuple(seqs), reason, self._starts.running
        )
        self._send(now, owner, released)

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
            self._released(
                now,
                owner,
                message.submission,
                released,
                wire.ReleaseReason.CANCELLED,
            )

    # Results.

    def _on_ended(self, now: float, event: _events.TaskEnded) -> None:
        key = ledger.TaskKey(event.owner, event.seq)
        if not event.started:
            self._on_unstarted(now, key)
            return
        finish = ledger.Finish(event.ok, event.body, event.run_s, now)
        record = self._starts.finish(key, finish)
        if record is None:
            return
        batch = self._free(key)
        self._report(now, batch, _convert.finished_task(record))
        self._report_to_front(now, record)

    def _free(self, key: ledger.TaskKey) -> _batches.Batch:
        """Take a task out of the tables and return its batch."""
        self._memory_used -= self._memory.pop(key, 0)
        owner = self._owners.get(key.owner)
        if owner is not None:
            owner.running -= 1
        return self._batches.pop(key)

    def _on_unstarted(self, now: float, key: ledger.TaskKey) -> None:
        """Release a task that never reached the endpoint."""
        record = self._starts.undo_start(key)
        if record is None:
            return
        batch = self._free(key)
        batch.left -= 1
        batch.unstarted += 1
        if not batch.left:
            self._arbiter.settle_batch(batch)
            self._flush(now, batch)
        self._released(
            now,
            key.owner,
            record.submission,
            [key.seq],
            wire.ReleaseReason.UNREACHABLE,
        )
        front = self._fence_reports.pop(key, None)
        if front is not None:
            job = wire.FencedJob(record.submission, unstarted=(record.index,))
            report = wire.FenceReport(key.owner, (job,), first=False)
            self._send(now, front, report)

    def _report(
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
        done = wire.TasksFinished(
            batch.submission, tuple(batch.held), self._starts.running
        )
        batch.held = []
        self._send(now, batch.owner, done)

    def _on_report_now(self, now: float, owner: str) -> None:
        seen: set[int] = set()
        for batch in list(self._batches.values()):
            if batch.owner != owner or id(batch) in seen:
                continue
            seen.add(id(batch))
            batch.report_each = True
            self._flush(now, batch)

    def _on_reconcile(
        self, now: float, owner: str, message: wire.Reconcile
    ) -> None:
        """Report what became of tasks whose messages may be lost."""
        pairs = zip(message.seqs, message.submissions, strict=False)
        for seq, submission in pairs:
            key = ledger.TaskKey(owner, seq)
            record = self._starts.find(key)
            if record is None and self._starts.release(key):
                self._released(
                    now, owner, submission, [seq], wire.ReleaseReason.UNSEEN
                )
                continue
            if record is not None and record.finish is None:
                continue
            task = (
                _convert.finished_task(record)
                if record is not None
                else wire.FinishedTask(seq, -1, False, _FORGOTTEN, 0.0)
            )
            done = wire.TasksFinished(submission, (task,))
            self._send(now, owner, done)

    # A front takes back what a lost scheduler held.

    def _on_fence(
        self, now: float, front: str, message: wire.FenceOwner
    ) -> None:
        known: dict[str, list[ledger.TaskRecord]] = {}
        for record in self._starts.fence(
            message.owner, front, message.through
        ):
            known.setdefault(record.submission, []).append(record)
            if record.finish is None:
                self._fence_reports[record.key] = front
        wanted = set(message.submissions)
        jobs = tuple(
            _convert.fenced_job(submission, records)
            for submission, records in known.items()
            if submission in wanted
        )
        report = wire.FenceReport(message.owner, jobs, through=message.through)
        self._send(now, front, report)

    def _report_to_front(self, now: float, record: ledger.TaskRecord) -> None:
        front = self._fence_reports.pop(record.key, None)
        if front is None:
            return
        job = _convert.fenced_job(record.submission, [record])
        report = wire.FenceReport(record.key.owner, (job,), first=False)
        self._send(now, front, report)

    # Leaving.

    def _on_drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        for owner in self._owners.values():
            if owner.connected:
                self._actions.append(
                    _actions.Send(owner.hello.name, wire.Leaving())
                )
