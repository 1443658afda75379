"""The jobs of a load, drawn by a seed: the same for each way to serve them."""

import dataclasses
import random

from ferryledge.loads import _patterns


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One job that a client sends."""

    name: str
    kind: _patterns.Kind
    #: Seconds from the start of the load.
    at: float
    tasks: int
    #: True seconds of each task.
    work_s: float
    #: The client's guess at it.
    guess_s: float
    deadline_s: float
    #: Picks its entry: from 0 to 1.
    pick: float

    @property
    def objective_s(self) -> float:
        """Seconds within which an answer is in time."""
        return self.kind.stretch * self.work_s + self.kind.target_s

    @property
    def useful_s(self) -> float:
        """Seconds within which an answer is of use."""
        late_s = self.kind.late_factor * self.objective_s
        return min(late_s, self.deadline_s)

    @property
    def core_s(self) -> float:
        """Core-seconds that its tasks take."""
        return self.tasks * self.work_s * self.kind.cpu_millis / 1000.0


def mean_core_s(kind: _patterns.Kind) -> float:
    """Return the core-seconds of a mean job of a kind."""
    return kind.tasks * kind.work_s * kind.cpu_millis / 1000.0


def draw(load: _patterns.Load, seed: int, cores: float) -> list[Job]:
    """Return the jobs of a load.

    :param load: the load
    :param seed: of all choices
    :param cores: of the whole pool
    """
    rng = random.Random(seed)
    jobs: list[Job] = []
    at = 0.0
    while at < load.seconds:
        phase = load.phase_at(at)
        weights = [
            kind.weight * phase.kinds.get(kind.name, 1.0)
            for kind in load.kinds
        ]
        if not phase.load or not sum(weights):
            at += 0.01
            continue
        pairs = zip(weights, load.kinds, strict=True)
        work = sum(one * mean_core_s(kind) for one, kind in pairs)
        # Jobs of all kinds a second, for so much of the pool.
        rate = phase.load * cores * sum(weights) / work
        (kind,) = rng.choices(load.kinds, weights)
        jobs.append(_draw_one(load, kind, at, len(jobs), rng))
        at += rng.expovariate(rate)
    return jobs


def _draw_one(
    load: _patterns.Load,
    kind: _patterns.Kind,
    at: float,
    number: int,
    rng: random.Random,
) -> Job:
    work_s = kind.work_s * _size(load.spread, rng)
    return Job(
        f"{number:016x}",
        kind,
        at,
        max(1, round(kind.tasks * _size(load.spread, rng))),
        work_s,
        work_s * rng.lognormvariate(0.0, load.spread),
        rng.uniform(*kind.deadline_s),
        rng.random(),
    )


def _size(spread: float, rng: random.Random) -> float:
    """Return how large something is against a mean of 1."""
    return rng.lognormvariate(-spread * spread / 2.0, spread)
