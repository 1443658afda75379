"""The agents that an entry can use, and the room at their endpoints."""

from collections import abc

import msgspec

from ferryledge.leases import _cordons
from ferryledge.leases import _speed
from ferryledge.leases import _timing
from ferryledge import wire

#: Seconds without a message after which an agent gets no new runs.
_QUIET_S = 0.45
#: The same for an agent that is asked seldom.
_FAR_QUIET_S = 0.7
#: Seconds between single runs on an endpoint that was slow.
_TRY_EVERY_S = 1.0
#: Seconds without a usable agent after which jobs are not kept waiting.
_HOPE_S = 2.0
#: Seconds after the first usable agent in which the others are likely to
#: come: after a loss of power all of them were back within 0.3 s of it.
_SETTLE_S = 0.4
_UNKNOWN = wire.EndpointState()


class AgentRow(msgspec.Struct):
    """One agent with its endpoint."""

    name: str
    incarnation: str
    #: Its availability zone.
    zone: str = ""
    connected: bool = True
    leaving: bool = False
    #: Whether it takes packed texts.
    packed_texts: bool = False
    #: Whether it told what it holds for this entry.
    reconciled: bool = False
    state: wire.EndpointState = _UNKNOWN
    heard_at: float = 0.0
    #: When this entry granted it the right to renew, last.
    granted_at: float = float("-inf")
    #: Number of its last ask for a grant.
    ask_seen: int = 0
    #: Number of the last ask that was answered, by an order or otherwise.
    ask_answered: int = 0
    #: When an ask was answered last.
    answered_at: float = float("-inf")
    #: Number of the last order.
    orders: int = 0
    #: What orders took that its last state does not account for.
    in_flight: dict[int, wire.Resources] = msgspec.field(default_factory=dict)
    #: Runs of this entry that it may hold, with their jobs' names.
    runs: set[tuple[str, wire.TaskRun]] = msgspec.field(default_factory=set)
    #: Whether its endpoint takes work by the judge of health.
    healthy: bool = True
    #: Whether it gets one task, whose end decides on its health.
    awaits_probe: bool = False
    #: Failure rate that its agent tells for callers of this zone.
    told_rate: float = 0.0
    #: Whether there is evidence against it for callers of this zone.
    is_suspect: bool = False
    #: Whether its zone takes no new work.
    cordoned: bool = False
    #: When a run was last tried on it while it was slow.
    tried_at: float = float("-inf")

    @property
    def free(self) -> wire.Resources:
        """Room that neither its state nor an order in flight takes."""
        free = self.state.free
        for need in self.in_flight.values():
            free = free.minus(need)
        return free

    @property
    def slow(self) -> bool:
        """Whether runs take far longer there than they should.

        One that is cold does what it should.
        """
        return (
            self.state.slowness >= _speed.SLOW_THRESHOLD
            and not self.state.cold
        )

    def may_try(self, now: float) -> bool:
        """Return whether a slow endpoint may get one run, to see."""
        idle = self.free == self.state.capacity
        return idle and now - self.tried_at > _TRY_EVERY_S

    def usable(self, now: float) -> bool:
        """Return whether new runs may be ordered there."""
        return (
            self.connected
            and self.reconciled
            and not self.leaving
            and not self.cordoned
            and self.healthy
            and self.state.accepting
            and self.is_heard(now)
        )

    def is_heard(self, now: float) -> bool:
        """Return whether the agent sent anything lately."""
        quiet_s = _QUIET_S if self.state.is_primary else _FAR_QUIET_S
        return now - self.heard_at < quiet_s


