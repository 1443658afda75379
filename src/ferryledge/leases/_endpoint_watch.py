"""Processes an endpoint's heartbeats and answers, and reports ended runs."""

from collections import abc

from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _answer_times
from ferryledge.leases import _endpoint
from ferryledge.leases import _endpoint_history
from ferryledge.leases import _owners
from ferryledge.leases import _reconciliation
from ferryledge.leases import _reports
from ferryledge.leases import _run_stopper
from ferryledge.leases import _runs
from ferryledge.leases import _speed
from ferryledge import wire

Act = abc.Callable[[_agent_events.AgentAction], None]
#: Reason that an entry gets for a run that the endpoint didn't start.
_RELEASE_REASONS = {
    _agent_events.StartResult.FENCED: wire.RunReleaseReason.REJECTED,
    _agent_events.StartResult.RUN_NUMBER: wire.RunReleaseReason.RUN_NUMBER,
    _agent_events.StartResult.LATE: wire.RunReleaseReason.NO_ANSWER,
    _agent_events.StartResult.FULL: wire.RunReleaseReason.FULL,
    _agent_events.StartResult.REJECTED: wire.RunReleaseReason.REJECTED,
    _agent_events.StartResult.UNHEALTHY: wire.RunReleaseReason.UNHEALTHY,
    _agent_events.StartResult.REPLACED: wire.RunReleaseReason.ENDPOINT,
    _agent_events.StartResult.DOWN: wire.RunReleaseReason.ENDPOINT,
}

#: Ends that count for an endpoint's failure rate.
_COUNTED_ENDS = (wire.RunOutcome.DONE, wire.RunOutcome.FAILED)


