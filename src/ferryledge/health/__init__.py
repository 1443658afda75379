"""Judges endpoints by the ends of their tasks."""

import typing

from ferryledge import _lazy

if typing.TYPE_CHECKING:
    from ferryledge.health import _rate
    from ferryledge.health import _tracker

    DECAY = _rate.DECAY
    EJECT_AT = _rate.EJECT_AT
    Ejected = _tracker.Ejected
    FailureRate = _rate.FailureRate
    Health = _tracker.Health
    HealthTracker = _tracker.HealthTracker
    HealthOptions = _tracker.HealthOptions
    Healthy = _tracker.Healthy
    Probing = _tracker.Probing
else:
    # An agent counts failures; it judges nobody.
    __getattr__ = _lazy.attach(
        __name__,
        {
            "_tracker": (
                "Ejected",
                "Health",
                "HealthTracker",
                "HealthOptions",
                "Healthy",
                "Probing",
            ),
            "_rate": ("DECAY", "EJECT_AT", "FailureRate"),
        },
    )

__all__ = [
    "DECAY",
    "EJECT_AT",
    "Ejected",
    "FailureRate",
    "Health",
    "HealthTracker",
    "HealthOptions",
    "Healthy",
    "Probing",
]
