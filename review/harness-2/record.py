"""Writes what was sent, answered and run, and finds broken rules."""

import pathlib
import time


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
        #: Starts that brought an executor over its room.
        self.starts_over_room: list[str] = []
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

    def over_room(self, text: str) -> None:
        """Record a start that brought an executor over its room."""
        self.starts_over_room.append(text)
        self.note("OVER", text)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
