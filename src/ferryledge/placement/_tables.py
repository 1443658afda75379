"""The scheduler's table of endpoints and of tasks bound to them."""

from collections import abc
import dataclasses


@dataclasses.dataclass(slots=True)
class Binding:
    """A task that is bound to an endpoint until its end is known."""

    #: The scheduler's sequence number of the task.
    seq: int
    submission: str
    #: The task's position in the job.
    index: int
    endpoint: str
    #: When the task was sent, in monotonic seconds.
    sent_at: float
    #: Expected run time in seconds at normal speed.
    expected_s: float
    declared_s: float = 0.0
    memory_mb: int = 0
    #: Whether the task's end is reported at once.
    report_each: bool = True


@dataclasses.dataclass(slots=True)
class EndpointRow:
    """The scheduler's record of an endpoint."""

    name: str
    incarnation: str
    zone: str
    slots: int
    connections: int
    memory_mb: int
    #: Process key of the endpoint's agent, made of name and incarnation.
    process: str = ""
    connected: bool = True
    leaving: bool = False
    #: Whether the endpoint's zone is cordoned.
    cordoned: bool = False
    #: Whether this scheduler may use the endpoint.
    assigned: bool = True
    #: Whether the endpoint is silent or overdue with work outstanding.
    is_suspect: bool = False
    #: Whether health checks keep the endpoint out of use.
    ejected: bool = False
    #: Until when no task is bound, after it was busy or unreachable.
    blocked_until: float = 0.0
    #: Slots that other schedulers use, by the last report.
    foreign_slots: int = 0
    #: When that report expires.
    foreign_slots_until: float = 0.0
    #: When the stream to the endpoint's agent broke.
    lost_at: float = 0.0
    #: Time of the last reported end of a task, or of the last idle state.
    progress_at: float = 0.0
    memory_used: int = 0
    bound: dict[int, Binding] = dataclasses.field(default_factory=dict)
    #: Slots of this row in the table's sum of usable slots.
    counted_slots: int = 0

    @property
    def free(self) -> int:
        """Number of tasks that can be bound now."""
        if not self.usable:
            return 0
        limit = min(self.slots, self.connections)
        return max(0, limit - len(self.bound) - self.foreign_slots)

    @property
    def usable(self) -> bool:
        """Whether the endpoint may take new work."""
        return (self.connected and self.assigned) and not (
            self.leaving or self.is_suspect or self.ejected or self.cordoned
        )

    def task_capacity(self, memory_mb: int) -> int:
        """Return the number of tasks of a memory size that can be bound now.

        :param memory_mb: memory of one task in MB; 0 is not counted
        """
        if not memory_mb or not self.memory_mb:
            return self.free
        by_memory = (self.memory_mb - self.memory_used) // memory_mb
        return max(0, min(self.free, by_memory))


class EndpointTable:
    """The endpoints of a pool, with an index of those with free slots."""

    def __init__(self) -> None:
        self._rows: dict[str, EndpointRow] = {}
        self._available: dict[str, EndpointRow] = {}
        self._bound = 0
        self._slots = 0
        self._foreign_slots = 0
        self._zones: frozenset[str] | None = None
        self._cordons: frozenset[str] = frozenset()

    @property
    def zones(self) -> frozenset[str]:
        """The zones that have endpoints."""
        if self._zones is None:
            self._zones = frozenset(row.zone for row in self)
        return self._zones

    @property
    def bound(self) -> int:
        """Number of bound tasks."""
        return self._bound

    @property
    def load(self) -> float:
        """Share of the usable slots in use, from 0 to 1."""
        if not self._slots:
            return 1.0
        return min(1.0, (self._bound + self._foreign_slots) / self._slots)

    @property
    def slots(self) -> int:
        """Number of slots of all usable endpoints."""
        return self._slots

    def __iter__(self) -> abc.Iterator[EndpointRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, name: str) -> EndpointRow | None:
        """Return the row of an endpoint, or none."""
        return self._rows.get(name)

    def put(self, row: EndpointRow) -> None:
        """Add or replace an endpoint."""
        self.drop(row.name)
        self._rows[row.name] = row
        self._bound += len(row.bound)
        row.cordoned = row.zone in self._cordons
        self.refresh(row)

    def set_cordons(self, zones: frozenset[str]) -> None:
        """Replace the cordoned availability zones, which take no new tasks."""
        self._cordons = zones
        for row in self._rows.values():
            row.cordoned = row.zone in zones
            self.refresh(row)

    def drop(self, name: str) -> None:
        """Remove an endpoint."""
        row = self._rows.pop(name, None)
        self._available.pop(name, None)
        self._zones = None
        if row is not None:
            self._bound -= len(row.bound)
            self._slots -= row.counted_slots
            self._foreign_slots -= row.foreign_slots

    def note_busy(self, row: EndpointRow, busy: int, until: float) -> None:
        """Record the number of used slots that an endpoint reports.

        :param row: the endpoint
        :param busy: slots in use by all schedulers
        :param until: when the report expires, in monotonic seconds
        """
        foreign_slots = max(0, busy - len(row.bound))
        self._foreign_slots += foreign_slots - row.foreign_slots
        row.foreign_slots = foreign_slots
        row.foreign_slots_until = until
        self.refresh(row)

    def expire_foreign_slots(self, now: float) -> None:
        """Drop expired reports of slots that other schedulers use."""
        for row in self._rows.values():
            if row.foreign_slots and row.foreign_slots_until <= now:
                self._foreign_slots -= row.foreign_slots
                row.foreign_slots = 0
                self.refresh(row)

    def refresh(self, row: EndpointRow) -> None:
        """Update sums and index after a row's fields changed."""
        usable_slots = min(row.slots, row.connections) if row.usable else 0
        self._slots += usable_slots - row.counted_slots
        row.counted_slots = usable_slots
        if row.free:
            self._available[row.name] = row
        else:
            self._available.pop(row.name, None)

    def available_rows(self, now: float) -> list[EndpointRow]:
        """Return the endpoints with free slots that aren't paused."""
        return [
            row for row in self._available.values() if row.blocked_until <= now
        ]

    def bind(self, binding: Binding) -> None:
        """Record a task as bound to its endpoint."""
        row = self._rows[binding.endpoint]
        row.bound[binding.seq] = binding
        row.memory_used += binding.memory_mb
        self._bound += 1
        if not row.free:
            self._available.pop(row.name, None)

    def unbind(self, name: str, seq: int) -> Binding | None:
        """Remove a task that ended or was released.

        :return: its binding, or none if the task was not bound
        """
        row = self._rows.get(name)
        if row is None:
            return None
        binding = row.bound.pop(seq, None)
        if binding is None:
            return None
        row.memory_used -= binding.memory_mb
        self._bound -= 1
        if row.free:
            self._available[name] = row
        return binding
