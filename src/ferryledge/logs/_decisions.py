"""Writes the notes of a core as log lines at a bounded rate."""

from collections import abc
import typing

import loguru

from ferryledge.logs import _budget

#: Seconds between lines that report how many lines were left out.
_REPORT_INTERVAL_S = 5.0


class NoteLike(typing.Protocol):
    """The interface of a note, which describes one decision of a core."""

    @property
    def step(self) -> str:
        """The step of the request at which the decision was made."""

    @property
    def message(self) -> str:
        """What was decided."""

    @property
    def job(self) -> str:
        """The job that the decision concerns; empty if none."""

    @property
    def peer(self) -> str:
        """The process that the decision concerns; empty if none."""

    @property
    def urgent(self) -> bool:
        """Whether the decision is a refusal or a failure."""

    @property
    def facts(self) -> abc.Mapping[str, object]:
        """The facts that the decision is based on."""


class DecisionLog:
    """The log of the decisions of one process.

    :param budget: the rate limit; by default a new one
    """

    def __init__(self, budget: _budget.Budget | None = None) -> None:
        self._budget = budget or _budget.Budget()
        self._reported_at = 0.0

    def write(self, now: float, notes: abc.Iterable[NoteLike]) -> None:
        """Write the notes that the budget allows.

        :param now: monotonic seconds
        :param notes: the notes in the order of the decisions
        """
        for note in notes:
            if self._budget.take(now, note.urgent):
                self._write_note(note)
        if now - self._reported_at >= _REPORT_INTERVAL_S:
            self._reported_at = now
            left_out = self._budget.take_left_out()
            if left_out:
                loguru.logger.bind(step="log", count=left_out).warning(
                    "lines left out by the budget"
                )

    def _write_note(self, note: NoteLike) -> None:
        fields: dict[str, object] = {"step": str(note.step)}
        if note.job:
            fields["job"] = note.job
        if note.peer:
            fields["peer"] = note.peer
        fields.update(note.facts)
        level = "WARNING" if note.urgent else "INFO"
        loguru.logger.bind(**fields).log(level, note.message)
