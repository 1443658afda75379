"""Reports of an agent to entries, about its endpoint and their runs."""

from collections import abc

import msgspec

from ferryledge.leases import _agent_notes
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _speed
from ferryledge.leases import _state_reports
from ferryledge import wire

#: Seconds between reports of delayed runs.
_LATE_S = 0.1
#: Longest time in seconds until a change of the jobs that run here is
#: reported. A report of the endpoint's state brings it sooner.
_JOBS_INTERVAL_S = 0.45
_NEVER = float("inf")

Send = abc.Callable[[_owners.Owner, wire.Message], None]


class Reports:
    """Sends reports to entries, no more often than they need them.

    :param name: the agent's name
    :param owners: the entries and their grants
    :param runs: the runs at the endpoint
    :param notes: records decisions for the log
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
        #: The current state. The object stays the same until a value changes,
        #: so that it can be compared by identity.
        self._state = wire.EndpointState(is_primary=False)
        #: The owners' count of changes at the last report.
        self._changes = -1
        #: The jobs that run here, by the incarnation of their entry.
        self._jobs: dict[str, frozenset[str]] = {}
        self._late_reported_at = float("-inf")
        #: When the next report of the endpoint's state is due.
        self.due_at = float("inf")

    def report_held(self) -> None:
        """Report the present runs and unconfirmed ends on new streams."""
        for owner in self._owners.connected:
            if not owner.needs_held_report:
                continue
            owner.needs_held_report = False
            for message in self._owners.ends_to_resend(owner):
                self._send(owner, message)
            rows = self._runs.of_owner(owner.incarnation)
            rows += self._runs.of_owner("")
            held = tuple(
                wire.HeldRun(row.key.job, row.key.task_run, row.need)
                for row in rows
            )
            self._send(owner, wire.RunsHeld(held))

    def report_end(
        self,
        now: float,
        row: _runs.RunRow,
        how: wire.RunOutcome,
        crashed_jobs: int = 0,
    ) -> None:
        """Report to an entry that a run has ended or wasn't started.

        An end is kept and repeated until the entry confirms it. The end of an
        adopted run that no entry has claimed is reported once to each entry.

        :param now: monotonic seconds
        :param row: the run
        :param how: how it ended
        :param crashed_jobs: how many jobs lost runs in a crash of the
            endpoint; 0 if it didn't crash
        """
        self._notes.run_ended(now, row, how)
        run = row.key.task_run
        run_s = 0.0
        if row.confirmed_at is not None:
            run_s = max(0.0, now - row.confirmed_at)
        ends = (wire.RunEnd(run, how, run_s, crashed_jobs),)
        end = wire.RunsEnded(row.key.job, ends)
        if not row.owner:
            self._report_unclaimed_end(end)
            return
        owner = self._owners.find(row.owner)
        if owner is None:
            return
        if not row.is_confirmed and row.release_reason is not None:
            self.report_released(
                owner, row.key.job, (run,), row.release_reason
            )
            return
        self._owners.keep_unconfirmed(owner, end)
        if owner.connected and not owner.needs_held_report:
            self._send(owner, self._owners.attach_ask(owner, now, end))

    def _report_unclaimed_end(self, end: wire.RunsEnded) -> None:
        """Report the end of an unclaimed run to all entries that know of it.

        The run was listed to them, and its entry may be about to claim it.
        """
        for owner in self._owners.connected:
            if not owner.needs_held_report:
                self._send(owner, end)

    def report_released(
        self,
        owner: _owners.Owner,
        job: str,
        runs: abc.Iterable[wire.TaskRun],
        reason: wire.RunReleaseReason,
    ) -> None:
        """Report to an entry which runs were not started."""
        if owner.connected:
            self._send(owner, wire.RunsReleased(job, tuple(runs), reason))

    def report_late(self, now: float, speed: _speed.EndpointSpeed) -> None:
        """Report to entries which of their runs are delayed.

        These are all runs of a slow endpoint, and hung runs of any other.
        """
        is_slow = speed.reported_slowness >= _speed.SLOW_THRESHOLD
        if now - self._late_reported_at < _LATE_S:
            return
        self._late_reported_at = now
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

    def report_state(self, now: float, state: wire.EndpointState) -> None:
        """Report the endpoint's state to the entries for which that is due.

        :param now: monotonic seconds
        :param state: the part of the state that all entries share
        """
        jobs = self._jobs_by_owner(now)
        unchanged = (
            state == self._state
            and self._owners.changes == self._changes
            and jobs == self._jobs
        )
        if unchanged and now < self.due_at:
            return
        if state != self._state:
            self._state = state
        self._jobs = jobs
        self._changes = self._owners.changes
        self._turns.note_free(now, state.free)
        self.due_at = float("inf")
        owners = self._owners.connected
        self._choose_primary_entries(owners)
        latest_start = {
            owner.name: owner.latest_start
            for owner in owners
            if owner.is_primary
        }
        report_order = self._turns.report_order(latest_start)
        for owner in owners:
            announce_at = None
            if owner.is_primary:
                announce_at = self._turns.announce_at(
                    report_order.index(owner.name)
                )
            self._report_to(now, owner, announce_at)

    def _jobs_by_owner(self, now: float) -> dict[str, frozenset[str]]:
        """Return the jobs whose runs are to go on, by their entry."""
        return {
            incarnation: jobs
            for incarnation in self._runs.owners()
            if self._owners.is_granted(incarnation, now)
            and (jobs := self._runs.jobs_of_owner(incarnation))
        }

    def _jobs_of_others(self, owner: _owners.Owner) -> frozenset[str]:
        """Return the jobs that run here for other entries."""
        return frozenset().union(
            *(
                jobs
                for incarnation, jobs in self._jobs.items()
                if incarnation != owner.incarnation
            )
        )

    def _choose_primary_entries(
        self, owners: abc.Iterable[_owners.Owner]
    ) -> None:
        names = tuple(sorted(owner.name for owner in owners))
        primary_entries = _state_reports.primary_entries_of(self._name, names)
        for owner in owners:
            owner.is_primary = owner.name in primary_entries

    def _report_to(
        self, now: float, owner: _owners.Owner, announce_at: float | None
    ) -> None:
        due = self._state_due_at(owner, announce_at)
        if due <= now:
            owner.last_report = self._state_for(owner)
            owner.last_shared_state = self._state
            owner.expected_free = self._state.free
            owner.reported_at = now
            self._send_report(now, owner, owner.last_report)
            return
        if owner.last_report is not None and owner.detects_duplicates:
            due = min(due, self._report_jobs(now, owner, owner.last_report))
        self.due_at = min(self.due_at, due)

    def _report_jobs(
        self, now: float, owner: _owners.Owner, report: wire.EndpointState
    ) -> float:
        """Send the last report again if it lacks jobs for too long.

        The state in it stays as it was, since free capacity is reported to
        one entry after the other.

        :return: when that is due next
        """
        if self._jobs_of_others(owner) == owner.reported_jobs:
            return _NEVER
        due = owner.jobs_reported_at + _JOBS_INTERVAL_S
        if due > now:
            return due
        self._send_report(now, owner, report)
        return _NEVER

    def _send_report(
        self, now: float, owner: _owners.Owner, report: wire.EndpointState
    ) -> None:
        """Send a report, with the changes of the jobs that run here."""
        if owner.detects_duplicates:
            jobs = self._jobs_of_others(owner)
            report = msgspec.structs.replace(
                report,
                jobs_added=tuple(sorted(jobs - owner.reported_jobs)),
                jobs_removed=tuple(sorted(owner.reported_jobs - jobs)),
            )
            owner.reported_jobs = jobs
            owner.jobs_reported_at = now
        self._send(owner, report)

    def _state_for(self, owner: _owners.Owner) -> wire.EndpointState:
        """Return the endpoint's state as it is reported to an entry."""
        return msgspec.structs.replace(
            self._state,
            orders_seen=owner.orders_seen,
            is_primary=owner.is_primary,
        )

    def _state_due_at(
        self, owner: _owners.Owner, announce_at: float | None
    ) -> float:
        """Return when the endpoint's state is due; infinite if it isn't."""
        if _is_current(owner, self._state, owner.is_primary):
            return _NEVER
        if _can_calculate(owner, self._state):
            return _NEVER
        last_report = owner.last_report
        if last_report is not None and owner.expected_free is not None:
            last_report = msgspec.structs.replace(
                last_report, free=owner.expected_free
            )
        return _state_reports.due_at(
            last_report,
            owner.reported_at,
            self._state_for(owner),
            announce_at,
        )


def _is_current(
    owner: _owners.Owner, state: wire.EndpointState, is_primary: bool
) -> bool:
    """Return whether the last report to an entry is still current."""
    last_report = owner.last_report
    return (
        last_report is not None
        and owner.last_shared_state is state
        and last_report.orders_seen == owner.orders_seen
        and last_report.is_primary is is_primary
    )


def _can_calculate(owner: _owners.Owner, state: wire.EndpointState) -> bool:
    """Return whether an entry can calculate the state itself.

    It can if only its own orders have changed the state since the last
    report.
    """
    return (
        owner.last_report is not None
        and owner.last_shared_state is not None
        and owner.last_report.is_primary is owner.is_primary
        and owner.expected_free == state.free
        and _state_reports.state_without_free(owner.last_shared_state)
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
