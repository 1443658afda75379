"""An agent's notes: what each says and which inputs it carries."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _entry_selection
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge import outcomes
from ferryledge import wire

_EXPECTED = (wire.HowEnded.DONE, wire.HowEnded.STOPPED)


class AgentNotes(_notes.Notes):
    """What an agent decides about runs, and believes of its endpoint.

    :param meter: counts along
    """

    def __init__(self, meter: _meters.AgentMeter) -> None:
        super().__init__()
        self._meter = meter

    def dealt(self, action: _entry_selection.Action, connected: int) -> None:
        """The entries that are served change.

        :param action: what is done
        :param connected: entries with a stream
        """
        match action:
            case _agent_events.DialEntries(entries):
                self._served("entries chosen", "", connected, entries)
            case _agent_events.SendMessage(peer, _):
                self._served("entry told that it is left", peer, connected)
            case _agent_events.DisconnectEntry(name):
                self._served("entry left", name, connected)

    def _served(
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
            entries=[one.name for one in entries],
        )

    def cordoned(self, state: wire.CordonedZones, own: bool) -> None:
        """Other zones take no new work than before.

        :param state: which
        :param own: whether this process is in one of them
        """
        self.add(
            outcomes.Step.HEALTH,
            "cordoned zones changed",
            zones=list(state.zones),
            own=own,
            log_end=state.version,
        )

    def released(
        self,
        now: float,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        reason: wire.NotStarted,
    ) -> None:
        """An order was turned down as a whole."""
        self._meter.order(str(reason), len(order.runs))
        self.add(
            outcomes.Step.START,
            "order released",
            order.job,
            owner.name,
            reason=str(reason),
            grant_age_s=round(now - owner.granted_at, 3),
        )

    def taken(
        self,
        owner: _owners.Owner,
        order: wire.OrderRuns,
        full: int,
        free: wire.Resources,
        held: int,
    ) -> None:
        """An order was taken, as far as there was room."""
        self._meter.order("", len(order.runs) - full)
        if full:
            self._meter.order(str(wire.NotStarted.FULL), full)
        self.add(
            outcomes.Step.START,
            "order taken",
            order.job,
            owner.name,
            started=len(order.runs) - full,
            without_room=full,
            free_cpu_millis=free.cpu_millis,
            runs_here=held,
        )

    def stream_suspected(self, now: float, owner: _owners.Owner) -> None:
        """A stream may be silent: a new one is opened beside it."""
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
        """A run is stopped since its entry no longer answers for it."""
        self._meter.grant_expired()
        self.add(
            outcomes.Step.LEASE,
            "stopped: its entry's grant ran out",
            row.key.job,
            owner.name,
            True,
            grant_age_s=round(now - owner.granted_at, 3),
        )

    def over(self, now: float, row: _runs.RunRow, how: wire.HowEnded) -> None:
        """A run is over."""
        self._meter.over(how, now - row.ordered_at)
        self.add(
            outcomes.Step.RUN,
            "run over",
            row.key.job,
            row.owner,
            how not in _EXPECTED,
            task=row.key.index,
            run=row.key.run,
            how=str(how),
            held_s=round(now - row.ordered_at, 3),
        )

    def order_unanswered(self, row: _runs.RunRow) -> None:
        """An order went without an answer and is taken back."""
        self._meter.order_unanswered()
        self.add(
            outcomes.Step.START,
            "order without an answer: stopping it",
            row.key.job,
            row.owner,
            True,
            task=row.key.index,
            run=row.key.run,
        )

    def renewed(self, fault: _agent_events.CallFault | None = None) -> None:
        """The endpoint's lease was renewed, or not."""
        self._meter.renewed(str(fault.value) if fault else "")

    def back(self, away_s: float, steady: float) -> None:
        """The endpoint is back after an outage that was not announced.

        :param away_s: seconds for which it was away
        :param steady: share of its room that is used for now
        """
        self._meter.outage()
        self.add(
            outcomes.Step.HEALTH,
            "endpoint back",
            away_s=round(away_s, 3),
            steady=steady,
        )

    def recalled(self, seen: _agent_events.EndpointHeartbeat) -> None:
        """What an earlier start kept of the endpoint is used for now."""
        self.add(
            outcomes.Step.HEALTH,
            "endpoint recalled",
            peer=seen.incarnation,
            capacity_cpu_millis=seen.capacity.cpu_millis,
            draining=seen.draining,
        )

    def heartbeat_ignored(
        self,
        known: _agent_events.EndpointHeartbeat | None,
        event: _agent_events.EndpointHeartbeat,
    ) -> None:
        """A heartbeat is not believed, or not yet.

        :param known: the heartbeat that counts; none if there is none
        :param event: the one that came
        """
        self._meter.heartbeat_ignored()
        self.add(
            outcomes.Step.HEALTH,
            "heartbeat passed over",
            peer=event.incarnation,
            urgent=event.draining,
            number=event.number,
            born_ms=event.born_ms,
            draining=event.draining,
            known=known.incarnation if known else "",
            known_number=known.number if known else 0,
            known_born_ms=known.born_ms if known else 0,
        )

    def seen(
        self,
        known: _agent_events.EndpointHeartbeat | None,
        event: _agent_events.EndpointHeartbeat,
    ) -> None:
        """The endpoint is another, or began to drain."""
        if known is not None and (known.incarnation, known.draining) == (
            event.incarnation,
            event.draining,
        ):
            return
        self.add(
            outcomes.Step.HEALTH,
            "endpoint draining" if event.draining else "endpoint seen",
            peer=event.incarnation,
            capacity_cpu_millis=event.capacity.cpu_millis,
            remaining_s=event.remaining_s,
        )
