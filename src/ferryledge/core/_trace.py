"""What each mechanism decided for recent jobs, in bounded memory."""

import collections
from collections import abc
import dataclasses
import enum

#: Jobs and notes of one job that are kept.
_MAX_JOBS = 512
_MAX_NOTES = 64


class Mechanism(enum.StrEnum):
    """What took a decision."""

    FRONT = "front"
    ROUTING = "routing"
    ADMISSION = "admission"
    POLICY = "policy"
    TICKET = "ticket"
    PLACEMENT = "placement"
    RELEASE = "release"
    RECOVERY = "recovery"
    ANSWER = "answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One decision."""

    #: Monotonic seconds of the process that took it.
    at: float
    #: A job as ``workspace/request_id``, or a submission.
    job: str
    mechanism: Mechanism
    text: str
    #: Version of the configuration in force.
    version: int


Listener = abc.Callable[[Note], None]


class Trace:
    """Notes on the last jobs; listeners hear each note as it is made."""

    def __init__(self) -> None:
        self._jobs: collections.OrderedDict[str, list[Note]] = (
            collections.OrderedDict()
        )
        self._listeners: list[Listener] = []
        #: Version of the configuration in force.
        self.version = 0

    def note(
        self, now: float, job: str, mechanism: Mechanism, text: str
    ) -> None:
        """Note a decision.

        :param now: monotonic seconds
        :param job: the job or submission that it is about
        :param mechanism: what decided
        :param text: what was seen, decided and sent
        """
        note = Note(now, job, mechanism, text, self.version)
        notes = self._jobs.get(job)
        if notes is None:
            notes = self._jobs[job] = []
            if len(self._jobs) > _MAX_JOBS:
                self._jobs.popitem(last=False)
        if len(notes) < _MAX_NOTES:
            notes.append(note)
        for listener in self._listeners:
            listener(note)

    def find(self, job: str) -> list[Note]:
        """Return the notes on a job, oldest first."""
        return list(self._jobs.get(job, ()))

    def listen(self, listener: Listener) -> abc.Callable[[], None]:
        """Call a listener for each note.

        :return: call it to stop listening
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)
