"""Clients in virtual time, and what they were told."""

import dataclasses

from ferryledge import core
from ferryledge import outcomes


@dataclasses.dataclass(slots=True)
class ClientRecord:
    """One submission of a client."""

    token: int
    request: core.JobRequest
    entry: str
    submitted_at: float
    #: The answer, or none while there is none.
    answer: core.JobAnswer | None = None
    answered_at: float = 0.0
    #: The entry died or the connection broke before the answer.
    lost: bool = False
    #: Answers that came; more than one is a fault.
    answers: int = 0

    @property
    def outcome(self) -> outcomes.JobOutcome | None:
        """The outcome that was told, if any."""
        return self.answer.outcome if self.answer else None

    @property
    def complete(self) -> bool:
        """Whether the whole result came."""
        return isinstance(self.outcome, outcomes.Complete)

    @property
    def response_s(self) -> float:
        """Seconds from submission to answer."""
        return self.answered_at - self.submitted_at
