"""Writes a core's notes as log lines, within a budget."""

from collections import abc
import typing

import loguru

from ferryledge.logs import _budget

#: Seconds between lines that tell how many were left out.
_TELL_S = 5.0


class NoteLike(typing.Protocol):
    """What is needed of a note."""

    @property
    def step(self) -> str:
        """The step of the request."""

    @property
    def message(self) -> str:
        """What was decided."""

    @property
    def job(self) -> str:
        """The job that it concerns; empty if none does."""

    @property
    def peer(self) -> str:
        """The process that it concerns; empty if none does."""

    @property
    def urgent(self) -> bool:
        """Whether something went wrong."""

    @property
    def facts(self) -> abc.Mapping[str, object]:
        """What decided it."""


class DecisionLog:
    """The log of decisions of one process."""

    def __init__(self, budget: _budget.Budget | None = None) -> None:
        self._budget = budget or _budget.Budget()
        self._told_at = 0.0

    def write(self, now: float, notes: abc.Iterable[NoteLike]) -> None:
        """Write what the budget allows.

        :param now: monotonic seconds
        :param notes: the decisions, in their order
        """
        for note in notes:
            if self._budget.take(now, note.urgent):
                self._line(note)
        if now - self._told_at >= _TELL_S:
            self._told_at = now
            left_out = self._budget.take_left_out()
            if left_out:
                loguru.logger.bind(step="log", count=left_out).warning(
                    "lines left out by the budget"
                )

    def _line(self, note: NoteLike) -> None:
        fields: dict[str, object] = {"step": str(note.step)}
        if note.job:
            fields["job"] = note.job
        if note.peer:
            fields["peer"] = note.peer
        fields.update(note.facts)
        level = "WARNING" if note.urgent else "INFO"
        loguru.logger.bind(**fields).log(level, note.message)
