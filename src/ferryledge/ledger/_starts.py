"""The start ledger: admits each bound task to start at most once.

Every scheduler numbers the tasks that it binds in one rising sequence.
The ledger admits a number only if it is above all numbers that it has
admitted or released for that scheduler, so a repeated, late or reordered
request never starts a task again, even after its record was dropped.
"""

import dataclasses
import enum

#: Separates the front's incarnation from its counter in a submission.
SUBMISSION_SEPARATOR = "."


class Admission(enum.Enum):
    """The ledger's answer to a request to start a task."""

    #: The task is new and starts now.
    FRESH = "fresh"
    #: The task has a record: report its state, don't start it again.
    REPEAT = "repeat"
    #: The task was fenced, or its number is not new and it has no record.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies a bound task."""

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
    #: Run time in seconds.
    run_s: float
    #: When it ended, in the caller's monotonic seconds.
    at: float


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """The record of a started task."""

    key: TaskKey
    submission: str
    #: The task's position in the job.
    index: int
    #: Set once the task has ended.
    finish: Finish | None = None


def submission_front(submission: str) -> str:
    """Return the incarnation of the front that made the submission."""
    return submission.partition(SUBMISSION_SEPARATOR)[0]


def submission_number(submission: str) -> int:
    """Return the submission's number at its front, or -1 if it has none."""
    number = submission.partition(SUBMISSION_SEPARATOR)[2]
    return int(number) if number.isascii() and number.isdigit() else -1


class StartLedger:
    """Records the tasks that started on one endpoint.

    :param retention_s: seconds for which the result of a finished task is
        kept
    :param max_finished: most results of finished tasks that are kept
    """

    def __init__(
        self, retention_s: float = 30.0, max_finished: int = 20_000
    ) -> None:
        self._retention_s = retention_s
        self._max_finished = max_finished
        self._highest_seq: dict[str, int] = {}
        self._fenced_through: dict[tuple[str, str], int] = {}
        self._running: dict[TaskKey, TaskRecord] = {}
        self._finished: dict[TaskKey, TaskRecord] = {}

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return len(self._running)

    def admit(self, key: TaskKey, submission: str, index: int) -> Admission:
        """Decide on a request to start a task and record the start.

        :param key: the scheduler and its number for the task
        :param submission: the job's submission
        :param index: the task's position in the job
        :return: the decision; :attr:`Admission.FRESH` at most once per key
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
        """Prevent a task that has not started from ever starting.

        :param key: the scheduler and its number for the task
        :return: true if the task has not started; false if it may have, see
            :meth:`find`
        """
        if key.seq <= self._highest_seq.get(key.owner, -1):
            return False
        self._highest_seq[key.owner] = key.seq
        return True

    def find(self, key: TaskKey) -> TaskRecord | None:
        """Return the record of a started task, or none if it has none."""
        return self._running.get(key) or self._finished.get(key)

    def finish(self, key: TaskKey, finish: Finish) -> TaskRecord | None:
        """Record the end of a running task.

        :return: the task's record, or none if the task was not running
        """
        record = self._running.pop(key, None)
        if record is None:
            return None
        record.finish = finish
        self._finished[key] = record
        return record

    def undo_start(self, key: TaskKey) -> TaskRecord | None:
        """Undo a start that provably did not reach the endpoint.

        The sequence number stays used, so a repeated request is refused.

        :return: the task's record, or none if the task was not running
        """
        return self._running.pop(key, None)

    def fence(self, owner: str, front: str, through: int) -> list[TaskRecord]:
        """Refuse further starts by an owner for a front's earlier jobs.

        :param owner: incarnation of the lost scheduler
        :param front: incarnation of the front that recovers its jobs
        :param through: number of the last submission that is fenced
        :return: records of the front's tasks that the owner has started
        """
        known = self._fenced_through.get((owner, front), -1)
        self._fenced_through[owner, front] = max(known, through)
        return [
            record
            for table in (self._running, self._finished)
            for key, record in table.items()
            if key.owner == owner
            and submission_front(record.submission) == front
        ]

    def is_fenced(self, owner: str, submission: str) -> bool:
        """Return whether an owner's starts for a submission are fenced."""
        through = self._fenced_through.get(
            (owner, submission_front(submission)), -1
        )
        return submission_number(submission) <= through

    def expire(self, now: float) -> None:
        """Drop results past the retention or above the limit, oldest first."""
        while self._finished:
            key, record = next(iter(self._finished.items()))
            finish = record.finish
            assert finish is not None
            is_retained = now - finish.at < self._retention_s
            if is_retained and len(self._finished) <= self._max_finished:
                return
            del self._finished[key]
