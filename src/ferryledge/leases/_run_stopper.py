"""Stops runs at the endpoint and repeats unconfirmed stop orders."""

from collections import abc

import msgspec

from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _answer_times
from ferryledge.leases import _endpoint
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _timing
from ferryledge import wire

#: Seconds after which a disconnected entry without runs is forgotten.
_FORGET_S = 10.0
#: Stops of a run that are repeated as soon as an answer is overdue. Further
#: ones are sent at longer intervals: the endpoint is probably cut off.
_FAST_REPEATS = 3
#: Seconds for which adopted runs wait for the claim of their entry, and then
#: for its grant. The lease is not extended meanwhile, so a longer wait would
#: end the claimed runs too.
_CLAIM_WAIT_S = 0.15

Act = abc.Callable[[_agent_events.AgentAction], None]


class RunStopper:
    """Orders stops and repeats them until the endpoint confirms them.

    :param runs: the runs at the endpoint
    :param link: the link to the endpoint
    :param owners: the entries that own runs
    :param timing: the timing of leases
    :param notes: records decisions
    :param act: called with each action
    :param answer_times: the endpoint's response times
    """

    def __init__(
        self,
        runs: _runs.RunTable,
        link: _endpoint.EndpointLink,
        owners: _owners.OwnerTable,
        timing: _timing.LeaseTiming,
        notes: _agent_notes.AgentNotes,
        act: Act,
        answer_times: _answer_times.AnswerTimes,
    ) -> None:
        self._answer_times = answer_times
        self._runs = runs
        self._link = link
        self._owners = owners
        self._timing = timing
        self._notes = notes
        self._act = act
        #: When to list the endpoint's runs in addition to the renewals.
        self._list_at = float("inf")
        #: Runs with an unconfirmed stop; some may have ended.
        self._unconfirmed: dict[_runs.RunKey, _runs.RunRow] = {}

    def stop(
        self,
        now: float,
        key: _runs.RunKey,
        owner: _owners.Owner | None = None,
        release_reason: wire.RunReleaseReason | None = None,
    ) -> None:
        """Stop a run, unless its stop was already ordered.

        :param now: monotonic seconds
        :param key: the run
        :param owner: the entry that requests the stop, which must own the
            run; ``None`` if the agent itself decides
        :param release_reason: the reason that its entry is given if the run
            proves never to have started
        """
        row = self._runs.find(key)
        if row is None:
            return
        if owner is not None:
            if row.owner != owner.incarnation:
                return
            if row.stop_requested_at is None:
                row.stop_requested_at = now
        if row.state is _runs.RunState.STOPPING:
            return
        row.state = _runs.RunState.STOPPING
        row.release_reason = release_reason
        self._send_stop(now, row)

    def stop_after_restart(self, now: float, row: _runs.RunRow) -> None:
        """Stop a run whose order may have reached a restarted endpoint.

        Confirmations and clock values of the former incarnation are void.

        :param now: monotonic seconds
        :param row: the run
        """
        row.state = _runs.RunState.STOPPING
        row.release_reason = (
            row.release_reason or wire.RunReleaseReason.NO_ANSWER
        )
        row.expires_ms = 0
        row.stop_confirmed_at = None
        row.first_stop_sent_at = None
        self._send_stop(now, row)

    def _send_stop(self, now: float, row: _runs.RunRow) -> None:
        if row.first_stop_sent_at is None:
            row.first_stop_sent_at = now
        row.stop_sent_at = now
        row.stops_sent += 1
        self._unconfirmed[row.key] = row
        self._act(
            _agent_events.StopRun(
                row.key,
                self._link.incarnation,
                self._link.token,
                self._answer_times.limit_s,
            )
        )

    def confirmed(self, now: float, key: _runs.RunKey) -> None:
        """Handle the endpoint's confirmation of a stop."""
        self._unconfirmed.pop(key, None)
        row = self._runs.find(key)
        if row is None:
            return
        row.stop_confirmed_at = now
        if row.release_reason is not None:
            # Its task waits to be ordered elsewhere, so list the runs at once
            # rather than wait for the next renewal.
            self._list_at = now

    def tick(self, now: float, unclaimed_since: float) -> None:
        """Order the stops that are due.

        :param now: monotonic seconds
        :param unclaimed_since: since when runs without an owner wait for an
            entry to claim them
        """
        for owner in self._owners_with_runs():
            may_await_grant = now < owner.claimed_at + _CLAIM_WAIT_S
            if not may_await_grant and not self._owners.has_grant(owner, now):
                self._stop_without_grant(now, owner)
        self._forget_disconnected(now)
        if now - unclaimed_since >= _CLAIM_WAIT_S:
            self._stop_unclaimed(now, unclaimed_since)
        self._repeat(now)
        self._list_runs(now)

    def _stop_unclaimed(self, now: float, unclaimed_since: float) -> None:
        """Stop the runs that no entry has claimed."""
        keys = [
            row.key
            for row in self._runs.of_owner("")
            if row.state is not _runs.RunState.STOPPING
        ]
        for key in keys:
            self.stop(now, key)
        if keys:
            self._notes.unclaimed_stopped(keys, now - unclaimed_since)

    def _stop_without_grant(self, now: float, owner: _owners.Owner) -> None:
        """Stop the runs of an entry whose grant has expired."""
        for row in self._runs.of_owner(owner.incarnation):
            if row.state is not _runs.RunState.STOPPING:
                self._notes.grant_expired(now, owner, row)
            self.stop(now, row.key)

    def _owners_with_runs(self) -> list[_owners.Owner]:
        """Return the known entries that have runs here."""
        owners = [self._owners.find(key) for key in self._runs.owners()]
        return [owner for owner in owners if owner is not None]

    def _forget_disconnected(self, now: float) -> None:
        """Remove entries that have been disconnected for long."""
        for owner in self._owners.disconnected:
            if now - owner.granted_at > _FORGET_S:
                self._owners.forget(owner.incarnation)

    def _repeat(self, now: float) -> None:
        for key, row in list(self._unconfirmed.items()):
            if self._runs.find(key) is not row:
                del self._unconfirmed[key]
                continue
            self._note_if_overdue(now, row)
            if now >= self._repeat_at(row):
                self._send_stop(now, row)

    def _note_if_overdue(self, now: float, row: _runs.RunRow) -> None:
        """Note once that a stop was not confirmed in time."""
        first = row.first_stop_sent_at
        if row.is_stop_overdue or first is None:
            return
        if now - first <= self._timing.stop_s:
            return
        row.is_stop_overdue = True
        owner = self._owners.find(row.owner)
        self._notes.stop_overdue(
            row,
            owner.name if owner else row.owner,
            now - first,
            self._link.was_renewed_since(first),
        )

    def _repeat_at(self, row: _runs.RunRow) -> float:
        """Return when an unconfirmed stop is sent again."""
        if row.stop_sent_at is None:
            return float("inf")
        if row.stops_sent > _FAST_REPEATS:
            return row.stop_sent_at + self._timing.order_timeout_s
        return row.stop_sent_at + self._answer_times.limit_s

    def _list_runs(self, now: float) -> None:
        if now < self._list_at:
            return
        # The request or its answer may be lost: repeat it until a list comes.
        self._list_at = float("inf")
        if any(self._is_list_needed(row) for row in self._runs):
            self._list_at = now + self._answer_times.limit_s
        # Regular renewals acknowledge ends. This call may be sent long after
        # the last answer, if one of them is waiting.
        renewal = msgspec.structs.replace(
            self._link.renewal(now), acknowledged=0, wait_ms=0
        )
        self._act(_agent_events.ListRuns(renewal))

    def _is_list_needed(self, row: _runs.RunRow) -> bool:
        """Return whether the next list may release a run's task.

        The end of a run that was already listed comes with a renewal.
        """
        stopped = row.stop_confirmed_at is not None
        return stopped and row.release_reason is not None and not row.listed

    def due_at(self, unclaimed_since: float) -> float:
        """Return when to tick at the latest, in monotonic seconds.

        :param unclaimed_since: since when runs without an owner wait for an
            entry to claim them
        """
        repeats = [self._repeat_at(row) for row in self._unconfirmed.values()]
        expiries = [
            max(
                owner.granted_at + self._timing.grant_s,
                owner.claimed_at + _CLAIM_WAIT_S,
            )
            for owner in self._owners_with_runs()
            if self._has_unstopped(owner.incarnation)
        ]
        if self._has_unstopped(""):
            expiries.append(unclaimed_since + _CLAIM_WAIT_S)
        return min([*repeats, *expiries, self._list_at])

    def _has_unstopped(self, owner: str) -> bool:
        return any(
            row.state is not _runs.RunState.STOPPING
            for row in self._runs.of_owner(owner)
        )
