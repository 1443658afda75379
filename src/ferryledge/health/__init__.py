"""Endpoint health: failure rates, ejection and probing."""

import typing

from ferryledge import _lazy

if typing.TYPE_CHECKING:
    from ferryledge.health import _judge
    from ferryledge.health import _rate

    DECAY = _rate.DECAY
    EJECT_AT = _rate.EJECT_AT
    Ejected = _judge.Ejected
    FailureRate = _rate.FailureRate
    Health = _judge.Health
    HealthJudge = _judge.HealthJudge
    HealthOptions = _judge.HealthOptions
    Healthy = _judge.Healthy
    Probing = _judge.Probing
else:
    # Agents use the failure rate alone, so the rest is loaded on demand.
    __getattr__ = _lazy.attach(
        __name__,
        {
            "_judge": (
                "Ejected",
                "Health",
                "HealthJudge",
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
    "HealthJudge",
    "HealthOptions",
    "Healthy",
    "Probing",
]
