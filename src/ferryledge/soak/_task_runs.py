"""Records the runs of each task, as endpoints and agents tell of them."""

import collections
import dataclasses

from ferryledge import leases
from ferryledge import wire

#: Seconds after an agent acknowledged the end of a run after which its entry
#: has heard of it too, and may not start its task again.
HEARD_AFTER_S = 1.0

Task = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class RunRecord:
    """What is known of a run; times are seconds of the load."""

    key: leases.RunKey
    endpoint: str
    started_at: float
    #: When the agent first ordered it to stop.
    stop_ordered_at: float | None = None
    #: Stops that its endpoint did not carry out.
    stops_ignored: int = 0
    ended_at: float | None = None
    #: How it ended; none if it is active or its endpoint went down.
    how: wire.RunOutcome | None = None
    #: When the agent acknowledged its end.
    acknowledged_at: float | None = None

    def describe(self) -> str:
        """Return what is known of it, for the detail of a finding."""
        parts = [
            f"run {self.key.run} at {self.endpoint}",
            f"started {self.started_at:.3f}",
        ]
        if self.stop_ordered_at is None:
            parts.append("never stopped")
        else:
            parts.append(f"stop ordered {self.stop_ordered_at:.3f}")
        if self.stops_ignored:
            parts.append(f"{self.stops_ignored} stops ignored")
        if self.ended_at is None:
            parts.append("active")
        else:
            how = self.how or "lost with its endpoint"
            parts.append(f"ended {self.ended_at:.3f} as {how}")
        if self.acknowledged_at is not None:
            parts.append(f"acknowledged {self.acknowledged_at:.3f}")
        return ", ".join(parts)


class TaskRuns:
    """All runs of a soak, by task."""

    def __init__(self) -> None:
        self._runs: dict[Task, list[RunRecord]] = collections.defaultdict(list)

    def start(
        self, now: float, key: leases.RunKey, endpoint: str
    ) -> tuple[RunRecord, list[RunRecord]]:
        """Add a run; return it and the earlier ones of its task."""
        run = RunRecord(key, endpoint, now)
        runs = self._runs[task_of(key)]
        earlier = list(runs)
        runs.append(run)
        return run, earlier

    def find(self, key: leases.RunKey, endpoint: str) -> RunRecord | None:
        """Return the newest run with that key at an endpoint, if any."""
        for run in reversed(self._runs.get(task_of(key), ())):
            if run.key == key and run.endpoint == endpoint:
                return run
        return None

    def last(self, key: leases.RunKey) -> RunRecord | None:
        """Return the run that was the last to start of a task, if any."""
        runs = self._runs.get(task_of(key))
        return runs[-1] if runs else None

    def last_ended(self, key: leases.RunKey) -> RunRecord | None:
        """Return the run with that key that was the last to end, if any."""
        ended = [
            run
            for run in self._runs.get(task_of(key), ())
            if run.key == key and run.ended_at is not None
        ]
        return max(ended, key=lambda run: run.ended_at or 0.0, default=None)


def task_of(key: leases.RunKey) -> Task:
    """Return the task of a run."""
    return (key.job, key.step, key.index)


def must_be_heard(run: RunRecord, now: float) -> bool:
    """Return whether its entry must have heard that a run is done."""
    return (
        run.how is wire.RunOutcome.DONE
        and run.acknowledged_at is not None
        and now - run.acknowledged_at > HEARD_AFTER_S
    )
