"""Remembers the runs that count as over though no agent reported their end.

If the agent of such a run lists it or reports its end later, the run's task
may have been started again too early.
"""

import enum

import msgspec

from ferryledge import wire

#: Maximum number of runs that are remembered; the oldest ones are dropped.
_MAX_RUNS = 2000
#: Seconds for which a run is remembered.
_KEEP_S = 30.0


class EndSource(enum.Enum):
    """How an entry learned that a run is over."""

    #: Its agent reported the end.
    AGENT = "agent"
    #: Its agent's list of runs lacks it.
    LIST = "list"
    #: The agent got no grant for longer than any lease.
    PRESUMED = "presumed"


class PresumedEnd(msgspec.Struct):
    """A run that was counted as over."""

    source: EndSource
    #: When it was counted as over, in monotonic seconds.
    at: float
    #: Seconds from its order until then.
    held_s: float
    #: Whether its agent has listed it as active since.
    was_listed: bool = False


class PresumedEnds:
    """The runs that were counted as over recently."""

    def __init__(self) -> None:
        #: By agent, job and run; in the order in which they were added.
        self._ends: dict[tuple[str, str, wire.TaskRun], PresumedEnd] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def add(
        self, agent: str, job: str, run: wire.TaskRun, end: PresumedEnd
    ) -> None:
        """Remember a run, and drop those that are too old or too many."""
        self._ends.pop((agent, job, run), None)
        self._ends[agent, job, run] = end
        while (
            len(self._ends) > _MAX_RUNS
            or end.at - next(iter(self._ends.values())).at > _KEEP_S
        ):
            del self._ends[next(iter(self._ends))]

    def find(
        self, now: float, agent: str, job: str, run: wire.TaskRun
    ) -> PresumedEnd | None:
        """Return how a run was counted as over; ``None`` if it was not."""
        end = self._ends.get((agent, job, run))
        if end is None or now - end.at > _KEEP_S:
            return None
        return end

    def remove(self, agent: str, job: str, run: wire.TaskRun) -> None:
        """Forget a run, if it is remembered."""
        self._ends.pop((agent, job, run), None)
