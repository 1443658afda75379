"""Computes stage durations and outcomes of requests from logs."""

import collections
from collections import abc
import dataclasses
import datetime
import enum
import typing

import click

from ferryledge.cli import _logs

#: Seconds per row of the table of outcomes.
WINDOW_S = 2
#: Word that marks late answers in log messages.
_LATE_WORD = "late"


class Stage(enum.StrEnum):
    """Stage of a request."""

    #: From the admission until the first order.
    QUEUE = "queue"
    #: From an order until the agent accepts it.
    ORDER = "order"
    #: From the acceptance of an order until the run has ended.
    RUN = "run"
    #: From the end of the last run until the answer.
    ANSWER = "answer"
    #: From the arrival of the request until the answer.
    WHOLE = "whole"


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Outcomes of one queue's requests that were answered in one window."""

    #: Start of the window, which lasts ``WINDOW_S`` seconds.
    at: datetime.datetime
    queue: str
    #: Number of requests by outcome.
    outcomes: abc.Mapping[str, int]


class Profile:
    """Collects stage durations and outcomes from log lines.

    :param lines: log lines of all entries and agents, sorted by time
    """

    def __init__(self, lines: abc.Iterable[_logs.LogLine]) -> None:
        #: Durations in seconds by queue and stage.
        self.durations: dict[tuple[str, Stage], list[float]] = (
            collections.defaultdict(list)
        )
        self._outcomes: dict[
            tuple[datetime.datetime, str], collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)
        self._queue_by_job: dict[str, str] = {}
        self._ordered_at: dict[tuple[str, str], datetime.datetime] = {}
        self._run_ended_at: dict[str, datetime.datetime] = {}
        for line in lines:
            if line.job:
                self._add_line(line)

    @property
    def windows(self) -> list[Window]:
        """Outcomes of requests by time and queue, sorted."""
        return [
            Window(at, queue, dict(outcomes))
            for (at, queue), outcomes in sorted(self._outcomes.items())
        ]

    @property
    def queues(self) -> list[str]:
        """Names of the queues with known durations, sorted."""
        return sorted({queue for queue, _ in self.durations})

    def quantile(
        self, queue: str, stage: Stage, fraction: float
    ) -> float | None:
        """Return a quantile of the durations of a stage.

        :param queue: name of the queue
        :param stage: the stage
        :param fraction: the quantile, between 0 and 1
        :return: seconds, or none if no duration is known
        """
        durations = sorted(self.durations.get((queue, stage), ()))
        if not durations:
            return None
        return durations[
            min(len(durations) - 1, int(fraction * len(durations)))
        ]

    def _add_line(self, line: _logs.LogLine) -> None:
        if line.is_answer:
            self._add_answer(line)
            return
        match line.message:
            case "admitted":
                self._queue_by_job[line.job] = str(line.facts.get("queue", ""))
            case "ordered":
                self._ordered_at[line.job, line.peer] = _time_of(line)
            case "order taken":
                key = line.job, line.process
                if key in self._ordered_at:
                    elapsed = _time_of(line) - self._ordered_at.pop(key)
                    self._add_duration(
                        line.job, Stage.ORDER, elapsed.total_seconds()
                    )
            case "run over" if line.facts.get("how") == "done":
                self._run_ended_at[line.job] = _time_of(line)
                self._add_duration(
                    line.job, Stage.RUN, _float_of(line, "held_s")
                )

    def _add_answer(self, line: _logs.LogLine) -> None:
        queue = str(line.facts.get("queue", ""))
        self._queue_by_job[line.job] = queue
        self._add_duration(line.job, Stage.WHOLE, _float_of(line, "waited_s"))
        if "first_order_s" in line.facts:
            self._add_duration(
                line.job, Stage.QUEUE, _float_of(line, "first_order_s")
            )
        run_ended_at = self._run_ended_at.pop(line.job, None)
        if run_ended_at is not None and not line.reason:
            elapsed = _time_of(line) - run_ended_at
            self._add_duration(line.job, Stage.ANSWER, elapsed.total_seconds())
        at = _time_of(line)
        window = at.replace(
            second=at.second - at.second % WINDOW_S, microsecond=0
        )
        self._outcomes[window, queue][_outcome_of(line)] += 1

    def _add_duration(self, job: str, stage: Stage, seconds: float) -> None:
        queue = self._queue_by_job.get(job)
        if queue is None:
            return  # The log budget omitted the line of the admission.
        # The times may stem from machines whose clocks differ slightly.
        self.durations[queue, stage].append(max(0.0, seconds))


def _outcome_of(line: _logs.LogLine) -> str:
    """Return a short label for the outcome of a request."""
    if not line.reason:
        return "late" if _LATE_WORD in line.message else "in time"
    kind = "refused" if line.message.startswith("refused") else "failed"
    return f"{kind}: {line.reason}"


def _time_of(line: _logs.LogLine) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line.time)


def _float_of(line: _logs.LogLine, name: str) -> float:
    return float(str(line.facts.get(name, 0.0)))


def render(profile: Profile) -> abc.Iterator[str]:
    """Yield the lines of the tables of durations and outcomes.

    :param profile: the profile to print
    """
    stages = "".join(f"{stage + ' p50, p99':>20}" for stage in Stage)
    yield f"{'ms':<14}{stages}"
    for queue in profile.queues:
        cells = "".join(
            f"{_format_quantiles(profile, queue, stage):>20}"
            for stage in Stage
        )
        yield f"{queue:<14}{cells}"
    yield ""
    for window in profile.windows:
        outcomes = "  ".join(
            f"{k} {v}" for k, v in sorted(window.outcomes.items())
        )
        yield f"{window.at:%H:%M:%S}  {window.queue:<14} {outcomes}"


def _format_quantiles(profile: Profile, queue: str, stage: Stage) -> str:
    quantiles = [
        profile.quantile(queue, stage, fraction) for fraction in (0.5, 0.99)
    ]
    return " ".join(
        "-" if seconds is None else f"{seconds * 1e3:.0f}"
        for seconds in quantiles
    )


@click.command()
@click.argument("files", nargs=-1, type=_logs.File, required=True)
def profile(files: tuple[typing.TextIO, ...]) -> None:
    """Show the durations of request stages, and outcomes by time and queue.

    Give the logs of all entries and agents of the period. Lines that the log
    budget left out are not counted.

    Example: ferryledge logs profile front-*.log side-*.log
    """
    for text in render(Profile(_logs.read_lines(files))):
        click.echo(text)
