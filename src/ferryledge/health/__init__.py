"""Judges endpoints by the ends of their tasks."""

from ferryledge.health import _judge

Ejected = _judge.Ejected
Health = _judge.Health
HealthJudge = _judge.HealthJudge
HealthOptions = _judge.HealthOptions
Healthy = _judge.Healthy
Probing = _judge.Probing

__all__ = [
    "Ejected",
    "Health",
    "HealthJudge",
    "HealthOptions",
    "Healthy",
    "Probing",
]
