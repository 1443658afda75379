"""A journal of the tasks that endpoints started, read by tests."""

import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class StartEntry:
    """One task that an endpoint started."""

    endpoint: str
    submission: str
    task: int
    #: The label that the client gave the job.
    label: str
    #: The beginning of the task's payload.
    payload: str


class StartJournal:
    """Records starts in memory and optionally in a file.

    :param path: file to append to, one JSON object per line; defaults to no
        file
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._entries: list[StartEntry] = []
        self._file = path.open("a", buffering=1) if path else None

    @property
    def entries(self) -> list[StartEntry]:
        """All starts so far."""
        return self._entries

    def record(self, entry: StartEntry) -> None:
        """Record a start; call it before the task runs."""
        self._entries.append(entry)
        if self._file is not None:
            line = json.dumps(dataclasses.asdict(entry))
            self._file.write(line + "\n")

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()
