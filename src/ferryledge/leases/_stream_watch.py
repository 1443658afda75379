"""Notices streams that went silent, by asks that are owed an answer.

A new stream is opened beside a silent one and replaces it once both sides
have greeted each other. If the old one answers first it was only slow, and
the new one is given up: behind a full link or in a busy process the answer
that is under way comes before a handshake of several round trips ends. Where
that happens again and again, new streams cost the link what made it slow, and
are tried less often.
"""

from collections import abc

from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _owners

#: Seconds between tries to open a new stream beside the same silent one.
_RETRY_S = 0.3
#: False alarms by each of which the time between tries doubles, at the most.
#: Tries then take place once in the silence after which a stream is given up.
_MOST_ALARMS = 2
#: A look that comes so many seconds late shows that this process was paused
#: or busy itself, and may have answers to read.
_LATE_LOOK_S = 0.03

Act = abc.Callable[[_agent_events.AgentAction], None]


class StreamWatch:
    """Looks for entries that owe an answer for longer than usual.

    :param owners: the entries
    :param notes: what is decided
    :param act: takes what is to be done
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
        #: When this process is to look next at the latest.
        self._look_at = float("inf")

    def note_next_tick(self, at: float) -> None:
        """Note when the process ticks next at the latest."""
        self._look_at = at

    def note_answer(
        self, now: float, owner: _owners.Owner, number: int
    ) -> None:
        """Take in that an entry has seen the ask with that number."""
        late = now >= owner.silent_at
        if not self._owners.note_answer(now, owner, number):
            return
        if owner.reopening:
            owner.reopening = False
            owner.false_alarms = min(_MOST_ALARMS, owner.false_alarms + 1)
            self._act(_agent_events.CancelReopen(owner.name))
        elif not late:
            owner.false_alarms = max(0, owner.false_alarms - 1)

    def reopen_silent(self, now: float) -> list[_owners.Owner]:
        """Open new streams beside silent ones.

        A fault of the network seldom strikes one stream alone.

        :return: the entries to ask at once, since another is silent
        """
        awaiting_answer = self._owners.awaiting_answer
        if not awaiting_answer:
            return []
        if now - self._look_at > _LATE_LOOK_S:
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
        """Return when to look at the latest."""
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
    """Return when a new stream to an entry is due."""
    return max(owner.silent_at, owner.reopen_at)
