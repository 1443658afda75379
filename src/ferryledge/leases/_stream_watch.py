"""Detects silent streams by overdue answers and opens new ones.

A new stream is opened beside a silent one and replaces it after the handshake.
If the old stream answers before that, it was only slow, and the new one is
abandoned. A delayed answer comes first, since a handshake takes several round
trips. Over a full link or with a busy process such false alarms repeat and
add to the load, so each of them doubles the interval between attempts.
"""

from collections import abc

from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _owners

#: Seconds between attempts to open a new stream beside the same silent one.
_RETRY_S = 0.3
#: Largest number of false alarms by which the interval is doubled. There is
#: then about one attempt until a silent stream is closed.
_MAX_FALSE_ALARMS = 2
#: Delay of a check, in seconds, from which on this process itself counts as
#: paused or busy: it may have unread answers.
_PAUSE_S = 0.03

Act = abc.Callable[[_agent_events.AgentAction], None]


class StreamWatch:
    """Watches for entries whose answers take longer than usual.

    :param owners: the entries that own runs
    :param notes: records decisions
    :param act: called with each action
    """

    def __init__(
        self,
        owners: _owners.OwnerTable,
        notes: _agent_notes.AgentNotes,
        act: Act,
    ) -> None:
        self._owners = owners
        self._notes = notes
        self._act = act
        #: When the process ticks next at the latest.
        self._next_tick_at = float("inf")

    def note_next_tick(self, at: float) -> None:
        """Set the time by which the process is due to tick.

        :param at: monotonic seconds
        """
        self._next_tick_at = at

    def note_answer(
        self, now: float, owner: _owners.Owner, number: int
    ) -> None:
        """Record that an entry has seen a request.

        :param now: monotonic seconds
        :param owner: the entry
        :param number: the number of the request for a grant
        """
        late = now >= owner.silent_at
        if not self._owners.note_answer(now, owner, number):
            return
        if owner.reopening:
            owner.reopening = False
            owner.false_alarms = min(_MAX_FALSE_ALARMS, owner.false_alarms + 1)
            self._act(_agent_events.CancelReopen(owner.name))
        elif not late:
            owner.false_alarms = max(0, owner.false_alarms - 1)

    def reopen_silent(self, now: float) -> list[_owners.Owner]:
        """Open new streams beside silent ones.

        A network fault rarely affects just one stream, so the other streams
        are probed when one is silent.

        :param now: monotonic seconds
        :return: the entries to probe: no answer of theirs is due, but none has
            been heard since the first silence began
        """
        awaiting_answer = self._owners.awaiting_answer
        if not awaiting_answer:
            return []
        if now - self._next_tick_at > _PAUSE_S:
            for owner in awaiting_answer:
                owner.unanswered_asks = dict.fromkeys(
                    owner.unanswered_asks, now
                )
        silent = [owner for owner in awaiting_answer if now >= _due_at(owner)]
        for owner in silent:
            self._reopen(now, owner)
        if not silent:
            return []
        since = min(owner.oldest_unanswered_at for owner in silent)
        return [
            owner
            for owner in self._owners.connected
            if not owner.unanswered_asks and owner.heard_at < since
        ]

    def due_at(self) -> float:
        """Return when to check at the latest, in monotonic seconds."""
        awaiting_answer = self._owners.awaiting_answer
        return (
            min(map(_due_at, awaiting_answer))
            if awaiting_answer
            else float("inf")
        )

    def _reopen(self, now: float, owner: _owners.Owner) -> None:
        if not owner.reopening:
            self._notes.stream_suspected(now, owner)
        owner.reopening = True
        owner.reopen_at = now + _RETRY_S * 2**owner.false_alarms
        self._act(_agent_events.ReopenStream(owner.name))


def _due_at(owner: _owners.Owner) -> float:
    """Return when a new stream to an entry is opened if it stays silent."""
    return max(owner.silent_at, owner.reopen_at)
