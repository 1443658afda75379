"""The decision core of an entry: admits jobs, orders their runs, answers.

The entry that admitted a job orders all runs of its tasks from the agents and
answers the client once. A task is ordered again only after its previous run
is known to be over: its agent reported so, or the lease of the run has
expired.
"""

import math
import random

from ferryledge import health
from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_search
from ferryledge.leases import _cancel_outcomes
from ferryledge.leases import _cancellations
from ferryledge.leases import _config_readers
from ferryledge.leases import _cordons
from ferryledge.leases import _duplicates
from ferryledge.leases import _endpoint_history
from ferryledge.leases import _entry_events
from ferryledge.leases import _entry_notes
from ferryledge.leases import _handover
from ferryledge.leases import _job_queries
from ferryledge.leases import _job_ranking
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _peers
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _presumed_ends
from ferryledge.leases import _registration
from ferryledge.leases import _rules
from ferryledge.leases import _run_tracker
from ferryledge.leases import _scheduler
from ferryledge.leases import _spare_capacity
from ferryledge.leases import _timing
from ferryledge.leases import _uplink
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between sweeps while there are jobs that no run was ordered for.
_BUSY_SWEEP_S = 0.02
#: Seconds between checks for silent peers and passed deadlines.
_SWEEP_S = 0.1
#: Delay of a sweep in seconds beyond which the process counts as paused.
_PAUSE_S = 0.3
#: Seconds without any message after which this entry counts as cut off. Other
#: entries send a message each second, and clients wait for 1.3 s before they
#: submit a job again.
_ISOLATION_S = 1.2
#: Seconds after a pause of this process, or after it was cut off, in which it
#: reads its backlog and orders or offers nothing. A request is read before the
#: end of its connection, and its client may have submitted the job elsewhere
#: since.
_BACKLOG_S = 0.1
#: Seconds before the client's deadline at which an unfinished job is answered.
_DEADLINE_MARGIN_S = 0.05
#: Seconds within which a grant request is answered. The delay lets answers to
#: several agents, and orders that carry a grant, share a tick. It is far
#: shorter than the time after which an agent opens a new stream.
_ANSWER_WITHIN_S = 0.002
_NEVER = float("inf")


