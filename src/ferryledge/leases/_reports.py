"""What an agent tells entries of its endpoint and their runs."""

from collections import abc

import msgspec

from ferryledge.leases import _agent_notes
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _speed
from ferryledge.leases import _state_reports
from ferryledge import wire

#: Seconds between reports of runs that a slow endpoint holds up.
_LATE_S = 0.1

Send = abc.Callable[[_owners.Owner, wire.Message], None]


class Reports:
    """Tells entries what they need to know, as seldom as will do.

    :param name: this agent
    :param owners: the entries
    :param runs: what the endpoint holds
    :param notes: what is decided
    :param send: sends a message to an entry
    """

    def __init__(
        self,
        name: str,
        owners: _owners.OwnerTable,
        runs: _runs.RunTable,
        notes: _agent_notes.AgentNotes,
        send: Send,
    ) -> None:
        self._name = name
        self._owners = owners
        self._runs = runs
        self._notes = notes
        self._send = send
        self._turns = _state_reports.ReportTurns()
        #: The state told last, kept as one object while it stays the same.
        self._state = wire.EndpointState(is_primary=False)
        #: The changes among the entries that were looked at last.
        self._changes = -1
        self._late_told_at = float("-inf")
        #: When the next report of the endpoint's state is due.
        self.due_at = float("inf")

    def tell_held(self) -> None:
        """Tell entries with a new stream what is held for them."""
        for owner in self._owners.connected:
            if not owner.wants_held:
                continue
            owner.wants_held = False
            for message in self._owners.take_unconfirmed(owner):
                self._send(owner, message)
            rows = self._runs.of_owner(owner.incarnation)
            rows += self._runs.of_owner("")
            held = tuple(
                wire.HeldRun(row.key.job, row.key.task_run, row.need)
                for row in rows
            )
            self._send(owner, wire.RunsHeld(held))

    def tell_end(
        self,
        now: float,
        row: _runs.RunRow,
        how: wire.HowEnded,
        crashed_jobs: int = 0,
    ) -> None:
        """Tell an entry that a run of its is over, or never began.

        An end is kept until the entry confirms it.

        :param now: monotonic seconds
        :param row: the run
        :param how: how it ended
        :param crashed_jobs: jobs that lost runs when the endpoint went away
            unannounced; 0 is any other end
        """
        self._notes.over(now, row, how)
        owner = self._owners.find(row.owner)
        if owner is None:
            return
        run = row.key.task_run
        if not row.is_confirmed and row.release_reason is not None:
            self.tell_released(owner, row.key.job, (run,), row.release_reason)
            return
        run_s = 0.0
        if row.confirmed_at is not None:
            run_s = max(0.0, now - row.confirmed_at)
        ends = (wire.RunEnd(run, how, run_s, crashed_jobs),)
        end = wire.RunsEnded(row.key.job, ends)
        self._owners.keep(owner, end)
        if owner.connected and not owner.wants_held:
            self._send(owner, self._owners.ask_with(owner, now, end))

    def tell_released(
        self,
        owner: _owners.Owner,
        job: str,
        runs: abc.Iterable[wire.TaskRun],
        reason: wire.NotStarted,
    ) -> None:
        """Tell an entry which runs were not started."""
        if owner.connected:
            self._send(owner, wire.RunsReleased(job, tuple(runs), reason))

    def tell_late(self, now: float, speed: _speed.EndpointSpeed) -> None:
        """Tell entries of their runs that a slow endpoint holds up.

        On one that does well these are the runs that hang.
        """
        is_slow = speed.reported_slowness >= _speed.SLOW_THRESHOLD
        if now - self._late_told_at < _LATE_S:
            return
        self._late_told_at = now
        for owner in self._owners.connected:
            runs = tuple(
                _late_run(now, row, row.progress, speed)
                for row in self._runs.of_owner(owner.incarnation)
                if row.progress is not None
                and row.state is _runs.RunState.RUNNING
                and (is_slow or row.progress.is_hung(now))
            )
            if runs:
                self._send(owner, wire.LateRuns(runs))

    def tell_state(self, now: float, state: wire.EndpointState) -> None:
        """Tell entries how the endpoint stands, as far as that is due.

        :param now: monotonic seconds
        :param state: the endpoint's state, but for what is an entry's own
        """
        same = state == self._state and self._owners.changes == self._changes
        if same and now < self.due_at:
            return
        if state != self._state:
            self._state = state
        self._changes = self._owners.changes
        self._turns.note_free(now, state.free)
        self.due_at = float("inf")
        owners = self._owners.connected
        self._choose_homes(owners)
        wanted_by = {
            owner.name: owner.wanted_by for owner in owners if owner.is_primary
        }
        report_order = self._turns.report_order(wanted_by)
        for owner in owners:
            announce_at = None
            if owner.is_primary:
                announce_at = self._turns.announce_at(
                    report_order.index(owner.name)
                )
            self._tell_owner(now, owner, announce_at)

    def _choose_homes(self, owners: abc.Iterable[_owners.Owner]) -> None:
        names = tuple(sorted(owner.name for owner in owners))
        primary_entries = _state_reports.primary_entries_of(self._name, names)
        for owner in owners:
            owner.is_primary = owner.name in primary_entries

    def _tell_owner(
        self, now: float, owner: _owners.Owner, announce_at: float | None
    ) -> None:
        if _knows(owner, self._state, owner.is_primary):
            return
        if _can_tell(owner, self._state):
            return
        state = msgspec.structs.replace(
            self._state,
            orders_seen=owner.orders_seen,
            is_primary=owner.is_primary,
        )
        told = owner.told
        if told is not None and owner.expects is not None:
            told = msgspec.structs.replace(told, free=owner.expects)
        due = _state_reports.due_at(told, owner.told_at, state, announce_at)
        if due > now:
            self.due_at = min(self.due_at, due)
            return
        owner.told = state
        owner.told_of = self._state
        owner.expects = self._state.free
        owner.told_at = now
        self._send(owner, state)


def _knows(
    owner: _owners.Owner, state: wire.EndpointState, is_primary: bool
) -> bool:
    """Return whether an entry was told just that last."""
    told = owner.told
    return (
        told is not None
        and owner.told_of is state
        and told.orders_seen == owner.orders_seen
        and told.is_primary is is_primary
    )


def _can_tell(owner: _owners.Owner, state: wire.EndpointState) -> bool:
    """Return whether an entry can tell the state itself.

    It counts its own orders. A report for each was 0.8 of the 6.4 messages a
    run that entries heard (simulation of a pool at 0.9).
    """
    return (
        owner.told is not None
        and owner.told_of is not None
        and owner.told.is_primary is owner.is_primary
        and owner.expects == state.free
        and _state_reports.state_without_free(owner.told_of)
        == _state_reports.state_without_free(state)
    )


def _late_run(
    now: float,
    row: _runs.RunRow,
    progress: _speed.RunProgress,
    speed: _speed.EndpointSpeed,
) -> wire.LateRun:
    run = row.key.task_run
    if progress.rate <= 0.0:
        return wire.LateRun(row.key.job, run, None, None)
    normal_s = 1.0 / (progress.rate * speed.slowness)
    return wire.LateRun(row.key.job, run, progress.left_s(now), normal_s)
