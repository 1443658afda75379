"""Bounded record of the decisions on recent jobs."""

import collections
from collections import abc
import dataclasses
import enum

#: Number of jobs whose notes are kept.
_MAX_JOBS = 512
#: Number of notes that are kept for each job.
_MAX_NOTES = 64


class Mechanism(enum.StrEnum):
    """Component that made a decision."""

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
    """A decision on a job."""

    #: Monotonic seconds in the process that made the decision.
    at: float
    #: The job as ``workspace/request_id``, or the submission.
    job: str
    mechanism: Mechanism
    text: str
    #: Version of the configuration in force.
    version: int


Listener = abc.Callable[[Note], None]


class Trace:
    """Keeps notes on recent jobs and passes each new note to listeners."""

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
        """Record a decision.

        :param now: monotonic seconds
        :param job: the job or submission concerned
        :param mechanism: the component that decided
        :param text: the inputs, the decision and the messages sent
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
        """Register a listener that is called with each new note.

        :param listener: the callback
        :return: a function that removes the listener
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)
