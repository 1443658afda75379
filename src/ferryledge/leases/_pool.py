"""The agents that an entry knows, and the capacity of their endpoints."""

from collections import abc

import msgspec

from ferryledge.leases import _cordons
from ferryledge.leases import _speed
from ferryledge.leases import _timing
from ferryledge import wire

#: Seconds without a message after which an agent gets no new runs.
_RECENT_S = 0.45
#: The same for an agent that reports to this entry less often.
_SECONDARY_RECENT_S = 0.7
#: Seconds between trial runs on a slow endpoint.
_TRIAL_INTERVAL_S = 1.0
#: Seconds for which jobs are kept waiting after the last usable agent is lost.
_RECOVERY_S = 2.0
#: Seconds after the first usable agent within which the others are expected.
#: After a power failure they return within 0.3 s of it.
_SETTLE_S = 0.4
#: Seconds for which an agent's last report is kept for its successor. An agent
#: is restarted sooner, and another start in between has no time to hear much.
_RECALL_S = 3.0
_UNKNOWN = wire.EndpointState()


class AgentRow(msgspec.Struct):
    """An agent and the state of its endpoint, as this entry knows them."""

    name: str
    incarnation: str
    #: Its availability zone.
    zone: str = ""
    connected: bool = True
    leaving: bool = False
    #: Whether it accepts compressed texts.
    packed_texts: bool = False
    #: Whether it listed the runs that it holds for this entry.
    reconciled: bool = False
    state: wire.EndpointState = _UNKNOWN
    #: The last state with a known capacity; none if this entry may have
    #: missed a later one.
    last_report: wire.EndpointState | None = None
    heard_at: float = 0.0
    #: When this entry last granted it the right to renew leases.
    granted_at: float = float("-inf")
    #: Number of its last request for a grant.
    ask_seen: int = 0
    #: Number of the last request that was answered, by an order or a grant.
    ask_answered: int = 0
    #: When a request was last answered.
    answered_at: float = float("-inf")
    #: Number of the last order.
    orders: int = 0
    #: Resources of the orders that its last state does not include yet, by
    #: order number.
    in_flight: dict[int, wire.Resources] = msgspec.field(default_factory=dict)
    #: Runs of this entry that it may hold, each with the name of its job.
    runs: set[tuple[str, wire.TaskRun]] = msgspec.field(default_factory=set)
    #: Jobs that run at its endpoint for other entries.
    other_jobs: set[str] = msgspec.field(default_factory=set)
    #: Whether the health tracker lets its endpoint take work.
    healthy: bool = True
    #: Whether its next task is a probe, whose end decides on its health.
    awaits_probe: bool = False
    #: Failure rate that its agent reports for callers of this zone.
    reported_failure_rate: float = 0.0
    #: Whether its failure rate for callers of this zone is high.
    is_suspect: bool = False
    #: Whether its zone takes no new work.
    cordoned: bool = False
    #: When a trial run was last ordered there while it was slow.
    trial_at: float = float("-inf")

    @property
    def free(self) -> wire.Resources:
        """Free resources, less those of orders in flight."""
        free = self.state.free
        for need in self.in_flight.values():
            free = free.minus(need)
        return free

    @property
    def slow(self) -> bool:
        """Whether runs take far longer there than expected.

        A cold endpoint is expected to be slow.
        """
        return (
            self.state.slowness >= _speed.SLOW_THRESHOLD
            and not self.state.cold
        )

    def may_run_trial(self, now: float) -> bool:
        """Return whether a slow endpoint may get a trial run."""
        idle = self.free == self.state.capacity
        return idle and now - self.trial_at > _TRIAL_INTERVAL_S

    def usable(self, now: float) -> bool:
        """Return whether new runs may be ordered at its endpoint."""
        return (
            self.connected
            and self.reconciled
            and not self.leaving
            and not self.cordoned
            and self.healthy
            and self.state.accepting
            and self.heard_recently(now)
        )

    def heard_recently(self, now: float) -> bool:
        """Return whether the agent sent a message recently."""
        max_age_s = _RECENT_S if self.state.is_primary else _SECONDARY_RECENT_S
        return now - self.heard_at < max_age_s


