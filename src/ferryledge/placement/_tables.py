"""The scheduler's table of endpoints and of the tasks bound to them."""

from collections import abc
import dataclasses


@dataclasses.dataclass(slots=True)
class Binding:
    """One task bound to one endpoint, until its end is known."""

    seq: int
    submission: str
    index: int
    endpoint: str
    #: When it was sent, in monotonic seconds.
    sent_at: float
    #: Expected run time in seconds at normal speed.
    expected_s: float
    declared_s: float = 0.0
    memory_mb: int = 0
    #: Whether its end is reported at once.
    report_each: bool = True


@dataclasses.dataclass(slots=True)
class EndpointRow:
    """What the scheduler knows of one endpoint."""

    name: str
    incarnation: str
    zone: str
    slots: int
    connections: int
    memory_mb: int
    #: Names this incarnation of the process; see the wire's process key.
    process: str = ""
    connected: bool = True
    leaving: bool = False
    #: Whether its zone takes no new work.
    cordoned: bool = False
    #: Whether this scheduler may use it: it is of its pools, or its own.
    assigned: bool = True
    #: Whether it has gone silent or overdue with work outstanding.
    is_suspect: bool = False
    #: Whether the health judge holds it back.
    ejected: bool = False
    #: Not to be used before then: it said that it is full.
    blocked_until: float = 0.0
    #: Slots that other schedulers use, as last told, and until when that
    #: is assumed.
    foreign: int = 0
    foreign_until: float = 0.0
    #: When the stream broke.
    lost_at: float = 0.0
    #: When it last reported a task's end, or was last idle.
    progress_at: float = 0.0
    memory_used: int = 0
    bound: dict[int, Binding] = dataclasses.field(default_factory=dict)
    #: Slots that the table counts as usable.
    counted: int = 0

    @property
    def free(self) -> int:
        """Tasks that can be bound to it now."""
        if not self.usable:
            return 0
        limit = min(self.slots, self.connections)
        return max(0, limit - len(self.bound) - self.foreign)

    @property
    def usable(self) -> bool:
        """Whether new work may go there at all."""
        return (self.connected and self.assigned) and not (
            self.leaving or self.is_suspect or self.ejected or self.cordoned
        )

    def task_capacity(self, memory_mb: int) -> int:
        """Return how many tasks of that memory can be bound now."""
        if not memory_mb or not self.memory_mb:
            return self.free
        room = (self.memory_mb - self.memory_used) // memory_mb
        return max(0, min(self.free, room))


class EndpointTable:
    """All endpoints of a pool; keeps those with free slots at hand."""

    def __init__(self) -> None:
        self._rows: dict[str, EndpointRow] = {}
        self._open: dict[str, EndpointRow] = {}
        self._bound = 0
        self._slots = 0
        self._foreign = 0
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
        """Tasks that are bound to some endpoint."""
        return self._bound

    @property
    def load(self) -> float:
        """Share of the usable slots in use, from 0 to 1."""
        if not self._slots:
            return 1.0
        return min(1.0, (self._bound + self._foreign) / self._slots)

    @property
    def slots(self) -> int:
        """Slots of all usable endpoints."""
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
        """Bind nothing new in these availability zones."""
        self._cordons = zones
        for row in self._rows.values():
            row.cordoned = row.zone in zones
            self.refresh(row)

    def drop(self, name: str) -> None:
        """Remove an endpoint."""
        row = self._rows.pop(name, None)
        self._open.pop(name, None)
        self._zones = None
        if row is not None:
            self._bound -= len(row.bound)
            self._slots -= row.counted
            self._foreign -= row.foreign

    def note_busy(self, row: EndpointRow, busy: int, until: float) -> None:
        """Take in how many slots an endpoint says are in use.

        :param row: the endpoint
        :param busy: slots in use, for whichever scheduler
        :param until: how long to assume others' use
        """
        foreign = max(0, busy - len(row.bound))
        self._foreign += foreign - row.foreign
        row.foreign = foreign
        row.foreign_until = until
        self.refresh(row)

    def expire_foreign_slots(self, now: float) -> None:
        """Drop assumptions on others' use that are too old."""
        for row in self._rows.values():
            if row.foreign and row.foreign_until <= now:
                self._foreign -= row.foreign
                row.foreign = 0
                self.refresh(row)

    def refresh(self, row: EndpointRow) -> None:
        """Note that a row's fields changed."""
        usable = min(row.slots, row.connections) if row.usable else 0
        self._slots += usable - row.counted
        row.counted = usable
        if row.free:
            self._open[row.name] = row
        else:
            self._open.pop(row.name, None)

    def available_rows(self, now: float) -> list[EndpointRow]:
        """Return the endpoints with free slots that may be used now."""
        return [row for row in self._open.values() if row.blocked_until <= now]

    def bind(self, binding: Binding) -> None:
        """Record a task that goes to an endpoint."""
        row = self._rows[binding.endpoint]
        row.bound[binding.seq] = binding
        row.memory_used += binding.memory_mb
        self._bound += 1
        if not row.free:
            self._open.pop(row.name, None)

    def unbind(self, name: str, seq: int) -> Binding | None:
        """Remove a task whose end, or release, is known."""
        row = self._rows.get(name)
        if row is None:
            return None
        binding = row.bound.pop(seq, None)
        if binding is None:
            return None
        row.memory_used -= binding.memory_mb
        self._bound -= 1
        if row.free:
            self._open[name] = row
        return binding
