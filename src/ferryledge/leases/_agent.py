"""The agent's decisions on leased tasks.

The agent is the only process that orders runs at its endpoint. It keeps the
endpoint's room, renews the endpoint's lease, and stops the runs of an entry
whose grant has run out.
"""

from ferryledge.leases import _acceptance
from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _answer_times
from ferryledge.leases import _asking
from ferryledge.leases import _dealing
from ferryledge.leases import _endpoint
from ferryledge.leases import _listing
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _owners
from ferryledge.leases import _reports
from ferryledge.leases import _runs
from ferryledge.leases import _speed
from ferryledge.leases import _stopping
from ferryledge.leases import _stream_watch
from ferryledge.leases import _timing
from ferryledge import wire

_NEVER = float("inf")
_RELEASES = {
    _agent_events.StartResult.FENCED: wire.NotStarted.REJECTED,
    _agent_events.StartResult.RUN_NUMBER: wire.NotStarted.RUN_NUMBER,
    _agent_events.StartResult.LATE: wire.NotStarted.NO_ANSWER,
    _agent_events.StartResult.FULL: wire.NotStarted.FULL,
    _agent_events.StartResult.REJECTED: wire.NotStarted.REJECTED,
    _agent_events.StartResult.UNHEALTHY: wire.NotStarted.UNHEALTHY,
    _agent_events.StartResult.REPLACED: wire.NotStarted.ENDPOINT,
    _agent_events.StartResult.DOWN: wire.NotStarted.ENDPOINT,
}


