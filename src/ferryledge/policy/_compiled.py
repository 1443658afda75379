"""A policy's three programs, and what happens when one fails.

A program that fails at run time counts as absent: the client's urgency
stands, every zone is allowed, nothing is refused. The failure is part of
the ruling, so that metrics, logs and explanations show it.
"""

import dataclasses
import typing

from ferryledge.policy import _program

MIN_URGENCY = 0.01
MAX_URGENCY = 100.0


class PolicyTexts(typing.Protocol):
    """The texts of a policy, as the configuration holds them."""

    @property
    def name(self) -> str:
        """The policy's name."""

    @property
    def urgency(self) -> str:
        """How urgent a job is."""

    @property
    def where(self) -> str:
        """Whether a job may run in a zone."""

    @property
    def refuse(self) -> str:
        """Whether a job is refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a policy says of one job."""

    urgency: float
    #: Whether the job is refused.
    refused: bool = False
    #: The reason that the program gave, if it gave a text.
    detail: str = ""
    #: The programs that failed, with their errors.
    failures: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Something wrong with a policy."""

    policy: str
    program: str
    message: str


def _compile(text: str) -> _program.Program | None:
    return _program.Program(text) if text.strip() else None


class CompiledPolicy:
    """A compiled policy.

    :param policy: its texts
    :raises ferryledge.policy.PolicyError: if a program is not valid
    """

    def __init__(self, policy: PolicyTexts) -> None:
        self._urgency = _compile(policy.urgency)
        self._where = _compile(policy.where)
        self._refuse = _compile(policy.refuse)

    def evaluate(self, facts: _program.Facts) -> Decision:
        """Weigh a job and decide whether it is refused."""
        failures = []
        urgency = facts.urgency
        refused, detail = False, ""
        try:
            urgency = self._weigh(facts)
        except _program.PolicyError as exc:
            failures.append(f"urgency: {exc}")
        try:
            refused, detail = self._decide(facts)
        except _program.PolicyError as exc:
            failures.append(f"refuse: {exc}")
        return Decision(urgency, refused, detail, tuple(failures))

    def allows(self, facts: _program.Facts) -> bool:
        """Return whether the job may run in ``facts.zone``.

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
        """Whether the policy says where tasks may run."""
        return self._where is not None

    def _weigh(self, facts: _program.Facts) -> float:
        if self._urgency is None:
            return facts.urgency
        value = self._urgency.run(facts)
        if isinstance(value, str):
            raise _program.PolicyError("urgency must be a number")
        return min(MAX_URGENCY, max(MIN_URGENCY, float(value)))

    def _decide(self, facts: _program.Facts) -> tuple[bool, str]:
        if self._refuse is None:
            return False, ""
        value = self._refuse.run(facts)
        if isinstance(value, str):
            return bool(value), value
        return bool(value), ""


#: Jobs on which a policy is tried before it is published.
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
    """Compile a policy and try it on sample jobs.

    :return: what is wrong; empty if nothing is
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
    rules = CompiledPolicy(policy)
    for facts in _SAMPLES:
        for failure in rules.evaluate(facts).failures:
            name, _, message = failure.partition(": ")
            problems.append(Problem(policy.name, name, message))
        try:
            rules.allows(facts)
        except _program.PolicyError as exc:
            problems.append(Problem(policy.name, "where", str(exc)))
    return list(dict.fromkeys(problems))