class LeaseEntry:
    """Admits jobs, orders their runs and answers their clients.

    Performs no I/O: :meth:`receive` takes events, :meth:`tick` returns the
    actions that are due.

    :param name: name of this entry
    :param incarnation: identifies this start of the process
    :param zone: availability zone of this entry
    :param rng: source of all randomness
    :param timing: timing of leases; defaults to the standard timing
    :param remote_factor: run time of a task away from its data, as a multiple
        of its run time near the data
    :param meter: counts decisions; defaults to one that counts nothing
    :param link_bytes_per_s: bandwidth of the machine's network link;
        infinite if unknown
    :param rules: the rules in force; defaults to all
    :param accepts_config: returns whether a peer's configuration is valid;
        defaults to all
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        zone: str,
        rng: random.Random,
        timing: _timing.LeaseTiming | None = None,
        remote_factor: float = 1.0,
        meter: _meters.EntryMeter | None = None,
        link_bytes_per_s: float = math.inf,
        rules: _rules.EntryRules | None = None,
        accepts_config: _peers.AcceptsConfig | None = None,
    ) -> None:
        self._name = name
        self._rules = rules or _rules.EntryRules()
        ranking = _job_ranking.JobRanking(self._rules)
        self._incarnation = incarnation
        self._zone = zone
        self._timing = timing or _timing.LeaseTiming()
        self._link = _uplink.Uplink(link_bytes_per_s)
        self._cordons = _cordons.Cordons()
        self._pool = _pool.Pool(self._timing, self._cordons)
        self._run_times = placement.RunTimes()
        self._health_tracker = health.HealthTracker()
        self._notes = _entry_notes.EntryNotes(meter or _meters.EntryMeter())
        self._peers = _peers.EntryPeers(
            name,
            self._cordons,
            _config_readers.is_narrow_link(link_bytes_per_s),
            accepts_config,
        )
        self._agent_search = _agent_search.AgentSearch(
            name, self._pool, self._peers, self._notes
        )
        self._jobs = _job_table.JobTable()
        self._duplicates = _duplicates.Duplicates(
            name,
            self._timing,
            self._rules,
            self._jobs,
            self._pool,
            self._peers,
            self._notes,
            self._send,
            self._finish,
        )
        self._runs = _run_tracker.RunTracker(
            self._jobs,
            self._pool,
            self._run_times,
            self._health_tracker,
            self._notes,
            self._link,
            self._send,
        )
        self._scheduler = _scheduler.Scheduler(
            name,
            self._jobs,
            self._pool,
            self._runs,
            _placement.Placer(
                name,
                self._pool,
                self._run_times,
                remote_factor,
                ranking,
                self._runs.retry_budget,
            ),
            self._link,
            rng,
            ranking,
            self._notes,
        )
        self._handover = _handover.Handover(
            incarnation,
            zone,
            self._timing,
            self._rules.hands_on,
            self._cordons,
            self._jobs,
            _spare_capacity.SpareCapacity(
                self._jobs, self._pool, self._link, ranking
            ),
            self._run_times,
            rng,
            self._notes,
            self._send,
            self._finish,
            self._add_job,
            self._client_left,
            self._duplicates.runs_elsewhere,
        )
        self._cancellations = _cancellations.Cancellations(
            name,
            self._jobs,
            self._pool,
            self._peers,
            self._duplicates,
            self._handover.delegator_of,
            self._notes,
            self._send,
            self._finish,
            self._answer_query,
        )
        self._actions: list[_entry_events.EntryAction] = []
        #: Agents whose latest grant request is still to be answered.
        self._awaiting_grant: dict[str, _pool.AgentRow] = {}
        self._draining = False
        self._next_sweep = 0.0
        #: When jobs may be ordered or offered again after a pause.
        self._placement_resumes_at = 0.0
        #: When a message last came, or a stream was opened.
        self._heard_at = _NEVER
        self._placement_due = False
        #: When to tick for the events received since the last tick.
        self._tick_by = _NEVER
        self._now = 0.0

    @property
    def open_jobs(self) -> int:
        """Number of jobs without an answer, also those of other entries."""
        return len(self._jobs.open)

    @property
    def pool(self) -> _pool.Pool:
        """The known agents and their endpoints."""
        return self._pool

    @property
    def peers(self) -> _peers.EntryPeers:
        """Other entries, and the configuration shared with them."""
        return self._peers

    @property
    def link(self) -> _uplink.Uplink:
        """The network link of this entry's machine."""
        return self._link

    def pop_notes(self) -> list[_notes.Note]:
        """Return the notes on decisions since the last call, for the log."""
        return self._notes.pop()

    def holds(self, name: str) -> bool:
        """Return whether this entry has an open job of that name."""
        job = self._jobs.find(name)
        return job is not None and not job.closed

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks of open jobs that are ready and not ordered."""
        return sum(len(job.startable()) for job in self._jobs.waiting)

    def usable_agents(self, now: float) -> int:
        """Return the number of agents that take work from this entry."""
        return sum(row.usable(now) for row in self._pool)

    def pending(self, job_class: str) -> int:
        """Return the number of open jobs of a class without any order."""
        return sum(
            job.request.job_class.name == job_class
            for job in self._jobs.undispatched
        )

    def is_usable(self, now: float) -> bool:
        """Return whether any endpoint takes work from this entry."""
        return self._pool.is_usable(now)

    def hello(self) -> wire.Hello:
        """Return the first message for a new stream."""
        return wire.Hello(
            wire.Role.ENTRY,
            self._name,
            self._incarnation,
            self._zone,
            leaving=self._draining,
            config_version=self._peers.version,
            cordons=True,
            config_deltas=True,
            takes_jobs=self._handover.takes_jobs,
            detects_duplicates=self._rules.detects_duplicates,
            registers_jobs=self._rules.registers_jobs,
            relays_registrations=self._rules.registers_jobs,
            learns_completions=self._rules.registers_jobs,
            finds_jobs=True,
        )

    # Events and ticks.

    def receive(self, now: float, event: _entry_events.EntryEvent) -> None:
        """Process an event."""
        self._now = now
        self._duplicates.note_started(now)
        match event:
            case wire.Received(peer, message):
                self._note_heard(now)
                self._on_message(now, peer, message)
                return
            case wire.PeerUp() | wire.PeerDown():
                self._on_stream(now, event)
            case _entry_events.JobSubmitted(token, request):
                self._submit(now, token, request)
            case _entry_events.ClientLeft(token, name):
                self._client_left(now, token, name)
            case _entry_events.JobCancelled(name, token):
                self._cancellations.cancel(now, token, name)
            case _entry_events.JobLookedUp(name, token):
                self._cancellations.look_up(now, token, name)
            case _entry_events.EntryDrain(until):
                self._draining = True
                self._scheduler.admission.drain(until)
                self._handover.drain()
            case _entry_events.EntryStop():
                self._answer_all(now)
                self._duplicates.send_all_completions()
                self._cancellations.stop()
            case _:
                self._on_store_event(event)
        self._tick_by = now

    def _note_heard(self, now: float) -> None:
        """Record that a message came or a stream was opened."""
        silent_s = now - self._heard_at
        self._heard_at = now
        if silent_s > _ISOLATION_S:
            self._notes.isolated(silent_s)
            self._placement_resumes_at = now + _BACKLOG_S

    def _on_store_event(self, event: _entry_events.EntryEvent) -> None:
        """Process an event that was read from the store."""
        match event:
            case _agent_events.EntriesFound(entries):
                self._learn_entries(entries)
            case _entry_events.ConfigRead(version, data, log_end):
                self._peers.learn_config(version, data, log_end)
            case _entry_events.ConfigFetchFailed():
                self._peers.replace_config_reader()
            case _entry_events.CordonsRead(state):
                self._apply_cordons(self._peers.learn_cordons(state))

    def tick(self, now: float) -> list[_entry_events.EntryAction]:
        """Return the actions that are due."""
        self._now = now
        self._tick_by = _NEVER
        self._handover.check(now)
        if self._duplicates.check(now):
            self._placement_due = True
        if now >= self._next_sweep:
            self._sweep(now)
        if now >= self._placement_resumes_at:
            self._place(now)
        for row, message in self._scheduler.due_urgency_reports(now):
            self._send(row.name, message)
        self._grant(now)
        self._duplicates.send_due(now)
        self._cancellations.check(now)
        for action in self._peers.pop_actions():
            if isinstance(action, _entry_events.SendMessage):
                self._send(action.peer, action.message)
            else:
                self._actions.append(action)
        actions = self._actions
        self._actions = []
        return actions

    def _place(self, now: float) -> None:
        """Order runs of waiting jobs, or offer the jobs to other entries."""
        if self._placement_due or self._scheduler.is_link_free(now):
            self._placement_due = False
            self._scheduler.place(now)
        for job in self._handover.offer_and_reclaim(now):
            self._jobs.drop_if_over(job)
            self._next_sweep = now

    def wake_at(self) -> float:
        """Return when to tick at the latest for any cause, in monotonic s."""
        return min(
            self._tick_by,
            self._next_sweep,
            max(self._scheduler.due_at, self._placement_resumes_at),
            self._handover.due_at,
            self._duplicates.due_at,
            self._cancellations.due_at,
        )

    def tick_by(self) -> float:
        """Return when to tick at the latest for received events alone."""
        return self._tick_by

    def _sweep_interval_s(self) -> float:
        return _BUSY_SWEEP_S if self._jobs.undispatched else _SWEEP_S

    def _send(self, peer: str, message: wire.Message) -> None:
        self._link.note_sent(self._now, _uplink.size_of(message))
        self._actions.append(_entry_events.SendMessage(peer, message))

    def _send_all(self, messages: list[_entry_events.SendMessage]) -> None:
        for action in messages:
            self._send(action.peer, action.message)

    # Clients.

    def _submit(
        self, now: float, token: int, request: _jobs.LeasedJob
    ) -> None:
        known = self._jobs.find(request.job)
        is_open = known is not None and not known.closed
        if request.job in self._jobs.cancelled:
            self._notes.already_cancelled(request.job)
            outcome = _cancel_outcomes.make_outcome(self._name)
            self._reply([token], outcome)
            return
        if not is_open and request.job in self._jobs.complete:
            self._notes.already_complete(request.job)
            self._reply([token], outcomes.Complete(()))
            return
        if known is not None:
            self._attach(now, known, token, request)
            return
        self._duplicates.announce_if_resubmitted(now, request)
        holder = self._duplicates.find_holder(request)
        if holder:
            # Either the network delayed the request and its client has
            # submitted the job elsewhere since, or the other entry does not
            # know yet that the client has left it.
            outcome = _duplicates.outcome(holder)
            self._notes.duplicate(request.job, outcome)
            self._reply([token], outcome)
            return
        estimate_s = max(step.estimate_s for step in request.steps)
        expected_s = self._run_times.predict(
            request.job_class.name, estimate_s
        )
        job = _jobs.Job(
            request,
            [token],
            now,
            expected_s,
            _jobs.make_tasks(request),
            self._run_times.spread(request.job_class.name),
        )
        may_find_agents, messages = self._agent_search.search_for_job(now, job)
        self._send_all(messages)
        refusal = self._scheduler.admission.admit(now, job, may_find_agents)
        if refusal is not None and not self._handover.defer_refusal(
            job, refusal
        ):
            self._finish(now, job, refusal)
            return
        self._notes.admitted(job, len(self._jobs), self._peers.version)
        self._add_job(now, job)
        self._duplicates.register(now, job)

    def _add_job(self, now: float, job: _jobs.Job) -> None:
        """Store a job until it is answered and its runs are over."""
        self._jobs.add(job)
        self._scheduler.note_arrival(now, job)
        self._next_sweep = min(self._next_sweep, now + _BUSY_SWEEP_S)
        self._placement_due = True

    def _attach(
        self,
        now: float,
        job: _jobs.Job,
        token: int,
        request: _jobs.LeasedJob,
    ) -> None:
        """Attach a repeated submission to the runs of the first one."""
        job.tokens.append(token)
        if job.closed or _registration.is_newer(
            request.deadline_s, job.newest_deadline_s
        ):
            job.newest_deadline_s = request.deadline_s
        if job.is_incoming and not job.closed:
            # The delegator registered it, and may leave it.
            self._duplicates.announce(now, job)
        if job.closed:
            job.closed = False
            job.request = request
            job.arrived_at = now
            for task in job.all_tasks:
                task.failures = 0
            self._duplicates.register(now, job)
        self._placement_due = True

    def _client_left(self, now: float, token: int, name: str) -> None:
        job = self._jobs.find(name)
        if job is None or token not in job.tokens:
            return
        job.tokens.remove(token)
        if not job.tokens:
            if token > 0:
                self._notes.client_left(now, job)
            self._close(job)

    def _answer_all(self, now: float) -> None:
        """Answer all open jobs before the process ends."""
        for job in self._jobs.open:
            self._finish(
                now, job, self._scheduler.admission.unfinished_outcome(job)
            )

    def _reply(self, tokens: list[int], outcome: outcomes.JobOutcome) -> None:
        for token in tokens:
            # Negative tokens stand for requests of other entries.
            if token < 0:
                self._handover.answer(token, outcome)
                continue
            self._link.note_sent(self._now, _uplink.ANSWER_BYTES)
            self._actions.append(_entry_events.AnswerJob(token, outcome))

    def _answer_query(
        self, token: int, result: _job_queries.QueryResult
    ) -> None:
        """Answer a client that cancelled or looked up a job."""
        if token:
            self._link.note_sent(self._now, _uplink.ANSWER_BYTES)
            self._actions.append(_entry_events.AnswerQuery(token, result))

    def _finish(
        self, now: float, job: _jobs.Job, outcome: outcomes.JobOutcome
    ) -> None:
        """Answer a job's clients and close it."""
        if isinstance(outcome, outcomes.Complete):
            self._duplicates.note_complete(now, job)
        elif _cancel_outcomes.is_cancelled(outcome):
            self._jobs.note_cancelled(now, job.name)
        if job.may_have_run_elsewhere and isinstance(
            outcome, outcomes.Refused
        ):
            outcome = outcomes.FailedMayHaveRun(outcome.reason, outcome.origin)
        if any(token > 0 for token in job.tokens):
            self._notes.answered(now, job, outcome)
        self._reply(job.tokens, outcome)
        job.tokens = []
        self._close(job)

    def _close(self, job: _jobs.Job) -> None:
        """Stop a job's runs; the job is dropped once they are over."""
        job.closed = True
        self._handover.withdraw(job)
        self._runs.stop(job, job.bound())
        self._jobs.drop_if_over(job)

    # Messages.

    def _on_stream(
        self, now: float, event: wire.PeerUp | wire.PeerDown
    ) -> None:
        match event:
            case wire.PeerUp(hello):
                self._note_heard(now)
                self._peers.join(now, hello)
                self._notes.connected(hello)
                if hello.role is wire.Role.AGENT:
                    report = self._pool.recall_report(now, hello)
                    self._pool.join(now, hello)
                    if report is not None and hello.recalls_reports:
                        self._send(hello.name, report)
                else:
                    self._handover.join(now, hello)
                    self._duplicates.join(now, hello)
                    self._cancellations.join(now, hello)
            case wire.PeerDown(name, incarnation):
                self._notes.disconnected(name, incarnation)
                # A silent stream was closed by this side, which left it then.
                by_peer = self._peers.is_connected(name)
                self._peers.leave(name)
                self._handover.leave(name)
                self._duplicates.leave(now, name, by_peer)
                self._cancellations.leave(name)
                self._pool.leave(now, name, incarnation)

    def _learn_entries(self, entries: tuple[wire.EntryAddress, ...]) -> None:
        """Learn the addresses of entries."""
        self._peers.learn_entries(entries)
        self._duplicates.learn_entries(
            self._now, [address.name for address in entries]
        )

    def _apply_cordons(self, has_changed: bool) -> None:
        """Apply the cordoned zones to the pool if they have changed."""
        if not has_changed:
            return
        self._pool.apply_cordons()
        self._notes.cordoned(self._cordons.state)
        self._placement_due = True

    def _on_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        self._peers.note_received(now, peer)
        if isinstance(message, wire.CordonedZones):
            self._apply_cordons(self._peers.reconcile_cordons(peer, message))
            self._tick_by = now
        elif isinstance(message, wire.ConfigDelta):
            self._peers.apply_config_delta(peer, message)
            self._tick_by = now
        row = self._pool.find(peer)
        if row is not None:
            row.heard_at = now
            self._on_agent_message(now, row, message)
            return
        self._tick_by = now
        self._on_entry_message(now, peer, message)

    def _on_entry_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        match message:
            case wire.KeepAlive(version):
                self._peers.note_version(peer, version)
            case wire.ConfigRequest():
                self._peers.send_config(peer, message)
            case wire.ConfigReply(version, data):
                self._peers.receive_config(version, data)
            case wire.EntryList(entries):
                self._learn_entries(entries)
            case (
                wire.FindJobs()
                | wire.JobsFound()
                | wire.JobsCancelled()
                | wire.Relay(message=wire.FindJobs() | wire.JobsFound())
            ):
                self._cancellations.receive(now, peer, message)
            case (
                wire.JobsResubmitted()
                | wire.RegisterJobs()
                | wire.JobsCompleted()
                | wire.JobsRegistered()
                | wire.Relay()
                | wire.RelayFailed()
            ):
                self._duplicates.receive(now, peer, message)
            case wire.InviteAgents():
                self._send_all(self._agent_search.invite(now, message))
            case _:
                if isinstance(message, wire.OfferJob):
                    self._cancellations.tell_delegator(peer, message.job)
                if self._handover.receive(now, peer, message):
                    self._placement_due = True

    def _on_agent_message(
        self, now: float, row: _pool.AgentRow, message: wire.Message
    ) -> None:
        match message:
            case wire.GrantRequest():
                self._on_ask(now, row, message)
            case wire.EndpointState():
                self._on_state(now, row, message)
            case wire.LateRuns(runs):
                if self._rules.moves:
                    self._runs.move_late(now, runs)
                self._tick_by = now
            case wire.Leaving():
                row.leaving = True
            case _:
                self._on_runs_message(now, row, message)
                self._placement_due = True
                self._tick_by = now

    def _on_ask(
        self, now: float, row: _pool.AgentRow, ask: wire.GrantRequest
    ) -> None:
        row.ask_seen = ask.number
        if ask.needs_answer or self._pool.must_answer(row, now):
            self._awaiting_grant[row.name] = row
            self._tick_by = min(self._tick_by, now + _ANSWER_WITHIN_S)

    def _grant(self, now: float) -> None:
        """Answer grant requests that no order of this tick has answered."""
        for row in self._awaiting_grant.values():
            row.answered_at = now
            if row.ask_answered != row.ask_seen:
                row.ask_answered = row.ask_seen
                row.granted_at = now
                shorten_by_ms = self._runs.shorten_by_ms(now, row)
                self._send(
                    row.name, wire.LeaseGrant(row.ask_seen, shorten_by_ms)
                )
        self._awaiting_grant.clear()

    def _on_runs_message(
        self, now: float, row: _pool.AgentRow, message: wire.Message
    ) -> None:
        match message:
            case wire.RunsReleased(name, runs, reason):
                for run in runs:
                    self._runs.released(row, name, run, reason)
                if reason is wire.RunReleaseReason.DUPLICATE:
                    self._duplicates.give_up(now, name, row.name)
            case wire.RunsEnded(name, ends, ask):
                for end in ends:
                    self._finish_decided(
                        now, self._runs.ended(now, row, name, end)
                    )
                if ask:
                    self._on_ask(
                        now, row, wire.GrantRequest(ask, needs_answer=True)
                    )
            case wire.RunsHeld(runs) if row.reconciled:
                self._runs.claim_or_stop(now, row, runs)
            case wire.RunsHeld(runs):
                listed = _presumed_ends.EndSource.LIST
                for decided in self._runs.reconcile(now, row, runs, listed):
                    self._finish_decided(now, decided)
                row.reconciled = True

    def _finish_decided(
        self, now: float, decided: _run_tracker.DecidedJob | None
    ) -> None:
        """Answer a job whose outcome was decided by the end of a run."""
        if decided is None:
            return
        self._finish(now, decided.job, decided.outcome)

    def _on_state(
        self, now: float, row: _pool.AgentRow, state: wire.EndpointState
    ) -> None:
        if state.incarnation and state.incarnation != row.state.incarnation:
            self._health_tracker.join(row.name)
            row.healthy = True
            row.awaits_probe = False
            self._run_times.forget_endpoint(row.name)
        self._notes.state_changed(row, state)
        self._pool.set_state(row, state)
        self._duplicates.note_other_jobs(now, state)
        if self._rules.shared_evidence:
            zone_failures = _endpoint_history.failures_for_zone(
                state.failing, self._zone
            )
            self._runs.update_zone_failures(now, row, zone_failures)
        if self._jobs.has_waiting_tasks:
            self._placement_due = True
            self._tick_by = now

    # Periodic checks.

    def _sweep(self, now: float) -> None:
        if self._next_sweep and now - self._next_sweep > _PAUSE_S:
            self._pool.reset_silence_timers(now)
            self._peers.reset_silence_timers(now)
            self._placement_resumes_at = now + _BACKLOG_S
        self._peers.send_keep_alives(now)
        self._peers.request_newer_config(now)
        self._send_all(self._agent_search.search_if_few(now))
        self._next_sweep = now + self._sweep_interval_s()
        self._pool.note_usable(now)
        for row in self._pool.silent(now):
            row.connected = False
            row.reconciled = False
            self._notes.stream_closed(now, row)
            self._actions.append(_entry_events.CloseStream(row.name))
        for row in self._pool.expired(now):
            self._notes.expired(now, row)
            presumed = _presumed_ends.EndSource.PRESUMED
            for decided in self._runs.reconcile(now, row, (), presumed):
                self._finish_decided(now, decided)
        self._runs.start_due_probes(now)
        self._sweep_jobs(now)
        self._handover.schedule_offers()
        self._placement_due = self._placement_due or len(self._jobs) > 0

    def _sweep_jobs(self, now: float) -> None:
        self._jobs.expire(now)
        self._duplicates.expire(now)
        for job in self._jobs.open:
            if now >= job.deadline_at - _DEADLINE_MARGIN_S:
                self._finish(
                    now, job, self._scheduler.admission.unfinished_outcome(job)
                )
        for job, refusal in self._scheduler.review(now):
            self._finish(now, job, refusal)
