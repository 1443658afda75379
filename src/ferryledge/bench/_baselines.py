"""Baselines: random, least outstanding, and batch sampling.

Every entry decides alone, by what it has outstanding itself; tasks wait at
the endpoints in the order of their arrival. Batch sampling places probes
at ``2 x tasks`` endpoints, and a probe that reaches the head of its queue
asks the entry for a task.
"""

import collections
import dataclasses
import enum
import functools
import random

from ferryledge.bench import _arrivals
from ferryledge.bench import _cases
from ferryledge.bench import _network
from ferryledge.bench import _results
from ferryledge.harness import _clock

_PROBES_PER_TASK = 2
_FAIL_S = 0.002


class Placement(enum.StrEnum):
    """How a baseline chooses."""

    RANDOM = "random"
    LEAST_OUTSTANDING = "least_outstanding"
    BATCH_SAMPLING = "batch_sampling"


@dataclasses.dataclass(slots=True)
class _Job:
    arrival: _arrivals.Arrival
    waiting: collections.deque[float]
    left: int
    failed: bool = False
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class _Probe:
    """A task, or with batch sampling a place in the queue for one."""

    job: _Job
    run_s: float | None


class _Endpoint:
    """One endpoint with its queue."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.queue: collections.deque[_Probe] = collections.deque()
        self.slowdown = 1.0
        self.fails = False
        self.frozen = False
        self.dead = False
        self.backlog: list[_Probe] = []


class _Run:
    """One run of a baseline."""

    def __init__(
        self,
        case: _cases.Case,
        placement: Placement,
        arrivals: list[_arrivals.Arrival],
        seed: int,
    ) -> None:
        self.case = case
        self.placement = placement
        self.arrivals = arrivals
        self.rng = random.Random(seed)
        self.clock = _clock.Clock()
        self.endpoints = [_Endpoint(case.slots) for _ in range(case.endpoints)]
        self.outstanding = [[0] * case.endpoints for _ in range(case.entries)]
        self.messages = 0
        self.wasted = 0
        self.failed = 0
        self.slowdowns: list[float] = []
        self.skip = int(_results.WARM_UP * len(arrivals))

    def run(self) -> _results.RunOutput:
        for one in self.arrivals:
            delay = _network.CLIENT_HOP_S
            self.clock.at(one.at + delay, functools.partial(self._arrive, one))
        when = self.arrivals[int(_network.FAULT_AT * len(self.arrivals))].at
        self.clock.at(when, self._strike)
        self.clock.run(self.arrivals[-1].at + 300.0)
        tasks = sum(len(one.run_s) for one in self.arrivals)
        return _results.RunOutput(
            tuple(self.slowdowns),
            tasks,
            self.messages,
            self.wasted,
            failed=self.failed,
        )

    def _strike(self) -> None:
        first = self.endpoints[0]
        match self.case.fault:
            case _cases.EndpointFault.SLOW:
                first.slowdown = _network.SLOW_FACTOR
            case _cases.EndpointFault.FAILS_ALL:
                first.fails = True
            case _cases.EndpointFault.DIES:
                first.dead = True
                for probe in first.queue:
                    self._fail(probe.job)
                first.queue.clear()
            case _cases.EndpointFault.FREEZES:
                first.frozen = True
                self.clock.after(_network.FREEZE_S, self._thaw)
            case _:
                pass

    def _thaw(self) -> None:
        first = self.endpoints[0]
        first.frozen = False
        for number in range(len(first.backlog)):
            self._finish(0, first.backlog[number])
        first.backlog = []
        self._serve(0)

    def _arrive(self, arrival: _arrivals.Arrival) -> None:
        job = _Job(
            arrival, collections.deque(arrival.run_s), len(arrival.run_s)
        )
        if arrival.cancel_at:
            job.cancelled = True
            return
        if self.placement is Placement.BATCH_SAMPLING:
            self._sample(job)
            return
        for run_s in arrival.run_s:
            target = self._choose(arrival.entry)
            self.outstanding[arrival.entry][target] += 1
            self._send(target, _Probe(job, run_s))

    def _alive(self) -> list[int]:
        return [n for n, one in enumerate(self.endpoints) if not one.dead]

    def _choose(self, entry: int) -> int:
        alive = self._alive()
        if self.placement is Placement.RANDOM:
            return self.rng.choice(alive)
        counts = self.outstanding[entry]
        least = min(counts[n] for n in alive)
        return self.rng.choice([n for n in alive if counts[n] == least])

    def _sample(self, job: _Job) -> None:
        alive = self._alive()
        wanted = _PROBES_PER_TASK * job.left
        for number in range(wanted):
            if number % len(alive) == 0:
                order = self.rng.sample(alive, len(alive))
            self._send(order[number % len(alive)], _Probe(job, None))

    def _send(self, target: int, probe: _Probe) -> None:
        self.messages += 1
        self.clock.after(_network.HOP_S, lambda: self._reach(target, probe))

    def _reach(self, target: int, probe: _Probe) -> None:
        endpoint = self.endpoints[target]
        if endpoint.dead:
            self._fail(probe.job)
            return
        endpoint.queue.append(probe)
        self._serve(target)

    def _serve(self, target: int) -> None:
        endpoint = self.endpoints[target]
        while endpoint.free and endpoint.queue and not endpoint.frozen:
            probe = endpoint.queue.popleft()
            endpoint.free -= 1
            if probe.run_s is None:
                self._ask(target, probe)
            else:
                self._start(target, probe)

    def _ask(self, target: int, probe: _Probe) -> None:
        """Ask the entry for a task; the slot waits for the answer."""
        self.messages += 2

        def answer() -> None:
            if probe.job.waiting:
                probe.run_s = probe.job.waiting.popleft()
                self._start(target, probe)
                return
            self.wasted += 3
            self.endpoints[target].free += 1
            self._serve(target)

        self.clock.after(2 * _network.HOP_S, answer)

    def _start(self, target: int, probe: _Probe) -> None:
        endpoint = self.endpoints[target]
        assert probe.run_s is not None
        run_s = probe.run_s * endpoint.slowdown
        if endpoint.fails:
            probe.job.failed = True
            run_s = _FAIL_S
        self.clock.after(run_s, lambda: self._end(target, probe))

    def _end(self, target: int, probe: _Probe) -> None:
        endpoint = self.endpoints[target]
        if endpoint.dead:
            self._fail(probe.job)
        elif endpoint.frozen:
            endpoint.backlog.append(probe)
        else:
            self._finish(target, probe)
            self._serve(target)

    def _finish(self, target: int, probe: _Probe) -> None:
        self.endpoints[target].free += 1
        self.messages += 1
        job = probe.job
        entry = job.arrival.entry

        def told() -> None:
            if self.placement is not Placement.BATCH_SAMPLING:
                self.outstanding[entry][target] -= 1
            job.left -= 1
            if not job.left:
                self._answer(job)

        self.clock.after(_network.HOP_S, told)

    def _fail(self, job: _Job) -> None:
        job.failed = True
        job.left -= 1
        if not job.left:
            self._answer(job)

    def _answer(self, job: _Job) -> None:
        if job.failed:
            self.failed += 1
            return
        if job.arrival.number < self.skip:
            return
        response = self.clock.now + _network.CLIENT_HOP_S - job.arrival.at
        ideal = job.arrival.longest_s + _network.ROUND_TRIP_S
        self.slowdowns.append(response / ideal)


def run_baseline(
    case: _cases.Case,
    placement: Placement,
    arrivals: list[_arrivals.Arrival],
    seed: int,
) -> _results.RunOutput:
    """Run the jobs through a baseline.

    :param case: the setting
    :param placement: how it chooses
    :param arrivals: the jobs
    :param seed: of its choices
    """
    return _Run(case, placement, arrivals, seed).run()
