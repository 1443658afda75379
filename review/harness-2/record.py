"""Writes what was sent, answered and run, and finds broken rules."""

import pathlib
import time

#: cancel_ms of the settings.
CANCEL_S = 3.0


class Record:
    """The record of one play.

    :param path: the file to write
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        #: Runs at work on executors that are up, by task.
        self._alive: dict[str, list[tuple[str, int, float]]] = {}
        #: Runs of one task that were at work at the same time.
        self.overlaps: list[str] = []
        #: When the cancel of each job was answered with 2xx.
        self._cancelled_at: dict[str, float] = {}
        #: Starts of tasks too long after the cancel of their job.
        self.starts_after_cancel: list[str] = []
        self._open_overlaps: dict[tuple[str, frozenset], float] = {}
        self.longest_overlap_s = 0.0

    def now(self) -> float:
        """Return seconds from the begin of the record."""
        return time.monotonic() - self._began

    def note(self, kind: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {kind:<9} {text}\n")
        self._file.flush()

    def started(self, executor: str, task: str, run: int) -> None:
        """Record that a run began."""
        now = self.now()
        self.note("start", f"{task} run {run} on {executor}")
        self._check_cancel(executor, task, run)
        alive = self._alive.setdefault(task, [])
        for other, other_run, since in alive:
            text = (
                f"{task}: run {run} began on {executor} while run {other_run}"
                f" of {since:.3f} was at work on {other}"
            )
            self.overlaps.append(text)
            self.note("OVERLAP", text)
            both = frozenset({(executor, run), (other, other_run)})
            self._open_overlaps[task, both] = now
        alive.append((executor, run, now))

    def ended(self, executor: str, task: str, run: int, how: str) -> None:
        """Record that a run is over, or went down with its executor."""
        now = self.now()
        self.note("end", f"{task} run {run} on {executor}: {how}")
        alive = self._alive.get(task, [])
        alive[:] = [
            row for row in alive if (row[0], row[1]) != (executor, run)
        ]
        for task_both, since in list(self._open_overlaps.items()):
            if task_both[0] == task and (executor, run) in task_both[1]:
                del self._open_overlaps[task_both]
                length = now - since
                self.longest_overlap_s = max(self.longest_overlap_s, length)
                self.note("overlap", f"{task}: lasted {length:.3f} s")

    def cancelled(self, job: str, status: int) -> None:
        """Record the answer to the cancel of a job."""
        self.note("cancel", f"{job}: {status}")
        if 200 <= status < 300:
            self._cancelled_at[job] = self.now()

    def _check_cancel(self, executor: str, task: str, run: int) -> None:
        cancelled_at = self._cancelled_at.get(task.partition(".")[0])
        if cancelled_at is None:
            return
        after_s = self.now() - cancelled_at
        if after_s > CANCEL_S:
            text = (
                f"{task} run {run} began on {executor} {after_s:.3f} s after"
                " the answer to the cancel of its job"
            )
            self.starts_after_cancel.append(text)
            self.note("UNASKED", text)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