class LeaseAgent:
    """Owns one endpoint.

    :param name: this process
    :param incarnation: this start of the process
    :param hall: its availability zone
    :param now: monotonic seconds
    :param timing: the lease rule
    :param meter: counts its decisions; none is nowhere
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        hall: str,
        now: float,
        timing: _timing.LeaseTiming | None = None,
        meter: _meters.AgentMeter | None = None,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._hall = hall
        self._timing = timing or _timing.LeaseTiming()
        self._link = _endpoint.EndpointLink(self._timing, now)
        self._runs = _runs.RunTable()
        self._notes = _agent_notes.AgentNotes(meter or _meters.AgentMeter())
        self._owners = _owners.OwnerTable(self._timing, name)
        self._dealing = _dealing.Dealing(name)
        self._actions: list[_agent_events.AgentAction] = []
        self._acceptance = _acceptance.Acceptance(
            self._link, self._runs, self._owners
        )
        self._speed = _speed.EndpointSpeed()
        self._answer_times = _answer_times.AnswerTimes(self._timing.order_s)
        self._stopping = _stopping.Stopping(
            self._runs,
            self._link,
            self._owners,
            self._timing,
            self._notes,
            self._act,
        )
        self._reports = _reports.Reports(
            name, self._owners, self._runs, self._notes, self._send
        )
        self._watch = _stream_watch.StreamWatch(
            self._owners, self._notes, self._act
        )
        self._asking = _asking.Asking(
            self._owners, self._runs, self._watch, self._act
        )
        self._unclaimed_since = now
        #: The endpoint's clock as of the newest list of runs.
        self._listed_clock_ms = 0
        #: What was kept of the endpoint last, for this agent's next start.
        self._kept: _agent_events.EndpointSeen | None = None
        self._now = now
        #: When to tick for what came since the last tick.
        self._tick_by = _NEVER

    @property
    def link(self) -> _endpoint.EndpointLink:
        """The link to the endpoint."""
        return self._link

    @property
    def runs(self) -> _runs.RunTable:
        """The runs that the endpoint holds, or may hold."""
        return self._runs

    @property
    def slowness(self) -> float:
        """How many times as long runs take at the endpoint."""
        return self._speed.slowness

    @property
    def idle(self) -> bool:
        """Whether nothing runs here."""
        return not len(self._runs)

    def take_notes(self) -> list[_notes.Note]:
        """Return what was decided since the last call, for the log."""
        return self._notes.take()

    def hello(self) -> wire.Hello:
        """Return the greeting for a new stream."""
        return wire.Hello(
            wire.Role.AGENT,
            self._name,
            self._incarnation,
            self._hall,
            leaving=self._acceptance.leaving,
            packed_texts=True,
        )

    # Driving.

    def receive(self, now: float, event: _agent_events.AgentEvent) -> None:
        """Take in one event."""
        self._now = now
        was_open = self._acceptance.is_open(now)
        speed = self._speed.reported
        self._take_in(now, event)
        changed = (
            was_open != self._acceptance.is_open(now)
            or speed != self._speed.reported
        )
        if self._actions or changed or not self._is_quiet(event):
            self._tick_by = now

    def _is_quiet(self, event: _agent_events.AgentEvent) -> bool:
        """Return whether an event needs no tick unless it changed something.

        An agent ticked 11.7 times a run, and does 3.7 times (simulation of a
        pool at 0.9).
        """
        match event:
            case wire.Received(_, wire.GrantLease()):
                return True
            case _agent_events.StartAnswered():
                return event.result is _agent_events.StartResult.STARTED
            case _agent_events.LeaseRenewed(ended=()):
                return self._speed.reported < _speed.SLOW_FROM
            case _:
                return False

    def _take_in(self, now: float, event: _agent_events.AgentEvent) -> None:
        match event:
            case wire.PeerUp(hello):
                if hello.role is wire.Role.ENTRY:
                    self._owners.join(now, hello.name, hello.incarnation)
                    self._dealing.join(now, hello.name)
            case wire.PeerDown(name, incarnation):
                self._owners.leave(name, incarnation)
                self._dealing.leave(now, name)
            case _agent_events.EntriesFound(entries):
                self._dealing.learn(now, entries)
            case wire.Received(peer, message):
                self._on_message(now, peer, message)
            case _agent_events.AgentDrain(until):
                self._acceptance.drain(until)
            case _:
                self._on_endpoint_event(now, event)

    def _on_endpoint_event(
        self, now: float, event: _agent_events.AgentEvent
    ) -> None:
        match event:
            case _agent_events.EndpointSeen():
                self._on_seen(now, event)
            case _agent_events.EndpointRecalled(seen):
                if self._link.recall(seen, now):
                    self._kept = seen
                    self._notes.recalled(seen)
            case _agent_events.EndpointLeft():
                self._link.leave(event.incarnation)
            case _agent_events.LeaseRenewed():
                self._on_renewed(now, event)
            case _agent_events.LeaseNotRenewed():
                self._on_not_renewed(now, event)
            case _agent_events.StartAnswered():
                self._on_start_answered(now, event)
            case _agent_events.StopAnswered(key, incarnation, confirmed):
                if confirmed and incarnation == self._link.incarnation:
                    self._stopping.confirmed(now, key)

    def _on_seen(self, now: float, seen: _agent_events.EndpointSeen) -> None:
        known = self._link.seen
        self._follow(now, self._link.see(seen, now))
        self._note_endpoint(known)
        if self._link.seen is not seen:
            self._notes.passed_over(self._link.seen, seen)
        if self._kept and self._kept.incarnation == self._link.incarnation:
            self._keep_endpoint()

    def _note_endpoint(self, known: _agent_events.EndpointSeen | None) -> None:
        """Log what the endpoint is now, if that changed."""
        seen = self._link.seen
        if seen is not None and seen is not known:
            self._notes.seen(known, seen)

    def _keep_endpoint(self) -> None:
        """Keep what the endpoint is, now that it answered as that."""
        seen = self._link.seen
        if seen is None or seen is self._kept:
            return
        if self._kept is None or not seen.describes_as(self._kept):
            self._act(_agent_events.RememberEndpoint(seen))
        self._kept = seen

    def _follow(self, now: float, change: _endpoint.Change) -> None:
        """Start anew if the endpoint is another, which runs nothing yet."""
        match change:
            case _endpoint.Change.NONE:
                return
            case _endpoint.Change.REPLACED:
                self._lose_all()
            case _endpoint.Change.RESTARTED:
                self._lose_listed(now)
        self._speed = _speed.EndpointSpeed()
        self._listed_clock_ms = 0

    def _lose_listed(self, now: float) -> None:
        """Take for lost what the start before is known to have had.

        An order that it may not have had may still be carried out now.
        """
        for row in self._runs:
            if row.listed:
                self._end(row, wire.HowEnded.LOST)
            else:
                self._stopping.stop_anew(now, row)

    def tick(self, now: float) -> list[_agent_events.AgentAction]:
        """Return the actions that are due."""
        self._now = now
        self._tick_by = _NEVER
        self._check_endpoint(now)
        self._stopping.tick(now, self._unclaimed_since)
        if self._link.synced:
            self._reports.tell_held()
        for action in self._dealing.plan(now, self._is_busy):
            self._notes.dealt(action, len(self._owners.connected))
            self._act(action)
        self._asking.tick(now)
        self._reports.tell_late(now, self._speed)
        self._reports.tell_state(now, self._state())
        actions = self._actions
        self._actions = []
        return actions

    def wake_at(self) -> float:
        """Return when to tick at the latest."""
        due = min(
            self._owners.ask_due_at,
            self._stopping.due_at(),
            self._reports.due_at,
            self._watch.due_at(),
            self._dealing.due_at,
            self._tick_by,
        )
        self._watch.plan_look(due)
        return due

    def tick_by(self) -> float:
        """Return when to tick for the events since the last tick."""
        return self._tick_by

    def renewal(self, now: float) -> _agent_events.Renewal:
        """Return what the next call for a renewal is to say."""
        return self._link.renewal(now)

    def _is_busy(self, entry: str) -> bool:
        """Return whether an entry has runs here, or ends to hear of."""
        owner = self._owners.current(entry)
        if owner is None:
            return False
        return self._runs.has_owner(owner.incarnation) or bool(
            owner.unconfirmed
        )

    def _act(self, action: _agent_events.AgentAction) -> None:
        self._actions.append(action)

    def _send(self, owner: _owners.Owner, message: wire.Message) -> None:
        self._act(_agent_events.SendMessage(owner.name, message))

    # Messages.

    def _on_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        owner = self._owners.current(peer)
        if owner is None:
            return
        owner.heard_at = now
        match message:
            case wire.OrderRuns():
                self._on_order(now, owner, message)
            case wire.StopRuns(job, runs):
                for run in runs:
                    self._stopping.stop(now, _runs.RunKey.of(job, run), owner)
            case wire.ClaimRuns(runs):
                self._on_claim(owner, runs)
            case wire.RoomWanted(start_by_s):
                owner.wanted_by = float("inf")
                if start_by_s is not None:
                    owner.wanted_by = now + start_by_s
            case wire.GrantLease(number):
                self._watch.answered(now, owner, number)
                self._owners.granted(owner, number)
            case wire.EntryList() | wire.Invite():
                self._dealing.hear(now, message)
            case _:
                return

    def _on_order(
        self, now: float, owner: _owners.Owner, order: wire.OrderRuns
    ) -> None:
        self._watch.answered(now, owner, order.ask_seen)
        self._owners.note_order(owner, order)
        self._dealing.note_order(now, owner.name)
        refusal = self._acceptance.refusal(now, owner, order)
        if refusal is not None:
            self._refuse(now, owner, order, refusal)
            return
        spec = _spec_of(order)
        if spec is None:
            self._refuse(now, owner, order, wire.NotStarted.REJECTED)
            return
        full = []
        started = 0
        for run in order.runs:
            key = _runs.RunKey.of(order.job, run)
            if self._runs.find(key) is not None:
                continue
            room = order.need.fits_in(self._acceptance.free)
            if not room or self._runs.has_task(key):
                full.append(run)
                continue
            started += 1
            self._start(now, owner, key, order, spec)
        whole = started == len(order.runs)
        self._owners.note_taken(now, owner, order, whole)
        free = self._acceptance.free
        self._notes.taken(owner, order, len(full), free, len(self._runs))
        if full:
            self._reports.tell_released(
                owner, order.job, full, wire.NotStarted.FULL
            )

    def _refuse(
        self,
        now: float,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        reason: wire.NotStarted,
    ) -> None:
        """Turn an order down as a whole."""
        self._notes.released(now, owner, order, reason)
        self._reports.tell_released(owner, order.job, order.runs, reason)

    def _start(
        self,
        now: float,
        owner: _owners.Owner,
        key: _runs.RunKey,
        order: wire.OrderRuns,
        spec: str,
    ) -> None:
        lease_until_ms = self._link.lease_until_ms(now)
        row = _runs.RunRow(
            key,
            owner.incarnation,
            order.need,
            _runs.RunState.ORDERED,
            now,
            lease_until_ms,
        )
        if order.expected_s > 0.0:
            row.pace = _speed.RunPace(order.job, order.expected_s, now)
        self._runs.add(row)
        self._act(
            _agent_events.StartRun(
                key,
                spec,
                self._link.incarnation,
                lease_until_ms,
                self._link.token,
                self._answer_times.limit_s,
            )
        )

    def _on_claim(
        self, owner: _owners.Owner, runs: tuple[wire.HeldRun, ...]
    ) -> None:
        for held in runs:
            row = self._runs.find(_runs.RunKey.of(held.job, held.run))
            if row is None or row.owner:
                continue
            self._runs.remove(row.key)
            row.owner = owner.incarnation
            row.need = held.need
            self._runs.add(row)

    def _check_endpoint(self, now: float) -> None:
        known = self._link.seen
        change = self._link.give_way(now)
        if change is not _endpoint.Change.NONE:
            self._follow(now, change)
            self._note_endpoint(known)
        if not self._link.is_over(now):
            return
        self._link.synced = self._link.synced or not len(self._runs)
        self._lose_all()

    def _lose_all(self) -> None:
        for row in self._runs.clear():
            self._reports.tell_end(self._now, row, wire.HowEnded.LOST)

    # What the endpoint says.

    def _on_start_answered(
        self, now: float, event: _agent_events.StartAnswered
    ) -> None:
        if event.incarnation != self._link.incarnation:
            return
        self._link.note_clock(event.clock_ms, now)
        row = self._runs.find(event.key)
        if row is None:
            return
        match event.result:
            case _agent_events.StartResult.STARTED:
                self._answer_times.note(now - row.ordered_at)
                row.confirmed_at = now
                if row.pace is not None:
                    row.pace.start(now)
                if row.state is _runs.RunState.ORDERED:
                    row.state = _runs.RunState.RUNNING
            case _agent_events.StartResult.SILENT:
                self._notes.unanswered(row)
                self._stopping.stop(
                    now, row.key, release=wire.NotStarted.NO_ANSWER
                )
            case _:
                if event.result is _agent_events.StartResult.FENCED:
                    self._link.raise_token(event.clock_ms, now)
                row.release = _RELEASES[event.result]
                self._end(row, wire.HowEnded.STOPPED)

    def _on_renewed(
        self, now: float, event: _agent_events.LeaseRenewed
    ) -> None:
        if event.incarnation != self._link.incarnation:
            return
        known = self._link.seen
        self._follow(now, self._link.answered(event.born_ms, now))
        self._note_endpoint(known)
        had_token = bool(self._link.token)
        self._link.note_clock(event.clock_ms, now)
        if not had_token:
            return
        self._link.renewed(event.sent_at, now)
        self._keep_endpoint()
        self._notes.renewed()
        for end in event.ended:
            self._on_listed_end(end)
        listed = {run.key: run for run in event.running}
        for row in self._runs:
            run = listed.pop(row.key, None)
            if run is None:
                how = _listing.end_of(row, event, self._timing)
                if how is not None:
                    self._end(row, how)
                continue
            row.listed = True
            row.confirmed_at = row.confirmed_at or event.sent_at
            if row.pace is not None:
                row.pace.sample(now, run.done)
        if event.clock_ms > self._listed_clock_ms:
            # An older list may come later, on another connection, and name
            # runs whose end was taken in since.
            self._listed_clock_ms = event.clock_ms
            for key in listed:
                self._adopt(now, key)
        self._speed.update(now, self._paces())
        self._link.synced = True

    def _on_not_renewed(
        self, now: float, event: _agent_events.LeaseNotRenewed
    ) -> None:
        self._notes.renewed(event.fault)
        if event.incarnation != self._link.incarnation:
            return
        self._link.failed(event.fault)
        match event.fault:
            case _agent_events.CallFault.FENCED:
                self._link.raise_token(event.clock_ms, now)
            case _agent_events.CallFault.REPLACED:
                self._follow(now, self._link.refute(now))
                self._note_endpoint(None)
            case _:
                pass

    def _paces(self) -> list[_speed.RunPace]:
        return [
            row.pace
            for row in self._runs
            if row.pace is not None and row.state is _runs.RunState.RUNNING
        ]

    def _on_listed_end(self, end: _agent_events.ListedEnd) -> None:
        if end.number <= self._link.acknowledged:
            return
        self._link.acknowledged = end.number
        row = self._runs.find(end.key)
        if row is not None:
            row.confirmed_at = row.confirmed_at or row.ordered_at
            self._end(row, end.how)

    def _adopt(self, now: float, key: _runs.RunKey) -> None:
        """Keep a run that this incarnation of the agent did not order."""
        row = _runs.RunRow(
            key, "", wire.Resources(), _runs.RunState.RUNNING, now
        )
        row.confirmed_at = now
        row.listed = True
        if not self._runs.has_owner(""):
            self._unclaimed_since = now
        self._runs.add(row)
        for owner in self._owners.connected:
            owner.wants_held = True

    # Telling entries.

    def _end(self, row: _runs.RunRow, how: wire.HowEnded) -> None:
        self._runs.remove(row.key)
        self._reports.tell_end(self._now, row, how)

    def _state(self) -> wire.EndpointState:
        """Return the endpoint's state, but for what is an entry's own."""
        seen = self._link.seen
        if seen is None:
            return wire.EndpointState(home=False)
        return wire.EndpointState(
            seen.incarnation,
            seen.service,
            seen.labels,
            seen.capacity,
            self._acceptance.free,
            self._acceptance.is_open(self._now),
            remaining_s=self._acceptance.remaining_s(self._now),
            slowness=self._speed.reported,
            home=False,
            entries=max(1, len(self._owners.connected)),
        )


def _spec_of(order: wire.OrderRuns) -> str | None:
    """Return what the endpoint is to run; none if it can't be unpacked."""
    if not order.packed_spec:
        return order.spec
    try:
        return wire.unpack_text(order.packed_spec)
    except wire.PackingError:
        return None
