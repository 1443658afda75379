"""Follows an endpoint: which start it is, what it runs, how runs end."""

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

#: Ends that say whether an endpoint does what it is asked.
_SPEAKS = (wire.HowEnded.DONE, wire.HowEnded.FAILED)


class EndpointWatch:
    """Takes in what the endpoint says and tells entries what ended.

    :param runs: what the endpoint holds
    :param link: the link to the endpoint
    :param owners: the entries
    :param stopping: stops runs
    :param reports: tells entries of ends
    :param notes: what is decided
    :param answer_times: how long answers to orders take
    :param act: takes what is to be done
    :param now: monotonic seconds
    """

    def __init__(
        self,
        runs: _runs.RunTable,
        link: _endpoint.EndpointLink,
        owners: _owners.OwnerTable,
        stopping: _run_stopper.RunStopper,
        reports: _reports.Reports,
        notes: _agent_notes.AgentNotes,
        answer_times: _answer_times.AnswerTimes,
        act: Act,
        now: float,
    ) -> None:
        self._runs = runs
        self._link = link
        self._owners = owners
        self._run_stopper = stopping
        self._reports = reports
        self._notes = notes
        self._answer_times = answer_times
        self._act = act
        #: How fast the endpoint works.
        self.speed = _speed.EndpointSpeed()
        #: What ends say of it, by the callers' zones.
        self.failure_rates = _endpoint_history.ZoneFailureRates()
        #: How often it went down.
        self.outages = _endpoint_history.Outages()
        #: Since when runs wait to be claimed.
        self.unclaimed_since = now
        #: Whether the endpoint announced its end.
        self._announced = False
        #: The endpoint's clock as of the newest list of runs.
        self._listed_clock_ms = 0
        #: What was kept of the endpoint last, for this agent's next start.
        self._kept: _agent_events.EndpointHeartbeat | None = None

    def receive(self, now: float, event: _agent_events.AgentEvent) -> None:
        """Take in what the endpoint said, or did not say."""
        match event:
            case _agent_events.EndpointHeartbeat():
                self._on_seen(now, event)
            case _agent_events.EndpointRestored(seen):
                if self._link.recall(seen, now):
                    self._kept = seen
                    self._notes.recalled(seen)
            case _agent_events.EndpointLeft():
                self._announced |= self._link.leave(event.incarnation)
            case _agent_events.LeaseRenewed():
                self._on_renewed(now, event)
            case _agent_events.LeaseNotRenewed():
                self._on_not_renewed(now, event)
            case _agent_events.StartAnswered():
                self._on_start_answered(now, event)
            case _agent_events.StopAnswered(key, incarnation, confirmed):
                if confirmed and incarnation == self._link.incarnation:
                    self._run_stopper.confirmed(now, key)

    def _on_seen(
        self, now: float, seen: _agent_events.EndpointHeartbeat
    ) -> None:
        known = self._link.seen
        self._follow(now, self._link.see(seen, now))
        self._note_endpoint(known)
        if self._link.seen is not None:
            self._announced = self._link.seen.draining
        if self._link.seen is not seen:
            self._notes.heartbeat_ignored(self._link.seen, seen)
        if self._kept and self._kept.incarnation == self._link.incarnation:
            self._keep_endpoint()

    def _note_endpoint(
        self, known: _agent_events.EndpointHeartbeat | None
    ) -> None:
        """Log what the endpoint is now, if that changed."""
        seen = self._link.seen
        if seen is not None and seen is not known:
            self._notes.seen(known, seen)

    def _keep_endpoint(self) -> None:
        """Keep what the endpoint is, now that it answered as that."""
        seen = self._link.seen
        if seen is None or seen is self._kept:
            return
        if self._kept is None or not seen.has_same_description(self._kept):
            self._act(_agent_events.SaveEndpoint(seen))
        self._kept = seen

    def _follow(self, now: float, change: _endpoint.Change) -> None:
        """Start anew if the endpoint is another, which runs nothing yet."""
        match change:
            case _endpoint.Change.NONE:
                return
            case _endpoint.Change.REPLACED:
                self._lose_all(now)
            case _endpoint.Change.RESTARTED:
                self._lose_listed(now)
        self.speed = _speed.EndpointSpeed()
        self._listed_clock_ms = 0
        self.failure_rates.forget()
        if not self._announced:
            self.outages.note_down(now, started_anew=True)

    def _lose_listed(self, now: float) -> None:
        """Take for lost what the start before is known to have had.

        An order that it may not have had may still be carried out now.
        """
        crashed_jobs = self._crashed_jobs()
        for row in self._runs:
            if row.listed:
                self._end(now, row, wire.HowEnded.LOST, crashed_jobs)
            else:
                self._run_stopper.stop_after_restart(now, row)

    def check(self, now: float) -> None:
        """Take for over what must be, by time; to be called in each tick."""
        known = self._link.seen
        change = self._link.give_way(now)
        if change is not _endpoint.Change.NONE:
            self._follow(now, change)
            self._note_endpoint(known)
        if not self._link.is_over(now):
            return
        self._link.synced = self._link.synced or not len(self._runs)
        self._lose_all(now)

    def _lose_all(self, now: float) -> None:
        crashed_jobs = self._crashed_jobs()
        for row in self._runs.clear():
            how = wire.HowEnded.LOST
            self._reports.tell_end(now, row, how, crashed_jobs)

    def _crashed_jobs(self) -> int:
        """Return how many jobs lose runs; none if that was announced."""
        if self._announced:
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
                    now, row.key, release_reason=wire.NotStarted.NO_ANSWER
                )
            case _:
                if event.result is _agent_events.StartResult.FENCED:
                    self._link.raise_token(event.clock_ms, now)
                row.release_reason = _RELEASES[event.result]
                if row.release_reason is wire.NotStarted.UNHEALTHY:
                    self._note_end(now, row, False)
                self._end(now, row, wire.HowEnded.STOPPED)

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
        self._note_back(now)
        self._keep_endpoint()
        self._notes.renewed()
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
            if row.progress is not None:
                row.progress.sample(now, run.done)
        if event.clock_ms > self._listed_clock_ms:
            # An older list may come later, on another connection, and name
            # runs whose end was taken in since.
            self._listed_clock_ms = event.clock_ms
            for key in listed:
                self._adopt(now, key)
        self.speed.update(now, self._paces())
        self._link.synced = True

    def _on_not_renewed(
        self, now: float, event: _agent_events.LeaseNotRenewed
    ) -> None:
        self._notes.renewed(event.fault)
        if event.incarnation != self._link.incarnation:
            return
        self._link.failed(event.fault)
        if self._link.is_down and not self._announced:
            self.outages.note_down(now)
        match event.fault:
            case _agent_events.CallFault.FENCED:
                self._link.raise_token(event.clock_ms, now)
            case _agent_events.CallFault.REPLACED:
                self._follow(now, self._link.refute(now))
                self._note_endpoint(None)
            case _:
                pass

    def _paces(self) -> list[_speed.RunProgress]:
        return [
            row.progress
            for row in self._runs
            if row.progress is not None and row.state is _runs.RunState.RUNNING
        ]

    def _on_listed_end(self, now: float, end: _agent_events.ListedEnd) -> None:
        if end.number <= self._link.acknowledged:
            return
        self._link.acknowledged = end.number
        row = self._runs.find(end.key)
        if row is not None:
            row.confirmed_at = row.confirmed_at or row.ordered_at
            if end.how in _SPEAKS:
                self._note_end(now, row, end.how is wire.HowEnded.DONE)
            self._end(now, row, end.how)

    def _note_end(self, now: float, row: _runs.RunRow, ok: bool) -> None:
        owner = self._owners.find(row.owner)
        if owner is not None:
            self.failure_rates.note_end(now, owner.zone, row.key.job, ok)

    def _note_back(self, now: float) -> None:
        """Count an outage that is over."""
        away_s = self.outages.note_up(now)
        if away_s is not None:
            self._notes.back(away_s, self.outages.steady(now))

    def _adopt(self, now: float, key: _runs.RunKey) -> None:
        """Keep a run that this incarnation of the agent did not order."""
        row = _runs.RunRow(
            key, "", wire.Resources(), _runs.RunState.RUNNING, now
        )
        row.confirmed_at = now
        row.listed = True
        if not self._runs.has_owner(""):
            self.unclaimed_since = now
        self._runs.add(row)
        for owner in self._owners.connected:
            owner.wants_held = True

    def _end(
        self,
        now: float,
        row: _runs.RunRow,
        how: wire.HowEnded,
        crashed_jobs: int = 0,
    ) -> None:
        self._runs.remove(row.key)
        self._reports.tell_end(now, row, how, crashed_jobs)
