"""The runs of each task, and which of them should not have been started."""

import collections
import dataclasses

from ferryledge import leases
from ferryledge import wire

#: Seconds from the acknowledgement of a task's end as done after which it may
#: not be started again.
NOTED_S = 1.0

Task = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class TaskRun:
    """A run, in seconds of the load."""

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
        """Return what is known of it, for people."""
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
        self._runs: dict[Task, list[TaskRun]] = collections.defaultdict(list)

    def start(
        self, now: float, key: leases.RunKey, endpoint: str
    ) -> tuple[TaskRun, list[TaskRun]]:
        """Add a run; return it and the earlier ones of its task."""
        run = TaskRun(key, endpoint, now)
        runs = self._runs[task_of(key)]
        earlier = list(runs)
        runs.append(run)
        return run, earlier

    def find(self, key: leases.RunKey, endpoint: str) -> TaskRun | None:
        """Return the newest run with that key at an endpoint, if any."""
        for run in reversed(self._runs.get(task_of(key), ())):
            if run.key == key and run.endpoint == endpoint:
                return run
        return None

    def last(self, key: leases.RunKey) -> TaskRun | None:
        """Return the run that was the last to start of a task, if any."""
        runs = self._runs.get(task_of(key))
        return runs[-1] if runs else None

    def last_ended(self, key: leases.RunKey) -> TaskRun | None:
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


def was_noted(run: TaskRun, now: float) -> bool:
    """Return whether a run's end as done has been noted for long."""
    return (
        run.how is wire.RunOutcome.DONE
        and run.acknowledged_at is not None
        and now - run.acknowledged_at > NOTED_S
    )
