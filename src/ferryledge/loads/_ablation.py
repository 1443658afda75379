"""What callers gain by a rule: loads are replayed without it."""

from collections import abc
import dataclasses
import statistics

from ferryledge import leases
from ferryledge.loads import _patterns
from ferryledge.loads import _play


@dataclasses.dataclass(frozen=True, slots=True)
class Gain:
    """Worth that a rule brings on one load."""

    rule: str
    load: str
    #: Mean difference of the worth with and without it, over the seeds.
    mean: float
    #: The least and the most of them.
    least: float
    most: float


def rule_names() -> tuple[str, ...]:
    """Return the names of all rules."""
    return tuple(one.name for one in dataclasses.fields(leases.EntryRules))


def without(rule: str) -> leases.EntryRules:
    """Return all rules but one.

    :raises ValueError: if there is none of that name
    """
    if rule not in rule_names():
        known = ", ".join(rule_names())
        raise ValueError(f"no rule {rule!r}; known: {known}")
    return dataclasses.replace(leases.EntryRules(), **{rule: False})


def measure(
    loads: abc.Sequence[_patterns.Load],
    seeds: abc.Sequence[int],
    rules: abc.Sequence[str] = (),
) -> abc.Iterator[Gain]:
    """Yield what each rule brings on each load.

    :param loads: what is replayed
    :param seeds: the draws of each load; both sides get the same ones
    :param rules: those to take out, one at a time; none is all
    """
    for load in loads:
        whole = [_play.play(load, seed).worth for seed in seeds]
        for rule in rules or rule_names():
            gains = [
                worth - _play.play(load, seed, without(rule)).worth
                for worth, seed in zip(whole, seeds, strict=True)
            ]
            yield Gain(
                rule,
                load.name,
                statistics.mean(gains),
                min(gains),
                max(gains),
            )