class Pool:
    """All agents that an entry knows.

    :param timing: the timing of leases
    :param cordons: the availability zones that take no new work
    """

    def __init__(
        self, timing: _timing.LeaseTiming, cordons: _cordons.Cordons
    ) -> None:
        self._timing = timing
        self._cordons = cordons
        self._rows: dict[str, AgentRow] = {}
        #: When an agent was last usable, or when this was first checked.
        self._usable_at: float | None = None
        #: When an agent last became usable after none had been.
        self._recovered_at = float("-inf")
        self._was_usable = False
        #: Whether the last usable agents fell silent on open streams.
        self._fell_silent = False

    def __iter__(self) -> abc.Iterator[AgentRow]:
        return iter(list(self._rows.values()))

    def find(self, name: str) -> AgentRow | None:
        """Return the agent of this name, or ``None``."""
        return self._rows.get(name)

    def join(self, now: float, hello: wire.Hello) -> AgentRow:
        """Register an agent whose stream was opened."""
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
        row.other_jobs.clear()
        return row

    def leave(self, now: float, name: str, incarnation: str) -> None:
        """Note that the stream of an agent was closed."""
        row = self._rows.get(name)
        if row is not None and row.incarnation == incarnation:
            row.connected = False
            row.reconciled = False
            if not row.heard_recently(now):
                row.last_report = None

    def recall_report(
        self, now: float, hello: wire.Hello
    ) -> wire.RecalledReport | None:
        """Return what the predecessor of an agent last reported, if known.

        To be called before the agent joins.

        :param now: monotonic seconds
        :param hello: the agent's greeting
        """
        row = self._rows.get(hello.name)
        if row is None or row.incarnation == hello.incarnation:
            return None
        report = row.last_report
        is_old = now - row.heard_at > _RECALL_S
        was_cut_off = row.connected and not row.heard_recently(now)
        if report is None or is_old or was_cut_off:
            row.last_report = None
            return None
        return wire.RecalledReport(
            report.incarnation,
            report.service,
            report.labels,
            report.capacity,
            report.draining,
        )

    def set_state(self, row: AgentRow, state: wire.EndpointState) -> None:
        """Store the reported state of an endpoint.

        Orders that the state includes are no longer in flight.
        """
        row.state = state
        if state.is_room_known:
            row.last_report = state
        row.other_jobs.difference_update(state.jobs_removed)
        row.other_jobs.update(state.jobs_added)
        seen = [n for n in row.in_flight if n <= state.orders_seen]
        for number in seen:
            del row.in_flight[number]

    def find_other_run(self, job: str) -> AgentRow | None:
        """Return an agent that runs a job for another entry, if any does.

        What an agent reported counts while its stream is open.
        """
        for row in self._rows.values():
            if job in row.other_jobs and row.connected:
                return row
        return None

    def reserve(self, row: AgentRow, need: wire.Resources, count: int) -> int:
        """Reserve resources for an order of equal runs.

        :return: the number of the order
        """
        row.orders += 1
        row.in_flight[row.orders] = wire.Resources().plus(need, count)
        return row.orders

    def must_answer(self, row: AgentRow, now: float) -> bool:
        """Return whether an agent's request for a grant is answered now.

        An agent without runs needs no grant, since each order brings one. It
        is still answered from time to time, as a keep-alive.
        """
        idle_s = now - row.answered_at
        return bool(row.runs) or idle_s >= self._timing.idle_answer_every_s

    def silent(self, now: float) -> list[AgentRow]:
        """Return the connected agents that have been silent for too long."""
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
        """Return the disconnected agents whose leases must have expired."""
        return [
            row
            for row in self._rows.values()
            if row.runs
            and not row.connected
            and now - row.granted_at > self._timing.over_after_s
        ]

    def reset_silence_timers(self, now: float) -> None:
        """Restart the silence timers after a pause of this process."""
        for row in self._rows.values():
            row.heard_at = now

    def apply_cordons(self) -> None:
        """Update which agents are cordoned, after the cordons changed."""
        for row in self._rows.values():
            row.cordoned = self._cordons.covers(row.zone)

    @property
    def all_cordoned(self) -> bool:
        """Whether there are agents, and all of them are cordoned."""
        rows = self._rows.values()
        return bool(rows) and all(row.cordoned for row in rows)

    def is_usable(self, now: float) -> bool:
        """Return whether any endpoint takes new work."""
        return any(row.usable(now) for row in self._rows.values())

    def note_usable(self, now: float) -> None:
        """Track when endpoints take new work; called on each tick."""
        usable = self.is_usable(now)
        if usable and not self._was_usable:
            self._recovered_at = now
        if self._was_usable and not usable:
            self._fell_silent = self._is_silent(now)
        self._was_usable = usable
        if usable or self._usable_at is None:
            self._usable_at = now

    def _is_silent(self, now: float) -> bool:
        """Return whether an agent is silent while its stream is open."""
        return any(
            row.connected and row.reconciled and not row.heard_recently(now)
            for row in self._rows.values()
        )

    def may_recover(self, now: float) -> bool:
        """Return whether lost agents are likely to come back soon.

        Agents whose streams closed were probably restarted. If they fell
        silent on open streams, this entry is probably cut off from them, and
        its clients are better served by other entries.
        """
        if self.is_usable(now):
            return now - self._recovered_at < _SETTLE_S
        if self.all_cordoned:
            return False
        if self._usable_at is None or self._fell_silent:
            return False
        return now - self._usable_at < _RECOVERY_S

    def sharing_entries(self, now: float, service: str | None = None) -> float:
        """Return how many entries share a usable core, on average.

        :param now: monotonic seconds
        :param service: the service of the endpoints; defaults to all
        """
        cores = 0.0
        cores_per_entry = 0.0
        for row in self._usable(now, service):
            cores += row.state.capacity.cpu_millis
            cores_per_entry += (
                row.state.capacity.cpu_millis / row.state.entries
            )
        return cores / cores_per_entry if cores_per_entry else 1.0

    def _usable(
        self, now: float, service: str | None
    ) -> abc.Iterator[AgentRow]:
        for row in self._rows.values():
            if service in (None, row.state.service) and row.usable(now):
                yield row

    def capacity_cores(self, now: float, service: str | None = None) -> float:
        """Return the cores of all usable endpoints.

        :param now: monotonic seconds
        :param service: the service of the endpoints; defaults to all
        """
        return sum(
            row.state.capacity.cpu_millis / 1000.0
            for row in self._usable(now, service)
        )

    def free_cores(self, now: float, service: str) -> float:
        """Return the free cores of the usable endpoints of a service."""
        return sum(
            max(0, row.free.cpu_millis) / 1000.0
            for row in self._usable(now, service)
        )

    def leaving_cores(
        self, now: float, service: str
    ) -> abc.Iterator[tuple[float, float]]:
        """Yield the cores of usable endpoints that will leave.

        :return: pairs of the seconds until then and the cores
        """
        for row in self._usable(now, service):
            if row.state.remaining_s:
                left_s = row.state.remaining_s - (now - row.heard_at)
                yield max(0.0, left_s), row.state.capacity.cpu_millis / 1000.0

    def returning_cores(
        self, now: float, service: str
    ) -> abc.Iterator[tuple[float, float]]:
        """Yield the cores of lost agents that are likely to come back.

        :return: pairs of the seconds until then and the cores
        """
        for row in self._rows.values():
            silent_for_s = now - row.heard_at
            is_lost = not row.connected and not row.leaving
            if service != row.state.service or row.cordoned or not is_lost:
                continue
            if row.state.accepting and silent_for_s < _RECOVERY_S:
                yield (
                    _RECOVERY_S - silent_for_s,
                    row.state.capacity.cpu_millis / 1000.0,
                )
