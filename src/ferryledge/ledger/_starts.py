"""The start ledger: decides whether a task may start, at most once.

Every scheduler numbers the tasks that it binds with one rising sequence.
The ledger admits a number only if it is above all numbers that it has
admitted or released for that scheduler, so a repeated, late or reordered
request never starts a task again, even after its record was dropped.
"""

import dataclasses
import enum

#: Separates the front's incarnation from its counter in submissions.
SUBMISSION_SEPARATOR = "."


class Admission(enum.Enum):
    """The ledger's answer to a request to start a task."""

    #: Never seen: start it now.
    FRESH = "fresh"
    #: Seen and recorded: report its state, do not start it.
    REPEAT = "repeat"
    #: Released, fenced or too old: it never starts from this request.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Names one bound task."""

    #: Incarnation of the scheduler that bound it.
    owner: str
    #: The scheduler's sequence number.
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """How a task ended."""

    ok: bool
    #: The result, or the reason of the failure.
    body: bytes
    #: Seconds that it ran.
    run_s: float
    #: When it ended, in the caller's monotonic seconds.
    at: float


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One started task."""

    key: TaskKey
    submission: str
    index: int
    #: Set once the task has ended.
    finish: Finish | None = None


def submission_front(submission: str) -> str:
    """Return the incarnation of the front that named the submission."""
    return submission.partition(SUBMISSION_SEPARATOR)[0]


def submission_number(submission: str) -> int:
    """Return the front's number for the submission; -1 if it has none."""
    number = submission.partition(SUBMISSION_SEPARATOR)[2]
    return int(number) if number.isascii() and number.isdigit() else -1


class StartLedger:
    """Records the starts on one endpoint.

    :param retention_s: seconds for which a finished task's result is kept
    :param max_finished: most finished results kept
    """

    def __init__(
        self, retention_s: float = 30.0, max_finished: int = 20_000
    ) -> None:
        self._retention_s = retention_s
        self._max_finished = max_finished
        self._high: dict[str, int] = {}
        self._fenced: dict[tuple[str, str], int] = {}
        self._running: dict[TaskKey, TaskRecord] = {}
        self._finished: dict[TaskKey, TaskRecord] = {}

    @property
    def running(self) -> int:
        """The number of tasks that run now."""
        return len(self._running)

    def admit(self, key: TaskKey, submission: str, index: int) -> Admission:
        """Decide on a request to start a task and record the start.

        :param key: the scheduler and its number for the task
        :param submission: the job's submission
        :param index: the task's place in the job
        :return: :attr:`Admission.FRESH` once at most for each key
        """
        if key in self._running or key in self._finished:
            return Admission.REPEAT
        if self.is_fenced(key.owner, submission):
            return Admission.REFUSED
        if not self.release(key):
            return Admission.REFUSED
        self._running[key] = TaskRecord(key, submission, index)
        return Admission.FRESH

    def release(self, key: TaskKey) -> bool:
        """Make sure that a task which has not started never will.

        :param key: the scheduler and its number for the task
        :return: true if the number is new: it has not started; false if
            it may have started, see :meth:`find`
        """
        if key.seq <= self._high.get(key.owner, -1):
            return False
        self._high[key.owner] = key.seq
        return True

    def find(self, key: TaskKey) -> TaskRecord | None:
        """Return the record of a task that started, if it is kept."""
        return self._running.get(key) or self._finished.get(key)

    def finish(self, key: TaskKey, finish: Finish) -> TaskRecord | None:
        """Record the end of a running task.

        :return: its record, or none if it was not running
        """
        record = self._running.pop(key, None)
        if record is None:
            return None
        record.finish = finish
        self._finished[key] = record
        return record

    def undo_start(self, key: TaskKey) -> TaskRecord | None:
        """Undo a start that provably never reached the endpoint.

        The number stays used, so the task never starts from it.

        :return: its record, or none if it was not running
        """
        return self._running.pop(key, None)

    def fence(self, owner: str, front: str, through: int) -> list[TaskRecord]:
        """Refuse the owner's tasks for a front's earlier submissions.

        :param owner: incarnation of the scheduler that is given up
        :param front: incarnation of the front that takes its jobs back
        :param through: number of the front's last submission so far
        :return: the tasks of that front which the owner started here
        """
        known = self._fenced.get((owner, front), -1)
        self._fenced[owner, front] = max(known, through)
        return [
            record
            for table in (self._running, self._finished)
            for key, record in table.items()
            if key.owner == owner
            and submission_front(record.submission) == front
        ]

    def is_fenced(self, owner: str, submission: str) -> bool:
        """Return whether the owner may no longer start this job's tasks."""
        through = self._fenced.get((owner, submission_front(submission)), -1)
        return submission_number(submission) <= through

    def expire(self, now: float) -> None:
        """Drop results that are past their retention, oldest first."""
        while self._finished:
            key, record = next(iter(self._finished.items()))
            finish = record.finish
            assert finish is not None
            fresh = now - finish.at < self._retention_s
            if fresh and len(self._finished) <= self._max_finished:
                return
            del self._finished[key]
