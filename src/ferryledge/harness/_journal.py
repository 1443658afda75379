"""The endpoints' own record of starts."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One task that an endpoint started."""

    at: float
    endpoint: str
    submission: str
    #: The task's payload, unique for each task that a client submits.
    payload: bytes
    #: Counts the starts of the agent's process.
    life: int = 0


class Journal:
    """All starts of a run."""

    def __init__(self) -> None:
        self._starts: list[Start] = []
        self._counts: collections.Counter[bytes] = collections.Counter()

    @property
    def starts(self) -> list[Start]:
        """All starts, in order."""
        return self._starts

    def note(self, start: Start) -> None:
        """Record a start."""
        self._starts.append(start)
        self._counts[start.payload] += 1

    def count(self, payload: bytes) -> int:
        """Return how often a payload was started."""
        return self._counts[payload]

    def doubles(self) -> list[bytes]:
        """Return the payloads that were started more than once."""
        return [key for key, count in self._counts.items() if count > 1]