class EndpointWatch:
    """Keeps the agent's runs consistent with the endpoint.

    Runs that the endpoint has ended or lost are reported to their entries.

    :param runs: the runs at the endpoint
    :param link: what is known of the endpoint and its lease
    :param owners: the entries and their grants
    :param run_stopper: stops runs
    :param reports: sends reports to entries
    :param notes: records decisions for the log
    :param answer_times: latency of calls that start runs
    :param act: receives the actions
    :param now: monotonic seconds
    """

    def __init__(
        self,
        runs: _runs.RunTable,
        link: _endpoint.EndpointLink,
        owners: _owners.OwnerTable,
        run_stopper: _run_stopper.RunStopper,
        reports: _reports.Reports,
        notes: _agent_notes.AgentNotes,
        answer_times: _answer_times.AnswerTimes,
        act: Act,
        now: float,
    ) -> None:
        self._runs = runs
        self._link = link
        self._owners = owners
        self._run_stopper = run_stopper
        self._reports = reports
        self._notes = notes
        self._answer_times = answer_times
        self._act = act
        self._started_at = now
        #: Estimate of the endpoint's speed.
        self.speed = _speed.EndpointSpeed()
        #: The endpoint's failure rates by the callers' zones.
        self.failure_rates = _endpoint_history.ZoneFailureRates()
        #: The endpoint's recent outages.
        self.outages = _endpoint_history.Outages()
        #: Since when there are runs that no entry has claimed.
        self.unclaimed_since = now
        #: Whether the endpoint announced its shutdown.
        self._shutdown_announced = False
        #: The incarnation to which the call of the last list was addressed;
        #: empty is any.
        self._listed_as = ""
        #: The endpoint's clock in the latest list of runs.
        self._listed_clock_ms = 0
        #: The heartbeat that was last stored for this agent's next start, or
        #: a later one without changes.
        self._saved_heartbeat: _agent_events.EndpointHeartbeat | None = None

    def receive(self, now: float, event: _agent_events.AgentEvent) -> None:
        """Process a heartbeat, an answer or a failed call."""
        match event:
            case _agent_events.EndpointHeartbeat():
                self._on_heartbeat(now, event)
            case _agent_events.EndpointRestored(heartbeat):
                if self._link.restore(heartbeat):
                    self._saved_heartbeat = heartbeat
                    self._notes.heartbeat_restored(heartbeat)
            case _agent_events.EndpointLeft():
                self._shutdown_announced |= self._link.note_shutdown(
                    event.incarnation
                )
            case _agent_events.LeaseRenewed():
                self._on_renewed(now, event)
            case _agent_events.LeaseNotRenewed():
                self._on_not_renewed(now, event)
            case _agent_events.StartAnswered():
                self._on_start_answered(now, event)
            case _agent_events.StopAnswered(key, incarnation, confirmed):
                if confirmed and incarnation == self._link.incarnation:
                    self._run_stopper.confirmed(now, key)

    def note_recalled(self, entry: str, report: wire.RecalledReport) -> None:
        """Process what the agent's predecessor reported to an entry."""
        if self._link.note_recalled(entry, report):
            self._notes.record_corroborated(entry, report)

    def _on_heartbeat(
        self, now: float, heartbeat: _agent_events.EndpointHeartbeat
    ) -> None:
        known = self._link.heartbeat
        self._apply_change(now, self._link.receive_heartbeat(heartbeat, now))
        self._log_heartbeat(known)
        if self._link.heartbeat is not None:
            self._shutdown_announced = self._link.heartbeat.draining
        if self._link.heartbeat is not heartbeat:
            self._notes.heartbeat_ignored(self._link.heartbeat, heartbeat)
        if (
            self._saved_heartbeat
            and self._saved_heartbeat.incarnation == self._link.incarnation
        ):
            self._save_heartbeat()

    def _log_heartbeat(
        self, known: _agent_events.EndpointHeartbeat | None
    ) -> None:
        """Log the current heartbeat if it is another than before."""
        heartbeat = self._link.heartbeat
        if heartbeat is not None and heartbeat is not known:
            self._notes.endpoint_changed(known, heartbeat)

    def _save_heartbeat(self) -> None:
        """Store the current heartbeat if it differs from the stored one."""
        heartbeat = self._link.heartbeat
        if heartbeat is None or heartbeat is self._saved_heartbeat:
            return
        if self._saved_heartbeat is None or not heartbeat.has_same_description(
            self._saved_heartbeat
        ):
            self._act(_agent_events.SaveEndpoint(heartbeat))
        self._saved_heartbeat = heartbeat

    def _apply_change(
        self, now: float, change: _endpoint.IncarnationChange
    ) -> None:
        """Drop the runs and statistics of a replaced incarnation."""
        match change:
            case _endpoint.IncarnationChange.NONE:
                return
            case _endpoint.IncarnationChange.REPLACED:
                self._lose_all(now)
            case _endpoint.IncarnationChange.RESTARTED:
                self._lose_listed(now)
        self.speed = _speed.EndpointSpeed()
        self._listed_clock_ms = 0
        self.failure_rates.forget()
        if not self._shutdown_announced:
            self.outages.note_down(now, restarted=True)

    def _note_lost(self, rows: list[_runs.RunRow]) -> None:
        if rows:
            self._notes.runs_lost(
                [row.key for row in rows],
                self._listed_as,
                self._link.incarnation,
            )

    def _lose_listed(self, now: float) -> None:
        """End as lost the runs that the previous incarnation listed.

        The others may not have started yet, and the new incarnation may
        still execute their delayed start calls. They are stopped.
        """
        crashed_jobs = self._crashed_jobs()
        self._note_lost([row for row in self._runs if row.listed])
        for row in self._runs:
            if row.listed:
                self._end(now, row, wire.RunOutcome.LOST, crashed_jobs)
            else:
                self._run_stopper.stop_after_restart(now, row)

    def check(self, now: float) -> None:
        """Apply timeouts; to be called in each tick."""
        known = self._link.heartbeat
        change = self._link.replace_unresponsive(now)
        if change is not _endpoint.IncarnationChange.NONE:
            self._apply_change(now, change)
            self._log_heartbeat(known)
        if not self._link.all_leases_expired(now):
            return
        self._link.synced = self._link.synced or not len(self._runs)
        self._lose_all(now)

    def _lose_all(self, now: float) -> None:
        crashed_jobs = self._crashed_jobs()
        rows = self._runs.clear()
        self._note_lost(rows)
        for row in rows:
            how = wire.RunOutcome.LOST
            self._reports.report_end(now, row, how, crashed_jobs)

    def _crashed_jobs(self) -> int:
        """Return how many jobs have runs; 0 after an announced shutdown."""
        if self._shutdown_announced:
            return 0
        return len({row.key.job for row in self._runs})

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
                if row.progress is not None:
                    row.progress.start(now)
                if row.state is _runs.RunState.ORDERED:
                    row.state = _runs.RunState.RUNNING
            case _agent_events.StartResult.SILENT:
                self._notes.order_unanswered(row)
                self._run_stopper.stop(
                    now,
                    row.key,
                    release_reason=wire.RunReleaseReason.NO_ANSWER,
                )
            case _:
                if event.result is _agent_events.StartResult.FENCED:
                    self._link.raise_token(event.clock_ms, now)
                row.release_reason = _RELEASE_REASONS[event.result]
                if row.release_reason is wire.RunReleaseReason.UNHEALTHY:
                    self._note_end(now, row, False)
                self._end(now, row, wire.RunOutcome.STOPPED)

    def _on_renewed(
        self, now: float, event: _agent_events.LeaseRenewed
    ) -> None:
        if event.incarnation != self._link.incarnation:
            return
        known = self._link.heartbeat
        self._apply_change(now, self._link.note_start_time(event.born_ms, now))
        self._log_heartbeat(known)
        if self._link.confirm():
            self._listed_clock_ms = 0
        had_token = bool(self._link.token)
        self._link.note_clock(event.clock_ms, now)
        if not had_token:
            return
        self._link.renewed(event.sent_at, now, bool(event.ended))
        self._note_recovery(now)
        self._save_heartbeat()
        self._notes.renewed()
        self._listed_as = event.incarnation
        for end in event.ended:
            self._on_listed_end(now, end)
        listed = {run.key: run for run in event.running}
        for row in self._runs:
            run = listed.pop(row.key, None)
            if run is None:
                how = _reconciliation.end_of(row, event)
                if how is not None:
                    self._end(now, row, how)
                continue
            row.listed = True
            row.confirmed_at = row.confirmed_at or event.sent_at
            if row.progress is not None and run.done is not None:
                row.progress.sample(now, run.done)
        if event.clock_ms > self._listed_clock_ms:
            # An older list may come later on another connection, and have
            # runs whose end was processed since.
            self._listed_clock_ms = event.clock_ms
            self._adopt_all(now, listed)
        self.speed.update(now, self._run_progress())
        self._link.synced = True

    def _on_not_renewed(
        self, now: float, event: _agent_events.LeaseNotRenewed
    ) -> None:
        self._notes.renewed(event.fault)
        if event.incarnation != self._link.incarnation:
            return
        self._link.failed(event.fault)
        if self._link.is_down and not self._shutdown_announced:
            self.outages.note_down(now)
        match event.fault:
            case _agent_events.CallFault.FENCED:
                self._link.raise_token(event.clock_ms, now)
            case _agent_events.CallFault.REPLACED:
                self._apply_change(now, self._link.handle_replacement(now))
                self._log_heartbeat(None)
            case _:
                pass

    def _run_progress(self) -> list[_speed.RunProgress]:
        return [
            row.progress
            for row in self._runs
            if row.progress is not None and row.state is _runs.RunState.RUNNING
        ]

    def _on_listed_end(self, now: float, end: _agent_events.ListedEnd) -> None:
        if 0 < end.number <= self._link.acknowledged:
            return
        self._link.acknowledged = max(end.number, self._link.acknowledged)
        row = self._runs.find(end.key)
        if row is not None:
            row.confirmed_at = row.confirmed_at or row.ordered_at
            if end.how in _COUNTED_ENDS:
                self._note_end(now, row, end.how is wire.RunOutcome.DONE)
            self._end(now, row, end.how)

    def _note_end(self, now: float, row: _runs.RunRow, ok: bool) -> None:
        owner = self._owners.find(row.owner)
        if owner is not None:
            self.failure_rates.note_end(now, owner.zone, row.key.job, ok)

    def _note_recovery(self, now: float) -> None:
        """Record the end of an outage, if there was one."""
        away_s = self.outages.note_up(now)
        if away_s is not None:
            self._notes.outage_ended(away_s, self.outages.steady(now))

    def _adopt_all(
        self, now: float, keys: abc.Collection[_runs.RunKey]
    ) -> None:
        """Add the listed runs that the agent does not know."""
        for key in keys:
            self._adopt(now, key)
        if keys:
            self._notes.adopted(keys, now - self._started_at)

    def _adopt(self, now: float, key: _runs.RunKey) -> None:
        """Add a run that an earlier incarnation of the agent started."""
        row = _runs.RunRow(
            key, "", wire.Resources(), _runs.RunState.RUNNING, now
        )
        row.confirmed_at = now
        row.listed = True
        if not self._runs.has_owner(""):
            self.unclaimed_since = now
        self._runs.add(row)
        for owner in self._owners.connected:
            owner.needs_held_report = True

    def _end(
        self,
        now: float,
        row: _runs.RunRow,
        how: wire.RunOutcome,
        crashed_jobs: int = 0,
    ) -> None:
        self._runs.remove(row.key)
        self._reports.report_end(now, row, how, crashed_jobs)
