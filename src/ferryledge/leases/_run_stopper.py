"""Stops runs at the endpoint, and knows when to look again."""

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
#: Stops that are repeated as soon as an answer counts as missing; an endpoint
#: that is cut off gets the others at longer gaps, for each of its runs.
_QUICK_STOPS = 3

Act = abc.Callable[[_agent_events.AgentAction], None]


class RunStopper:
    """Orders stops and repeats them until the endpoint confirms them.

    :param runs: what the endpoint holds
    :param link: the link to the endpoint
    :param owners: the entries
    :param timing: the lease rule
    :param notes: what is decided
    :param act: takes what is to be done
    :param answer_times: how long answers of the endpoint take
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
        #: When the endpoint is asked beside the renewals what it runs.
        self._list_at = float("inf")
        #: Runs whose stop the endpoint has not confirmed; some may be over.
        self._unconfirmed: dict[_runs.RunKey, _runs.RunRow] = {}

    def stop(
        self,
        now: float,
        key: _runs.RunKey,
        owner: _owners.Owner | None = None,
        release_reason: wire.NotStarted | None = None,
    ) -> None:
        """Stop a run; nothing happens if that was ordered before.

        :param now: monotonic seconds
        :param key: the run
        :param owner: the entry that asks, which must own it; none if this
            agent decides
        :param release_reason: what its entry is told should it never have started
        """
        row = self._runs.find(key)
        if row is None or row.state is _runs.RunState.STOPPING:
            return
        if owner is not None and row.owner != owner.incarnation:
            return
        row.state = _runs.RunState.STOPPING
        row.release_reason = release_reason
        self._order(now, row)

    def stop_after_restart(self, now: float, row: _runs.RunRow) -> None:
        """Stop a run whose order an endpoint that started again may have.

        What it confirmed before, and the clock of before, count no more.
        """
        row.state = _runs.RunState.STOPPING
        row.release_reason = row.release_reason or wire.NotStarted.NO_ANSWER
        row.expires_ms = 0
        row.stop_confirmed_at = None
        self._order(now, row)

    def _order(self, now: float, row: _runs.RunRow) -> None:
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
        """Note that the endpoint took a stop."""
        self._unconfirmed.pop(key, None)
        row = self._runs.find(key)
        if row is None:
            return
        row.stop_confirmed_at = now
        if row.release_reason is not None:
            # Its task waits to be ordered elsewhere: don't wait for the
            # renewal that is on its way, nor for a stop of what had begun.
            # A lost order cost 72 ms at the least, and costs 22 (simulation).
            self._list_at = now

    def tick(self, now: float, unclaimed_since: float) -> None:
        """Order the stops that are due.

        :param now: monotonic seconds
        :param unclaimed_since: since when runs wait to be claimed
        """
        for owner in self._with_runs():
            if not self._owners.has_grant(owner, now):
                self._stop_without_grant(now, owner)
        self._forget_lost(now)
        if now - unclaimed_since > self._timing.grant_s:
            for row in self._runs.of_owner(""):
                self.stop(now, row.key)
        self._repeat(now)
        self._list_runs(now)

    def _stop_without_grant(self, now: float, owner: _owners.Owner) -> None:
        """Stop what an entry does not answer for any more."""
        for row in self._runs.of_owner(owner.incarnation):
            if row.state is not _runs.RunState.STOPPING:
                self._notes.grant_expired(now, owner, row)
            self.stop(now, row.key)

    def _with_runs(self) -> list[_owners.Owner]:
        """Return the entries that are known and have runs here."""
        found = [self._owners.find(one) for one in self._runs.owners()]
        return [owner for owner in found if owner is not None]

    def _forget_lost(self, now: float) -> None:
        """Forget entries that have been gone for long."""
        for owner in self._owners.disconnected:
            if now - owner.granted_at > _FORGET_S:
                self._owners.forget(owner.incarnation)

    def _repeat(self, now: float) -> None:
        for key, row in list(self._unconfirmed.items()):
            if self._runs.find(key) is not row:
                del self._unconfirmed[key]
            elif now >= self._repeat_at(row):
                self._order(now, row)

    def _repeat_at(self, row: _runs.RunRow) -> float:
        """Return when an unconfirmed stop is to be sent again."""
        if row.stop_sent_at is None:
            return float("inf")
        if row.stops_sent > _QUICK_STOPS:
            return row.stop_sent_at + self._timing.order_timeout_s
        return row.stop_sent_at + self._answer_times.limit_s

    def _list_runs(self, now: float) -> None:
        if now < self._list_at:
            return
        # Lists are lost as orders are: until one tells, ask again.
        self._list_at = float("inf")
        if any(self._waits_for_list(row) for row in self._runs):
            self._list_at = now + self._answer_times.limit_s
        renewal = msgspec.structs.replace(self._link.renewal(now), wait_ms=0)
        self._act(_agent_events.ListRuns(renewal))

    def _waits_for_list(self, row: _runs.RunRow) -> bool:
        """Return whether a list may release a run's task.

        What is listed as running tells its end by the usual renewals.
        """
        stopped = row.stop_confirmed_at is not None
        return stopped and row.release_reason is not None and not row.listed

    def due_at(self) -> float:
        """Return when to tick at the latest."""
        stops = [self._repeat_at(row) for row in self._unconfirmed.values()]
        grants = [
            owner.granted_at + self._timing.grant_s
            for owner in self._with_runs()
            if self._has_unstopped(owner.incarnation)
        ]
        return min([*stops, *grants, self._list_at])

    def _has_unstopped(self, owner: str) -> bool:
        return any(
            row.state is not _runs.RunState.STOPPING
            for row in self._runs.of_owner(owner)
        )
