"""Jobs and their times, the same for all strategies of a run.

Run times are lognormal within each service. The services range from quick
look-ups to slow documents, so that most tasks take 50 ms to a second and a
few take several seconds.
"""

import dataclasses
import math
import random

from ferryledge.bench import _cases

_SHORTEST_S = 0.05
_LONGEST_S = 6.0
#: Spread of run times within a service, as a natural logarithm.
_SIGMA = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceMix:
    """One service and its share of the jobs."""

    name: str
    median_s: float
    share: float


SERVICES: tuple[ServiceMix, ...] = (
    ServiceMix("stock-check", 0.08, 0.30),
    ServiceMix("seat-map", 0.15, 0.25),
    ServiceMix("boarding-pass", 0.25, 0.20),
    ServiceMix("quote", 0.50, 0.20),
    ServiceMix("document", 1.50, 0.05),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One job of a client."""

    number: int
    at: float
    entry: int
    service: str
    run_s: tuple[float, ...]
    declared_s: tuple[float, ...]
    repeatable: bool = True
    #: When its client cancels it; 0 is never.
    cancel_at: float = 0.0

    @property
    def longest_s(self) -> float:
        """Run time of the longest task."""
        return max(self.run_s)

    @property
    def work_s(self) -> float:
        """Run time of all tasks together."""
        return sum(self.run_s)


def _run_time(rng: random.Random, service: ServiceMix) -> float:
    drawn = service.median_s * math.exp(rng.gauss(0.0, _SIGMA))
    return min(_LONGEST_S, max(_SHORTEST_S, drawn))


def _draw(rng: random.Random, case: _cases.Case, number: int) -> Arrival:
    shares = [service.share for service in SERVICES]
    service = rng.choices(SERVICES, shares)[0]
    count = rng.randint(*case.tasks)
    run_s = tuple(_run_time(rng, service) for _ in range(count))
    error = math.exp(rng.gauss(0.0, case.declared_sigma))
    return Arrival(
        number,
        0.0,
        rng.randrange(case.entries),
        service.name,
        run_s,
        tuple(one * error for one in run_s),
        rng.random() >= case.unrepeatable,
    )


def make_arrivals(case: _cases.Case, seed: int) -> list[Arrival]:
    """Return the jobs of one run, in the order of their times.

    :param case: the setting
    :param seed: of all draws
    """
    rng = random.Random(seed)
    drawn = [_draw(rng, case, number) for number in range(case.jobs)]
    capacity = case.endpoints * case.slots
    mean_work = sum(one.work_s for one in drawn) / len(drawn)
    first, last = int(0.5 * case.jobs), int(0.7 * case.jobs)
    now = 0.0
    arrivals = []
    for number, one in enumerate(drawn):
        bursts = case.burst and first <= number < last
        load = case.burst if bursts else case.load
        now += rng.expovariate(load * capacity / mean_work)
        arrivals.append(dataclasses.replace(one, at=now))
    return _cancel_wave(arrivals, case, rng)


def _cancel_wave(
    arrivals: list[Arrival], case: _cases.Case, rng: random.Random
) -> list[Arrival]:
    if not case.cancelled:
        return arrivals
    first = int(0.6 * len(arrivals))
    last = first + int(2 * case.cancelled * len(arrivals))
    return [
        dataclasses.replace(one, cancel_at=one.at + 0.02)
        if first <= one.number < last and rng.random() < 0.5
        else one
        for one in arrivals
    ]