class Pool:
    """All agents that an entry knows.

    :param timing: the lease rule
    :param cordons: the availability zones that take no new work
    """

    def __init__(
        self, timing: _timing.LeaseTiming, cordons: _cordons.Cordons
    ) -> None:
        self._timing = timing
        self._cordons = cordons
        self._rows: dict[str, AgentRow] = {}
        #: When some agent was usable, last.
        self._usable_at: float | None = None
        #: When some agent became usable after none was.
        self._recovered_at = float("-inf")
        self._was_usable = False
        #: Whether the last usable agents went silent rather than away.
        self._went_silent = False

    def __iter__(self) -> abc.Iterator[AgentRow]:
        return iter(list(self._rows.values()))

    def find(self, name: str) -> AgentRow | None:
        """Return an agent, or none."""
        return self._rows.get(name)

    def join(self, now: float, hello: wire.Hello) -> AgentRow:
        """Note that an agent's stream is open."""
        row = self._rows.get(hello.name)
        if row is None:
            row = AgentRow(hello.name, hello.incarnation)
            self._rows[hello.name] = row
        row.incarnation = hello.incarnation
        row.zone = hello.zone
        row.cordoned = self._cordons.covers(hello.zone)
        row.connected = True
        row.leaving = hello.leaving
        row.packed_texts = hello.packed_texts
        row.reconciled = False
        row.state = _UNKNOWN
        row.heard_at = now
        row.orders = 0
        row.ask_seen = 0
        row.ask_answered = 0
        row.answered_at = float("-inf")
        row.in_flight.clear()
        return row

    def leave(self, name: str, incarnation: str) -> None:
        """Note that an agent's stream broke."""
        row = self._rows.get(name)
        if row is not None and row.incarnation == incarnation:
            row.connected = False
            row.reconciled = False

    def set_state(self, row: AgentRow, state: wire.EndpointState) -> None:
        """Take in what an agent says of its endpoint."""
        row.state = state
        seen = [n for n in row.in_flight if n <= state.orders_seen]
        for number in seen:
            del row.in_flight[number]

    def order(self, row: AgentRow, need: wire.Resources, count: int) -> int:
        """Take the room of an order and return the order's number."""
        row.orders += 1
        row.in_flight[row.orders] = wire.Resources().plus(need, count)
        return row.orders

    def must_answer(self, row: AgentRow, now: float) -> bool:
        """Return whether an agent's ask for a grant wants an answer now.

        Without runs there, an order brings its own grant; an answer now and
        then shows that this entry is alive.
        """
        idle_s = now - row.answered_at
        return bool(row.runs) or idle_s >= self._timing.idle_answer_every_s

    def silent(self, now: float) -> list[AgentRow]:
        """Return the connected agents that are silent for too long."""
        return [
            row
            for row in self._rows.values()
            if row.connected and now - row.heard_at > self._silence_s(row)
        ]

    def _silence_s(self, row: AgentRow) -> float:
        if row.state.is_primary or row.runs:
            return self._timing.silence_s
        return self._timing.far_silence_s

    def expired(self, now: float) -> list[AgentRow]:
        """Return agents without a stream whose runs must all be over."""
        return [
            row
            for row in self._rows.values()
            if row.runs
            and not row.connected
            and now - row.granted_at > self._timing.over_after_s
        ]

    def reset_silence_timers(self, now: float) -> None:
        """Start counting silence anew: this process was paused itself."""
        for row in self._rows.values():
            row.heard_at = now

    def apply_cordons(self) -> None:
        """Take in that other zones are cordoned than before."""
        for row in self._rows.values():
            row.cordoned = self._cordons.covers(row.zone)

    @property
    def all_cordoned(self) -> bool:
        """Whether no agent that is known may get new work."""
        rows = self._rows.values()
        return bool(rows) and all(row.cordoned for row in rows)

    def is_usable(self, now: float) -> bool:
        """Return whether some endpoint takes work."""
        return any(row.usable(now) for row in self._rows.values())

    def note_usable(self, now: float) -> None:
        """Note whether some endpoint takes work; to be called often."""
        usable = self.is_usable(now)
        if usable and not self._was_usable:
            self._recovered_at = now
        if self._was_usable and not usable:
            self._went_silent = self._is_silent(now)
        self._was_usable = usable
        if usable or self._usable_at is None:
            self._usable_at = now

    def _is_silent(self, now: float) -> bool:
        """Return whether agents say nothing on streams that are open."""
        return any(
            row.connected and row.reconciled and not row.is_heard(now)
            for row in self._rows.values()
        )

    def may_recover(self, now: float) -> bool:
        """Return whether agents are likely to come back soon.

        Those that were killed are; where all went silent this entry is cut
        off from them, and other entries serve its clients: a job waited 1.4 s
        for its refusal, and waits a quarter of its objective now.
        """
        if self.is_usable(now):
            return now - self._recovered_at < _SETTLE_S
        if self.all_cordoned:
            return False
        if self._usable_at is None or self._went_silent:
            return False
        return now - self._usable_at < _HOPE_S

    def sharing_entries(self, now: float, service: str | None = None) -> float:
        """Return how many entries share a core that can be used.

        :param now: monotonic seconds
        :param service: the endpoints'; none is any
        """
        cores = 0.0
        parts = 0.0
        for row in self._usable(now, service):
            cores += row.state.capacity.cpu_millis
            parts += row.state.capacity.cpu_millis / row.state.entries
        return cores / parts if parts else 1.0

    def _usable(
        self, now: float, service: str | None
    ) -> abc.Iterator[AgentRow]:
        for row in self._rows.values():
            if service in (None, row.state.service) and row.usable(now):
                yield row

    def capacity_cores(self, now: float, service: str | None = None) -> float:
        """Return the cores of the endpoints that can be used.

        :param now: monotonic seconds
        :param service: theirs; none is any
        """
        return sum(
            row.state.capacity.cpu_millis / 1000.0
            for row in self._usable(now, service)
        )

    def free_cores(self, now: float, service: str) -> float:
        """Return the cores of usable endpoints on which nothing runs."""
        return sum(
            max(0, row.free.cpu_millis) / 1000.0
            for row in self._usable(now, service)
        )

    def leaving_cores(
        self, now: float, service: str
    ) -> abc.Iterator[tuple[float, float]]:
        """Yield when usable endpoints go, in seconds, and with what cores."""
        for row in self._usable(now, service):
            if row.state.remaining_s:
                left_s = row.state.remaining_s - (now - row.heard_at)
                yield max(0.0, left_s), row.state.capacity.cpu_millis / 1000.0

    def returning_cores(
        self, now: float, service: str
    ) -> abc.Iterator[tuple[float, float]]:
        """Yield when lost agents are likely back, in seconds, with what cores.

        Those that were killed are back within the time for which jobs are
        kept where no agent is left.
        """
        for row in self._rows.values():
            gone_s = now - row.heard_at
            is_lost = not row.connected and not row.leaving
            if service != row.state.service or row.cordoned or not is_lost:
                continue
            if row.state.accepting and gone_s < _HOPE_S:
                yield _HOPE_S - gone_s, row.state.capacity.cpu_millis / 1000.0
