"""What a core decided and why, for the log."""

from collections import abc

import msgspec

from ferryledge import outcomes

#: Most notes kept until they are taken; older ones are dropped.
_MOST = 1000


class Note(msgspec.Struct, frozen=True):
    """One decision, or one change of what a core believes."""

    step: outcomes.Step
    message: str
    #: The job that it concerns; empty if none does.
    job: str = ""
    #: The process that it concerns; empty if none does.
    peer: str = ""
    #: Whether something went wrong: such notes are written first.
    urgent: bool = False
    #: What decided it, with ages in seconds.
    facts: abc.Mapping[str, object] = msgspec.field(default_factory=dict)


class Notes:
    """Collects notes until the shell writes them."""

    def __init__(self) -> None:
        self._notes: list[Note] = []
        self._dropped = 0

    def add(
        self,
        step: outcomes.Step,
        message: str,
        job: str = "",
        peer: str = "",
        urgent: bool = False,
        **facts: object,
    ) -> None:
        """Note a decision with what decided it."""
        if len(self._notes) >= _MOST:
            self._dropped += 1
            return
        self._notes.append(Note(step, message, job, peer, urgent, facts))

    def take(self) -> list[Note]:
        """Return the notes so far, and begin anew."""
        notes = self._notes
        self._notes = []
        if self._dropped:
            text = "notes dropped"
            step = outcomes.Step.ANSWER
            notes.append(Note(step, text, facts={"count": self._dropped}))
            self._dropped = 0
        return notes
