"""A stand-in for an endpoint that keeps leases; the caller tells the time."""

from collections import abc
import dataclasses

from ferryledge import leases
from ferryledge import wire

#: Longest lease that it grants, in ms of its clock.
HOLD_MAX_MS = 1000
#: Seconds that a stop takes.
STOP_S = 0.03
#: What the clock shows at a start, in seconds, in turn: it may be behind or
#: ahead of where the start before left it.
_FIRST_CLOCKS_S = (100.0, 5000.0, 1.0)


@dataclasses.dataclass(slots=True)
class Running:
    """A run that is alive."""

    key: leases.RunKey
    need: wire.Resources
    left_s: float
    work_s: float
    stops_at: float | None = None


class LeasedEndpoint:
    """Runs tasks under one lease.

    :param capacity: its room
    :param now: virtual seconds
    :param need_of: tells what a job's tasks need
    :param work_of: tells how long a run takes and whether it succeeds
    :param watch: called with "start" or "end" and the run's key
    """

    def __init__(
        self,
        name: str,
        capacity: wire.Resources,
        now: float,
        need_of: abc.Callable[[leases.RunKey], wire.Resources],
        work_of: abc.Callable[[leases.RunKey, str], tuple[float, bool]],
        watch: abc.Callable[[str, leases.RunKey, str], None],
        clock_rate: float = 1.0,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.endpoint_id = f"{name}-1"
        self.up = True
        self.speed = 1.0
        self.draining = False
        self._lives = 1
        self._need_of = need_of
        self._work_of = work_of
        self._watch = watch
        self._rate = clock_rate
        self._begin(now)
        self._reset()

    @property
    def incarnation(self) -> str:
        """Which start of it this is."""
        return leases.incarnation_of(self.endpoint_id, self.born_ms)

    def _begin(self, now: float) -> None:
        """Start: its clock and its counts begin anew."""
        self._at = now
        first_s = _FIRST_CLOCKS_S[(self._lives - 1) % len(_FIRST_CLOCKS_S)]
        self._offset_s = first_s - now * self._rate
        #: Unix time of its start in ms; any whole number that differs.
        self.born_ms = int(now * 1000.0) + self._lives
        #: Heartbeats of this start.
        self.beats = 0

    def _reset(self) -> None:
        self.runs: dict[leases.RunKey, Running] = {}
        self.ended: list[leases.ListedEnd] = []
        self._ends = 0
        self._confirmed = 0
        self._fence = 0
        self._lease_ms = 0
        self._over: dict[tuple[str, int, int], int] = {}

    def clock_ms(self, now: float) -> int:
        """Return its steady clock."""
        return int((self._offset_s + now * self._rate) * 1000.0)

    @property
    def used(self) -> wire.Resources:
        """What its runs take."""
        used = wire.Resources()
        for run in self.runs.values():
            used = used.plus(run.need)
        return used

    def crash(self) -> None:
        """End everything; nothing answers until it is started again."""
        for key in list(self.runs):
            self._watch("end", key, self.name)
        self.up = False
        self._reset()

    def restart(self, now: float, same_id: bool = False) -> None:
        """Start again.

        :param now: virtual seconds
        :param same_id: whether it keeps the id that it had
        """
        self._lives += 1
        if not same_id:
            self.endpoint_id = f"{self.name}-{self._lives}"
        self._begin(now)
        self.up = True
        self.draining = False

    def next_beat(self) -> int:
        """Return the number of the next heartbeat."""
        self.beats += 1
        return self.beats

    def _is_meant(self, incarnation: str) -> bool:
        """Return whether a call is for this endpoint: it looks at ids."""
        endpoint_id = leases.endpoint_id_of(incarnation)
        return endpoint_id in ("", self.endpoint_id)

    def advance(self, now: float) -> None:
        """Let time pass: progress, ends, the lease."""
        if not self.runs:
            self._at = max(self._at, now)
        while self.up and self._at < now:
            step = min(now, self._at + 0.005)
            passed = step - self._at
            self._at = step
            if self.runs and self.clock_ms(step) > self._lease_ms:
                for key in list(self.runs):
                    self._end(key, wire.RunOutcome.LAPSED)
                continue
            for run in list(self.runs.values()):
                run.left_s -= passed * self.speed
                if run.stops_at is not None and run.stops_at <= step:
                    self._end(run.key, wire.RunOutcome.STOPPED)
                elif run.left_s <= 0:
                    _, ok = self._work_of(run.key, self.name)
                    how = (
                        wire.RunOutcome.DONE if ok else wire.RunOutcome.FAILED
                    )
                    self._end(run.key, how)

    def _end(self, key: leases.RunKey, how: wire.RunOutcome) -> None:
        del self.runs[key]
        self._ends += 1
        self.ended.append(leases.ListedEnd(self._ends, key, how))
        task = (key.job, key.step, key.index)
        self._over[task] = max(self._over.get(task, 0), key.run)
        self._watch("end", key, self.name)

    def _extend(self, now: float, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms(now) + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def start(self, now: float, order: leases.StartRun) -> leases.StartResult:
        """Carry out an order to start."""
        self.advance(now)
        result = leases.StartResult
        key = order.key
        if not self._is_meant(order.incarnation):
            return result.REPLACED
        if order.token < self._fence:
            return result.FENCED
        self._fence = order.token
        if order.lease_until_ms <= self.clock_ms(now):
            return result.LATE
        self._extend(now, order.lease_until_ms)
        if key in self.runs:
            return result.STARTED
        if key.run <= self._over.get((key.job, key.step, key.index), 0):
            return result.RUN_NUMBER
        work_s, _ = self._work_of(key, self.name)
        need = self._need_of(key)
        self.runs[key] = Running(key, need, work_s, work_s)
        self._watch("start", key, self.name)
        return result.STARTED

    def stop(self, now: float, order: leases.StopRun) -> bool:
        """Carry out an order to stop."""
        self.advance(now)
        if not self._is_meant(order.incarnation):
            return False
        if order.token < self._fence:
            return False
        self._fence = order.token
        key = order.key
        task = (key.job, key.step, key.index)
        run = self.runs.get(key)
        if run is not None and run.stops_at is None:
            run.stops_at = now + STOP_S
        self._over[task] = max(self._over.get(task, 0), key.run)
        return True

    def renew(
        self, now: float, sent_at: float, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """Carry out a renewal, without waiting."""
        self.advance(now)
        clock = self.clock_ms(now)
        fault = leases.CallFault
        incarnation = renewal.incarnation
        if not self._is_meant(incarnation):
            return leases.LeaseNotRenewed(fault.REPLACED, incarnation)
        if renewal.token < self._fence:
            return leases.LeaseNotRenewed(fault.FENCED, incarnation, clock)
        self._fence = renewal.token
        if renewal.lease_until_ms:
            self._extend(now, renewal.lease_until_ms)
        self._confirmed = max(self._confirmed, renewal.acknowledged)
        self.ended = [
            end for end in self.ended if end.number > self._confirmed
        ]
        running = tuple(
            leases.ListedRun(
                run.key, int(100 * (1 - run.left_s / run.work_s)) / 100
            )
            for run in self.runs.values()
        )
        return leases.LeaseRenewed(
            sent_at,
            incarnation,
            clock,
            running,
            tuple(self.ended),
            self.born_ms,
        )
