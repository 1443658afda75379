"""Takes one mechanism of the decisions out, to see what it earns."""

from collections import abc
import contextlib
import dataclasses
import enum
import typing

from ferryledge import core
from ferryledge import health
from ferryledge import placement


class Ablation(enum.StrEnum):
    """What is taken out."""

    NONE = "none"
    JOB_ORDER = "least work first"
    REPORT_TOGETHER = "reports together"
    DIRECT = "direct placement"
    SPEED = "learned speeds"
    HEALTH = "health judge"
    FOREIGN = "others' use of endpoints"


#: The cases in which each mechanism should earn its place.
CASES: dict[Ablation, tuple[str, ...]] = {
    Ablation.JOB_ORDER: ("load_0.8", "load_0.9", "burst_1.5"),
    Ablation.REPORT_TOGETHER: ("load_0.3", "load_0.6"),
    Ablation.DIRECT: ("load_0.3", "single_tasks"),
    Ablation.SPEED: ("one_slow",),
    Ablation.HEALTH: ("one_fails_all",),
    Ablation.FOREIGN: ("load_0.6", "single_tasks"),
}


def options_for(ablation: Ablation) -> core.EntryOptions:
    """Return the entries' options, with the mechanism's knob at off."""
    usual = core.EntryOptions()
    match ablation:
        case Ablation.REPORT_TOGETHER:
            return dataclasses.replace(usual, report_together_free=1.01)
        case Ablation.DIRECT:
            return dataclasses.replace(usual, direct_load=0.0)
        case Ablation.FOREIGN:
            return dataclasses.replace(usual, foreign_slots_hold_s=0.0)
        case _:
            return usual


@contextlib.contextmanager
def taken_out(ablation: Ablation) -> abc.Iterator[None]:
    """Replace the mechanism, where it has no knob, for a while."""
    target: typing.Any
    replacement: typing.Any
    match ablation:
        case Ablation.JOB_ORDER:
            target, name = placement.WaitingJob, "key"
            replacement = property(lambda job: job.arrived_at)
        case Ablation.SPEED:
            target, name = placement.RunTimes, "slowness"
            replacement = _normal_speed
        case Ablation.HEALTH:
            target, name = health.HealthTracker, "_may_eject"
            replacement = _never
        case _:
            yield
            return
    original = getattr(target, name)
    setattr(target, name, replacement)
    try:
        yield
    finally:
        setattr(target, name, original)


def _normal_speed(*_: object) -> float:
    return 1.0


def _never(*_: object) -> bool:
    return False
