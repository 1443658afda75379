"""The runs that an agent's endpoint holds, or may hold.

A run takes resources from its order until its end is certain: either the
endpoint lists the end, or it lists its runs without this one after a stop or
the end of the lease ensured that it can no longer start.
"""

from collections import abc
import enum

import msgspec

from ferryledge.leases import _speed
from ferryledge import wire


#: Job, step and index of a task.
TaskKey = tuple[str, int, int]


class RunState(enum.Enum):
    """The state of a run at an agent."""

    #: The order was sent to the endpoint.
    ORDERED = "ordered"
    #: The endpoint confirmed the start.
    RUNNING = "running"
    #: The order was not answered.
    UNSURE = "unsure"
    #: It is to be stopped.
    STOPPING = "stopping"


class RunKey(msgspec.Struct, frozen=True):
    """Identifies a run at an endpoint."""

    job: str
    step: int
    index: int
    run: int

    @classmethod
    def of(cls, job: str, run: wire.TaskRun) -> "RunKey":
        """Return the key of a job's run."""
        return cls(job, run.step, run.index, run.run)

    @property
    def task(self) -> TaskKey:
        """The task of the run."""
        return self.job, self.step, self.index

    @property
    def task_run(self) -> wire.TaskRun:
        """The run without its job."""
        return wire.TaskRun(self.step, self.index, self.run)


class RunRow(msgspec.Struct):
    """A run and what its agent knows of it."""

    key: RunKey
    #: Incarnation of the entry that ordered it; empty if unknown.
    owner: str
    need: wire.Resources
    state: RunState
    #: When it was ordered or first listed, in monotonic seconds.
    ordered_at: float
    #: Time on the endpoint's clock in ms after which the order can't start it.
    expires_ms: int = 0
    #: When the endpoint confirmed the start, in monotonic seconds.
    confirmed_at: float | None = None
    #: When the first stop was sent to the endpoint's current incarnation, in
    #: monotonic seconds.
    first_stop_sent_at: float | None = None
    #: Whether its stop was not confirmed in time, which is noted once.
    is_stop_overdue: bool = False
    #: When the last stop was sent, in monotonic seconds.
    stop_sent_at: float | None = None
    #: When its entry first requested its stop, in monotonic seconds.
    stop_requested_at: float | None = None
    #: When a stop was confirmed, in monotonic seconds.
    stop_confirmed_at: float | None = None
    #: The number of stops that were sent.
    stops_sent: int = 0
    #: The reason to report for its release if it never started.
    release_reason: wire.RunReleaseReason | None = None
    #: Whether the endpoint has listed it since its start.
    listed: bool = False
    #: Its progress; none if its expected run time is unknown.
    progress: _speed.RunProgress | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint confirmed its start."""
        return self.confirmed_at is not None


class RunTable:
    """The runs of an endpoint and the resources that they take."""

    def __init__(self) -> None:
        self._rows: dict[RunKey, RunRow] = {}
        self._by_owner: dict[str, dict[RunKey, RunRow]] = {}
        self._held = wire.Resources()

    def __iter__(self) -> abc.Iterator[RunRow]:
        return iter(list(self._rows.values()))

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def held(self) -> wire.Resources:
        """The resources of all runs together."""
        return self._held

    def find(self, key: RunKey) -> RunRow | None:
        """Return the run of this key, or ``None``."""
        return self._rows.get(key)

    def has_task(self, key: RunKey) -> bool:
        """Return whether there is any run of the task of a key."""
        task = key.task
        return any(row.task == task for row in self._rows)

    def of_job(self, job: str) -> list[RunRow]:
        """Return the runs of a job's tasks."""
        return [row for row in self._rows.values() if row.key.job == job]

    def add(self, row: RunRow) -> None:
        """Add a run and take its resources."""
        self._rows[row.key] = row
        self._by_owner.setdefault(row.owner, {})[row.key] = row
        self._held = self._held.plus(row.need)

    def remove(self, key: RunKey) -> RunRow | None:
        """Remove a run that is over and free its resources."""
        row = self._rows.pop(key, None)
        if row is not None:
            self._held = self._held.minus(row.need)
            of_owner = self._by_owner[row.owner]
            del of_owner[key]
            if not of_owner:
                del self._by_owner[row.owner]
        return row

    def clear(self) -> list[RunRow]:
        """Remove all runs and return them."""
        rows = list(self._rows.values())
        self._rows.clear()
        self._by_owner.clear()
        self._held = wire.Resources()
        return rows

    def of_owner(self, owner: str) -> list[RunRow]:
        """Return the runs that an entry ordered."""
        rows = self._by_owner.get(owner)
        return list(rows.values()) if rows else []

    def jobs_of_owner(self, owner: str) -> frozenset[str]:
        """Return the jobs of an entry's runs that are not being stopped."""
        return frozenset(
            row.key.job
            for row in self._by_owner.get(owner, {}).values()
            if row.state is not RunState.STOPPING
        )

    def owners(self) -> list[str]:
        """Return the incarnations of the entries that ordered the runs."""
        return list(self._by_owner)

    def has_owner(self, owner: str) -> bool:
        """Return whether an entry ordered any of the runs."""
        return owner in self._by_owner
