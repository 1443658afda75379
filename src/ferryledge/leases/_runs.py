"""The runs that an agent's endpoint holds, or may hold.

A run takes room from the moment it is ordered until its end is proved: the
endpoint lists the end, or lists what runs without it after a stop or the
lease's end made sure that it can't start any more.
"""

from collections import abc
import enum

import msgspec

from ferryledge.leases import _speed
from ferryledge import wire


class RunState(enum.Enum):
    """How far a run is."""

    #: The order is on its way.
    ORDERED = "ordered"
    #: The endpoint said that it runs.
    RUNNING = "running"
    #: The order went without an answer.
    UNSURE = "unsure"
    #: It is to be stopped.
    STOPPING = "stopping"


class RunKey(msgspec.Struct, frozen=True):
    """Names a run at an endpoint."""

    job: str
    step: int
    index: int
    run: int

    @classmethod
    def of(cls, job: str, run: wire.TaskRun) -> "RunKey":
        """Return the key of a job's run."""
        return cls(job, run.step, run.index, run.run)

    @property
    def task_run(self) -> wire.TaskRun:
        """The run without its job."""
        return wire.TaskRun(self.step, self.index, self.run)


class RunRow(msgspec.Struct):
    """One run."""

    key: RunKey
    #: Incarnation of the entry that ordered it; empty is unknown.
    owner: str
    need: wire.Resources
    state: RunState
    #: Monotonic seconds of the order, or of when it was found.
    ordered_at: float
    #: The endpoint's clock in ms after which the order can't start it.
    expires_ms: int = 0
    #: When the endpoint confirmed the start, in monotonic seconds.
    confirmed_at: float | None = None
    #: When the last stop was sent and when one was confirmed.
    stop_sent_at: float | None = None
    stop_confirmed_at: float | None = None
    #: How often a stop was ordered.
    stops_sent: int = 0
    #: Why it is stopped, if it turns out that it never started.
    release_reason: wire.NotStarted | None = None
    #: Whether the endpoint listed it, since it started.
    listed: bool = False
    #: Its progress; none if its expected time is unknown.
    progress: _speed.RunProgress | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint is known to have had it."""
        return self.confirmed_at is not None


class RunTable:
    """All runs of one endpoint, and the room that they take."""

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
        """What all runs take together."""
        return self._held

    def find(self, key: RunKey) -> RunRow | None:
        """Return a run, or none."""
        return self._rows.get(key)

    def has_task(self, key: RunKey) -> bool:
        """Return whether any run of the key's task is here."""
        task = (key.job, key.step, key.index)
        return any(
            (row.job, row.step, row.index) == task for row in self._rows
        )

    def add(self, row: RunRow) -> None:
        """Add a run; it takes its room from now on."""
        self._rows[row.key] = row
        self._by_owner.setdefault(row.owner, {})[row.key] = row
        self._held = self._held.plus(row.need)

    def remove(self, key: RunKey) -> RunRow | None:
        """Remove a run that is over, and free its room."""
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

    def owners(self) -> list[str]:
        """Return the entries that ordered any of the runs."""
        return list(self._by_owner)

    def has_owner(self, owner: str) -> bool:
        """Return whether an entry ordered any of the runs."""
        return owner in self._by_owner
