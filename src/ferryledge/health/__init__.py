"""Judges endpoints by the ends of their tasks."""

from ferryledge.health import _judge
from ferryledge.health import _rate

Ejected = _judge.Ejected
FailureRate = _rate.FailureRate
Health = _judge.Health
HealthJudge = _judge.HealthJudge
HealthOptions = _judge.HealthOptions
Healthy = _judge.Healthy
Probing = _judge.Probing

__all__ = [
    "Ejected",
    "FailureRate",
    "Health",
    "HealthJudge",
    "HealthOptions",
    "Healthy",
    "Probing",
]
