"""The agent's core: which runs it starts, renews and stops at its endpoint.

An agent is the only process that starts runs at its endpoint. It accounts
for the endpoint's capacity, renews the endpoint's lease, and stops the runs
of an entry whose grant has expired.
"""

from ferryledge.leases import _acceptance
from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _answer_times
from ferryledge.leases import _cordons
from ferryledge.leases import _endpoint
from ferryledge.leases import _endpoint_watch
from ferryledge.leases import _entry_selection
from ferryledge.leases import _grant_requests
from ferryledge.leases import _lease_guard
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _owners
from ferryledge.leases import _reports
from ferryledge.leases import _run_stopper
from ferryledge.leases import _runs
from ferryledge.leases import _speed
from ferryledge.leases import _stream_watch
from ferryledge.leases import _timing
from ferryledge import wire

_NEVER = float("inf")


class LeaseAgent:
    """Manages the runs of one endpoint for several entries.

    :param name: name of this process
    :param incarnation: identifies this start of the process
    :param zone: availability zone of this process
    :param now: monotonic seconds
    :param timing: durations of leases and grants; defaults to the standard
        ones
    :param meter: counts the decisions; by default they aren't counted
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        zone: str,
        now: float,
        timing: _timing.LeaseTiming | None = None,
        meter: _meters.AgentMeter | None = None,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        self._timing = timing or _timing.LeaseTiming()
        self._runs = _runs.RunTable()
        self._notes = _agent_notes.AgentNotes(meter or _meters.AgentMeter())
        self._owners = _owners.OwnerTable(self._timing, name)
        guard = _lease_guard.LeaseGuard(self._runs, self._owners, self._timing)
        self._link = _endpoint.EndpointLink(
            self._timing, now, guard.may_extend
        )
        self._entry_selection = _entry_selection.EntrySelection(name)
        self._actions: list[_agent_events.AgentAction] = []
        self._cordons = _cordons.Cordons()
        self._acceptance = _acceptance.Acceptance(
            self._link, self._runs, self._owners, self._cordons, zone
        )
        self._answer_times = _answer_times.AnswerTimes(
            self._timing.order_timeout_s
        )
        self._run_stopper = _run_stopper.RunStopper(
            self._runs,
            self._link,
            self._owners,
            self._timing,
            self._notes,
            self._act,
            self._answer_times,
        )
        self._reports = _reports.Reports(
            name, self._owners, self._runs, self._notes, self._send
        )
        self._watch = _stream_watch.StreamWatch(
            self._owners, self._notes, self._act
        )
        self._grant_requests = _grant_requests.GrantRequests(
            self._owners, self._runs, self._watch, self._act
        )
        self._endpoint = _endpoint_watch.EndpointWatch(
            self._runs,
            self._link,
            self._owners,
            self._run_stopper,
            self._reports,
            self._notes,
            self._answer_times,
            self._act,
            now,
        )
        self._now = now
        #: When the events since the last tick require the next one.
        self._tick_by = _NEVER

    @property
    def link(self) -> _endpoint.EndpointLink:
        """What is known of the endpoint and its lease."""
        return self._link

    @property
    def runs(self) -> _runs.RunTable:
        """The runs that the endpoint executes or may execute."""
        return self._runs

    @property
    def slowness(self) -> float:
        """Factor by which runs take longer here than expected."""
        return self._endpoint.speed.slowness

    @property
    def idle(self) -> bool:
        """Whether the agent has no runs."""
        return not len(self._runs)

    def pop_notes(self) -> list[_notes.Note]:
        """Return and clear the notes since the last call, for the log."""
        return self._notes.pop()

    def hello(self) -> wire.Hello:
        """Return the first message of a new stream."""
        return wire.Hello(
            wire.Role.AGENT,
            self._name,
            self._incarnation,
            self._zone,
            leaving=self._acceptance.leaving,
            packed_texts=True,
            cordons=True,
            recalls_reports=True,
        )

    # Events and ticks.

    def receive(self, now: float, event: _agent_events.AgentEvent) -> None:
        """Handle one event; the resulting actions come with a tick."""
        self._now = now
        was_open = self._acceptance.is_open(now)
        speed = self._endpoint.speed.reported_slowness
        self._handle(now, event)
        changed = (
            was_open != self._acceptance.is_open(now)
            or speed != self._endpoint.speed.reported_slowness
        )
        if self._actions or changed or not self._needs_no_tick(event):
            self._tick_by = now

    def _needs_no_tick(self, event: _agent_events.AgentEvent) -> bool:
        """Return whether an event needs no tick unless it changed something.

        Frequent events are exempted, which saves most of the ticks.
        """
        match event:
            case wire.Received(_, wire.LeaseGrant()):
                return True
            case _agent_events.StartAnswered():
                return event.result is _agent_events.StartResult.STARTED
            case _agent_events.LeaseRenewed(ended=()):
                return (
                    self._endpoint.speed.reported_slowness
                    < _speed.SLOW_THRESHOLD
                )
            case _:
                return False

    def _handle(self, now: float, event: _agent_events.AgentEvent) -> None:
        match event:
            case wire.PeerUp(hello):
                if hello.role is wire.Role.ENTRY:
                    self._owners.join(
                        now,
                        hello.name,
                        hello.incarnation,
                        hello.zone,
                        hello.detects_duplicates,
                    )
                    self._entry_selection.join(now, hello.name)
            case wire.PeerDown(name, incarnation):
                self._owners.leave(name, incarnation)
                self._entry_selection.leave(now, name)
            case _agent_events.EntriesFound(entries):
                self._entry_selection.add_addresses(now, entries)
            case wire.Received(peer, message):
                self._on_message(now, peer, message)
            case _agent_events.AgentDrain(until):
                self._acceptance.drain(until)
            case _:
                self._endpoint.receive(now, event)

    def tick(self, now: float) -> list[_agent_events.AgentAction]:
        """Return the actions that are due."""
        self._now = now
        self._tick_by = _NEVER
        self._endpoint.check(now)
        self._run_stopper.tick(now, self._endpoint.unclaimed_since)
        if self._link.synced:
            self._reports.report_held()
        for action in self._entry_selection.plan(now, self._is_busy):
            self._notes.selection_changed(action, len(self._owners.connected))
            self._act(action)
        self._grant_requests.tick(now)
        self._reports.report_late(now, self._endpoint.speed)
        self._reports.report_state(now, self._state())
        actions = self._actions
        self._actions = []
        return actions

    def wake_at(self) -> float:
        """Return when to tick at the latest."""
        due = min(
            self._owners.ask_due_at,
            self._run_stopper.due_at(self._endpoint.unclaimed_since),
            self._reports.due_at,
            self._watch.due_at(),
            self._entry_selection.due_at,
            self._endpoint.outages.due_at(self._now),
            self._tick_by,
        )
        self._watch.note_next_tick(due)
        return due

    def tick_by(self) -> float:
        """Return when to tick for the events since the last tick."""
        return self._tick_by

    def renewal(self, now: float) -> _agent_events.Renewal:
        """Return the arguments of the next renewal call."""
        return self._link.renewal(now)

    def _is_busy(self, entry: str) -> bool:
        """Return whether an entry has runs here or unconfirmed ends."""
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
                    self._run_stopper.stop(
                        now, _runs.RunKey.of(job, run), owner
                    )
            case wire.ClaimRuns(runs):
                self._on_claim(now, owner, runs)
            case wire.UrgencyReport(start_by_s):
                owner.latest_start = now + (
                    _NEVER if start_by_s is None else start_by_s
                )
            case wire.LeaseGrant(number, shorten_by_ms):
                self._watch.note_answer(now, owner, number)
                self._owners.note_grant(owner, number, shorten_by_ms)
            case _:
                self._on_notice(now, owner, message)

    def _on_notice(
        self, now: float, owner: _owners.Owner, message: wire.Message
    ) -> None:
        """Process a message that concerns no run."""
        match message:
            case wire.CordonedZones():
                self._on_cordons(owner, message)
            case wire.RecalledReport():
                self._endpoint.note_recalled(owner.name, message)
            case wire.EntryList() | wire.Invite():
                self._entry_selection.handle_message(now, message)
            case _:
                return

    def _on_cordons(
        self, owner: _owners.Owner, state: wire.CordonedZones
    ) -> None:
        """Update the cordoned zones, or send the entry a newer state."""
        if self._cordons.is_behind(state):
            self._send(owner, self._cordons.state)
        if self._cordons.learn(state):
            self._notes.cordons_changed(
                state, self._cordons.covers(self._zone)
            )

    def _on_order(
        self, now: float, owner: _owners.Owner, order: wire.OrderRuns
    ) -> None:
        self._watch.note_answer(now, owner, order.ask_seen)
        self._owners.note_order(owner, order)
        self._entry_selection.note_order(now, owner.name)
        refusal = self._acceptance.refusal(now, owner, order)
        if refusal is not None:
            self._refuse(now, owner, order, refusal)
            return
        spec = _spec_of(order)
        if spec is None:
            self._refuse(now, owner, order, wire.RunReleaseReason.REJECTED)
            return
        refused = []
        started = 0
        for run in order.runs:
            key = _runs.RunKey.of(order.job, run)
            if self._runs.find(key) is not None:
                continue
            fits = order.need.fits_in(self._acceptance.free)
            if not fits or self._runs.has_task(key):
                refused.append(run)
                continue
            started += 1
            self._start(now, owner, key, order, spec)
        all_started = started == len(order.runs)
        self._owners.note_started(now, owner, order, all_started)
        free = self._acceptance.free
        self._notes.order_accepted(
            owner, order, len(refused), free, len(self._runs)
        )
        if refused:
            self._reports.report_released(
                owner, order.job, refused, wire.RunReleaseReason.FULL
            )

    def _refuse(
        self,
        now: float,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        reason: wire.RunReleaseReason,
    ) -> None:
        """Refuse all runs of an order."""
        self._notes.order_refused(now, owner, order, reason)
        self._reports.report_released(owner, order.job, order.runs, reason)

    def _start(
        self,
        now: float,
        owner: _owners.Owner,
        key: _runs.RunKey,
        order: wire.OrderRuns,
        spec: str,
    ) -> None:
        lease_until_ms = self._link.extend_lease(now)
        row = _runs.RunRow(
            key,
            owner.incarnation,
            order.need,
            _runs.RunState.ORDERED,
            now,
            lease_until_ms,
        )
        if order.expected_s > 0.0:
            row.progress = _speed.RunProgress(order.job, order.expected_s, now)
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
        self,
        now: float,
        owner: _owners.Owner,
        runs: tuple[wire.HeldRun, ...],
    ) -> None:
        for held in runs:
            row = self._runs.find(_runs.RunKey.of(held.job, held.run))
            if row is None or row.owner:
                continue
            owner.claimed_at = now
            self._runs.remove(row.key)
            row.owner = owner.incarnation
            row.need = held.need
            self._runs.add(row)

    # Reports to entries.

    def _state(self) -> wire.EndpointState:
        """Return the part of the endpoint's state that all entries share."""
        heartbeat = self._link.heartbeat
        if heartbeat is None:
            return wire.EndpointState(is_primary=False)
        return wire.EndpointState(
            heartbeat.incarnation,
            heartbeat.service,
            heartbeat.labels,
            heartbeat.capacity,
            self._acceptance.free,
            self._acceptance.is_open(self._now),
            remaining_s=self._acceptance.remaining_s(self._now),
            slowness=self._endpoint.speed.reported_slowness,
            is_primary=False,
            entries=max(1, len(self._owners.connected)),
            cold=self._link.is_cold(self._now),
            failing=self._endpoint.failure_rates.zone_failures(self._now),
            steady=self._endpoint.outages.steady(self._now),
            draining=heartbeat.draining,
            is_room_known=self._link.is_room_known,
        )


def _spec_of(order: wire.OrderRuns) -> str | None:
    """Return the specification of an order; none if it can't be unpacked."""
    if not order.packed_spec:
        return order.spec
    try:
        return wire.unpack_text(order.packed_spec)
    except wire.PackingError:
        return None
