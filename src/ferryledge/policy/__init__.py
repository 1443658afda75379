"""Policies: short programs by operators that steer decisions."""

from ferryledge.policy import _compiled
from ferryledge.policy import _program

Facts = _program.Facts
PolicyError = _program.PolicyError
Program = _program.Program
Problem = _compiled.Problem
Decision = _compiled.Decision
CompiledPolicy = _compiled.CompiledPolicy
check = _compiled.check

__all__ = [
    "Facts",
    "PolicyError",
    "Problem",
    "Program",
    "CompiledPolicy",
    "Decision",
    "check",
]
