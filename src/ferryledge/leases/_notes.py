"""Notes on the decisions of a core, collected for the log."""

from collections import abc

import msgspec

from ferryledge import outcomes

#: Maximum number of pending notes; further ones are dropped.
_MAX_NOTES = 1000


class Note(msgspec.Struct, frozen=True):
    """A decision of a core, or a change of its state."""

    step: outcomes.Step
    message: str
    #: Name of the job concerned; empty for none.
    job: str = ""
    #: Name of the process concerned; empty for none.
    peer: str = ""
    #: Whether the note reports a problem; such notes are written first.
    urgent: bool = False
    #: Inputs of the decision; ages are in seconds.
    facts: abc.Mapping[str, object] = msgspec.field(default_factory=dict)


class Notes:
    """Collects notes until the caller logs them."""

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
        """Add a note.

        :param step: step of a job's life to which the note belongs
        :param message: the decision
        :param job: name of the job concerned; empty for none
        :param peer: name of the process concerned; empty for none
        :param urgent: whether the note reports a problem
        :param facts: inputs of the decision
        """
        if len(self._notes) >= _MAX_NOTES:
            self._dropped += 1
            return
        self._notes.append(Note(step, message, job, peer, urgent, facts))

    def pop(self) -> list[Note]:
        """Return and clear the collected notes."""
        notes = self._notes
        self._notes = []
        if self._dropped:
            text = "notes dropped"
            step = outcomes.Step.ANSWER
            notes.append(Note(step, text, facts={"count": self._dropped}))
            self._dropped = 0
        return notes
