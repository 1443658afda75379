"""Policies: operators' programs for urgency, zones and refusals."""

from ferryledge.policy import _program
from ferryledge.policy import _ruling

Facts = _program.Facts
PolicyError = _program.PolicyError
Program = _program.Program
Problem = _ruling.Problem
Ruling = _ruling.Ruling
Rules = _ruling.Rules
check = _ruling.check

__all__ = [
    "Facts",
    "PolicyError",
    "Problem",
    "Program",
    "Rules",
    "Ruling",
    "check",
]
