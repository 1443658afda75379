"""The notes that an agent writes to the log and counts in its metrics."""

from collections import abc

from ferryledge.leases import _agent_events
from ferryledge.leases import _entry_selection
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge import outcomes
from ferryledge import wire

#: Jobs that one note names at the most.
_MAX_JOBS = 5
_EXPECTED = (wire.RunOutcome.DONE, wire.RunOutcome.STOPPED)


class AgentNotes(_notes.Notes):
    """Records an agent's decisions about runs and changes of its endpoint.

    :param meter: counts what is recorded
    """

    def __init__(self, meter: _meters.AgentMeter) -> None:
        super().__init__()
        self._meter = meter

    def selection_changed(
        self, action: _entry_selection.Action, connected: int
    ) -> None:
        """Record that the agent changes the entries that it connects to.

        :param action: the change
        :param connected: how many entries are connected
        """
        match action:
            case _agent_events.DialEntries(entries):
                self._add_entries("entries chosen", "", connected, entries)
            case _agent_events.SendMessage(peer, _):
                self._add_entries(
                    "disconnect announced to entry", peer, connected
                )
            case _agent_events.DisconnectEntry(name):
                self._add_entries("disconnected from entry", name, connected)

    def _add_entries(
        self,
        message: str,
        peer: str,
        connected: int,
        entries: tuple[wire.EntryAddress, ...] = (),
    ) -> None:
        self.add(
            outcomes.Step.HEALTH,
            message,
            peer=peer,
            connected=connected,
            entries=[entry.name for entry in entries],
        )

    def cordons_changed(self, state: wire.CordonedZones, own: bool) -> None:
        """Record a change of the cordoned zones.

        :param state: the zones that are cordoned now
        :param own: whether this process is in one of them
        """
        self.add(
            outcomes.Step.HEALTH,
            "cordoned zones changed",
            zones=list(state.zones),
            own=own,
            log_end=state.version,
        )

    def order_refused(
        self,
        now: float,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        reason: wire.RunReleaseReason,
    ) -> None:
        """Record that all runs of an order were refused."""
        self._meter.order(str(reason), len(order.runs))
        self.add(
            outcomes.Step.START,
            "order refused",
            order.job,
            owner.name,
            reason=str(reason),
            grant_age_s=round(now - owner.granted_at, 3),
        )

    def order_accepted(
        self,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        refused_count: int,
        free: wire.Resources,
        run_count: int,
    ) -> None:
        """Record that an order was accepted, as far as capacity allowed.

        :param owner: the entry that sent it
        :param order: the order
        :param refused_count: how many of its runs were not started
        :param free: the endpoint's free capacity afterwards
        :param run_count: how many runs the agent has afterwards
        """
        self._meter.order("", len(order.runs) - refused_count)
        if refused_count:
            self._meter.order(str(wire.RunReleaseReason.FULL), refused_count)
        self.add(
            outcomes.Step.START,
            "order taken",
            order.job,
            owner.name,
            started=len(order.runs) - refused_count,
            without_room=refused_count,
            free_cpu_millis=free.cpu_millis,
            runs_here=run_count,
        )

    def stream_suspected(self, now: float, owner: _owners.Owner) -> None:
        """Record that a stream is replaced, since no answer came in time."""
        self._meter.stream_suspected()
        self.add(
            outcomes.Step.HEALTH,
            "no answer: opening a new stream",
            peer=owner.name,
            urgent=True,
            unanswered_s=round(now - owner.oldest_unanswered_at, 3),
            limit_s=round(owner.answer_times.limit_s, 3),
            unconfirmed_ends=len(owner.unconfirmed),
        )

    def grant_expired(
        self, now: float, owner: _owners.Owner, row: _runs.RunRow
    ) -> None:
        """Record that a run is stopped, since its entry's grant expired."""
        self._meter.grant_expired()
        self.add(
            outcomes.Step.LEASE,
            "run stopped: its entry's grant expired",
            row.key.job,
            owner.name,
            True,
            grant_age_s=round(now - owner.granted_at, 3),
        )

    def run_ended(
        self, now: float, row: _runs.RunRow, how: wire.RunOutcome
    ) -> None:
        """Record that a run ended.

        The note is urgent if the run failed, or if it may have gone on for
        longer than its entry assumed.
        """
        self._meter.run_ended(how, now - row.ordered_at)
        facts: dict[str, object] = {}
        if row.first_stop_sent_at is not None:
            facts["stops"] = row.stops_sent
            facts["stopping_s"] = round(now - row.first_stop_sent_at, 3)
        self.add(
            outcomes.Step.RUN,
            "run over",
            row.key.job,
            row.owner,
            how not in _EXPECTED or row.is_stop_overdue or not row.owner,
            task=row.key.index,
            run=row.key.run,
            how=str(how),
            held_s=round(now - row.ordered_at, 3),
            **facts,
        )

    def adopted(
        self, runs: abc.Collection[_runs.RunKey], started_s: float
    ) -> None:
        """Record that runs of an earlier incarnation were adopted.

        :param runs: the runs that one list of the endpoint brought
        :param started_s: seconds since the start of this incarnation
        """
        self._meter.adopted(len(runs))
        self.add(
            outcomes.Step.LEASE,
            "runs of an earlier incarnation adopted",
            urgent=True,
            runs=len(runs),
            jobs=_jobs_of(runs),
            started_s=round(started_s, 3),
        )

    def runs_lost(
        self,
        runs: abc.Collection[_runs.RunKey],
        listed_as: str,
        incarnation: str,
    ) -> None:
        """Record that runs are reported as lost with their endpoint.

        :param runs: the runs
        :param listed_as: the incarnation to which the call that listed them
            was addressed; empty is any
        :param incarnation: the current incarnation; empty if none is known
        """
        self.add(
            outcomes.Step.LEASE,
            "runs lost with their endpoint",
            peer=incarnation,
            urgent=True,
            runs=len(runs),
            jobs=_jobs_of(runs),
            listed_as=listed_as,
        )

    def unclaimed_stopped(
        self, runs: abc.Collection[_runs.RunKey], unclaimed_s: float
    ) -> None:
        """Record that adopted runs are stopped, since no entry claimed them.

        :param runs: the runs
        :param unclaimed_s: seconds since the first of them was adopted
        """
        self._meter.unclaimed_stopped(len(runs))
        self.add(
            outcomes.Step.LEASE,
            "runs stopped: no entry claimed them",
            urgent=True,
            runs=len(runs),
            jobs=_jobs_of(runs),
            unclaimed_s=round(unclaimed_s, 3),
        )

    def stop_overdue(
        self, row: _runs.RunRow, entry: str, waited_s: float, renewed: bool
    ) -> None:
        """Record that the endpoint did not confirm a run's stop in time.

        :param row: the run
        :param entry: the entry that ordered it; empty if unknown
        :param waited_s: seconds since the first stop was sent
        :param renewed: whether the endpoint's lease was renewed since
        """
        self._meter.stop_overdue()
        self.add(
            outcomes.Step.LEASE,
            "stop not confirmed in time",
            row.key.job,
            entry,
            True,
            task=row.key.index,
            run=row.key.run,
            waited_s=round(waited_s, 3),
            stops=row.stops_sent,
            renewed=renewed,
        )

    def order_unanswered(self, row: _runs.RunRow) -> None:
        """Record that the endpoint didn't answer a start; the run stops."""
        self._meter.order_unanswered()
        self.add(
            outcomes.Step.START,
            "start not answered: stopping the run",
            row.key.job,
            row.owner,
            True,
            task=row.key.index,
            run=row.key.run,
        )

    def renewed(self, fault: _agent_events.CallFault | None = None) -> None:
        """Count an ended renewal of the endpoint's lease.

        :param fault: why it failed; none if it succeeded
        """
        self._meter.renewed(str(fault.value) if fault else "")

    def outage_ended(self, away_s: float, steady: float) -> None:
        """Record that the endpoint returned from an unannounced outage.

        :param away_s: duration of the outage in seconds
        :param steady: share of its capacity that is used for now
        """
        self._meter.outage()
        self.add(
            outcomes.Step.HEALTH,
            "endpoint back after an outage",
            away_s=round(away_s, 3),
            steady=steady,
        )

    def heartbeat_restored(
        self, heartbeat: _agent_events.EndpointHeartbeat
    ) -> None:
        """Record that the stored heartbeat of the endpoint is used."""
        self.add(
            outcomes.Step.HEALTH,
            "endpoint restored from the store",
            peer=heartbeat.incarnation,
            capacity_cpu_millis=heartbeat.capacity.cpu_millis,
            draining=heartbeat.draining,
        )

    def record_corroborated(
        self, entry: str, report: wire.RecalledReport
    ) -> None:
        """Record that the stored heartbeat is used as an entry recalls it."""
        self.add(
            outcomes.Step.HEALTH,
            "stored endpoint corroborated by an entry",
            peer=entry,
            endpoint=report.incarnation,
            capacity_cpu_millis=report.capacity.cpu_millis,
            draining=report.draining,
        )

    def heartbeat_ignored(
        self,
        known: _agent_events.EndpointHeartbeat | None,
        event: _agent_events.EndpointHeartbeat,
    ) -> None:
        """Record that a heartbeat was ignored, at least for now.

        :param known: the current heartbeat, if there is one
        :param event: the ignored one
        """
        self._meter.heartbeat_ignored()
        self.add(
            outcomes.Step.HEALTH,
            "heartbeat ignored",
            peer=event.incarnation,
            urgent=event.draining,
            number=event.number,
            born_ms=event.born_ms,
            draining=event.draining,
            known=known.incarnation if known else "",
            known_number=known.number if known else 0,
            known_born_ms=known.born_ms if known else 0,
        )

    def endpoint_changed(
        self,
        known: _agent_events.EndpointHeartbeat | None,
        event: _agent_events.EndpointHeartbeat,
    ) -> None:
        """Record a new incarnation of the endpoint or a start of draining.

        :param known: the previous heartbeat, if there is one
        :param event: the current one
        """
        if known is not None and (known.incarnation, known.draining) == (
            event.incarnation,
            event.draining,
        ):
            return
        self.add(
            outcomes.Step.HEALTH,
            "endpoint draining" if event.draining else "endpoint detected",
            peer=event.incarnation,
            capacity_cpu_millis=event.capacity.cpu_millis,
            remaining_s=event.remaining_s,
        )


def _jobs_of(runs: abc.Iterable[_runs.RunKey]) -> list[str]:
    """Return the names of the first few jobs of runs."""
    return sorted({key.job for key in runs})[:_MAX_JOBS]
