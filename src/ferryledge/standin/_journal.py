"""The endpoints' own record of starts, which proofs read."""

import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class StartEntry:
    """One task that an endpoint started."""

    endpoint: str
    submission: str
    task: int
    #: The client's own name for the job.
    label: str
    #: What the payload asked for.
    payload: str


class StartJournal:
    """Keeps starts in memory and, if asked, in a file.

    :param path: file to append to, one JSON object a line; none for none
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._entries: list[StartEntry] = []
        self._file = path.open("a", buffering=1) if path else None

    @property
    def entries(self) -> list[StartEntry]:
        """All starts so far."""
        return self._entries

    def note(self, entry: StartEntry) -> None:
        """Record a start before anything else happens."""
        self._entries.append(entry)
        if self._file is not None:
            line = json.dumps(dataclasses.asdict(entry))
            self._file.write(line + "\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
