"""Evaluation of a policy's three programs.

A program that fails at run time is ignored: the job keeps the urgency that
the client requested, may run in every zone and isn't refused. Failures are
part of the result, for metrics, logs and explanations. Only
:meth:`CompiledPolicy.allows` raises; its caller then keeps the zones that
were requested.
"""

import dataclasses
import typing

from ferryledge.policy import _program

MIN_URGENCY = 0.01
MAX_URGENCY = 100.0


class PolicyTexts(typing.Protocol):
    """The program texts of a policy, as in the configuration."""

    @property
    def name(self) -> str:
        """The policy's name."""

    @property
    def urgency(self) -> str:
        """The program for the urgency of a job."""

    @property
    def where(self) -> str:
        """The program that allows a job to run in a zone."""

    @property
    def refuse(self) -> str:
        """The program that refuses a job."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The result of a policy for one job."""

    urgency: float
    #: Whether the job is refused.
    refused: bool = False
    #: The reason that the program returned, if it returned a text.
    detail: str = ""
    #: Errors of the programs that failed, prefixed with their names.
    failures: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A fault in a policy."""

    policy: str
    program: str
    message: str


def _compile(text: str) -> _program.Program | None:
    return _program.Program(text) if text.strip() else None


class CompiledPolicy:
    """A compiled policy.

    :param policy: the program texts
    :raises ferryledge.policy.PolicyError: if a program is invalid
    """

    def __init__(self, policy: PolicyTexts) -> None:
        self._urgency = _compile(policy.urgency)
        self._where = _compile(policy.where)
        self._refuse = _compile(policy.refuse)

    def evaluate(self, facts: _program.Facts) -> Decision:
        """Evaluate the urgency of a job and whether it is refused."""
        failures = []
        urgency = facts.urgency
        refused, detail = False, ""
        try:
            urgency = self._evaluate_urgency(facts)
        except _program.PolicyError as exc:
            failures.append(f"urgency: {exc}")
        try:
            refused, detail = self._evaluate_refusal(facts)
        except _program.PolicyError as exc:
            failures.append(f"refuse: {exc}")
        return Decision(urgency, refused, detail, tuple(failures))

    def allows(self, facts: _program.Facts) -> bool:
        """Return whether a job may run in ``facts.zone``.

        :param facts: the facts of the job and the candidate zone
        :raises ferryledge.policy.PolicyError: if the program fails
        """
        if self._where is None:
            return True
        value = self._where.run(facts)
        if isinstance(value, str):
            raise _program.PolicyError("where must be true or false")
        return bool(value)

    @property
    def limits_zones(self) -> bool:
        """Whether the policy limits the zones in which jobs may run."""
        return self._where is not None

    def _evaluate_urgency(self, facts: _program.Facts) -> float:
        if self._urgency is None:
            return facts.urgency
        value = self._urgency.run(facts)
        if isinstance(value, str):
            raise _program.PolicyError("urgency must be a number")
        return min(MAX_URGENCY, max(MIN_URGENCY, float(value)))

    def _evaluate_refusal(self, facts: _program.Facts) -> tuple[bool, str]:
        if self._refuse is None:
            return False, ""
        value = self._refuse.run(facts)
        if isinstance(value, str):
            return bool(value), value
        return bool(value), ""


#: Jobs on which a policy is tested before it is published.
_SAMPLES = (
    _program.Facts("workspace", "service", zone="zone", home="zone"),
    _program.Facts(
        "workspace", "service", 810, 5.0, 50.0, 1.0, 10.0, False, 10_000, 1.0
    ),
    _program.Facts(
        "workspace", "service", 1, 0.0, 0.0, 0.0, 1.0, True, 0, 0.0
    ),
)


def check(policy: PolicyTexts) -> list[Problem]:
    """Compile a policy and test it on sample jobs.

    :return: the faults found; empty if none
    """
    problems = []
    for name in ("urgency", "where", "refuse"):
        text = getattr(policy, name)
        try:
            _compile(text)
        except _program.PolicyError as exc:
            problems.append(Problem(policy.name, name, str(exc)))
    if problems:
        return problems
    compiled = CompiledPolicy(policy)
    for facts in _SAMPLES:
        for failure in compiled.evaluate(facts).failures:
            name, _, message = failure.partition(": ")
            problems.append(Problem(policy.name, name, message))
        try:
            compiled.allows(facts)
        except _program.PolicyError as exc:
            problems.append(Problem(policy.name, "where", str(exc)))
    return list(dict.fromkeys(problems))
