"""Where the time of requests goes, and where they are lost, by the logs."""

import collections
from collections import abc
import dataclasses
import datetime
import enum
import typing

import click

from ferryledge.cli import _logs

#: Seconds that share a row of the table of ends.
WINDOW_S = 2
#: What the answers' messages say of late ones.
_LATE = "late"


class Stage(enum.StrEnum):
    """A wait on the path of a request."""

    #: From its admission until the first order for it.
    QUEUE = "queue"
    #: From an order until its agent took it.
    ORDER = "order"
    #: From the agent's taking until a run was over.
    RUN = "run"
    #: From the end of the last run until the answer.
    ANSWER = "answer"
    #: From its arrival until the answer.
    WHOLE = "whole"


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The requests of one queue that were answered in a few seconds."""

    #: When it began.
    at: datetime.datetime
    queue: str
    #: How many ended in each way.
    ends: abc.Mapping[str, int]


class Profile:
    """Sorts lines of entries and agents by request.

    :param lines: of all processes, in the order of their times
    """

    def __init__(self, lines: abc.Iterable[_logs.LogLine]) -> None:
        #: Seconds of each stage, by queue.
        self.waits: dict[tuple[str, Stage], list[float]] = (
            collections.defaultdict(list)
        )
        self._ends: dict[
            tuple[datetime.datetime, str], collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)
        self._queues: dict[str, str] = {}
        self._ordered_at: dict[tuple[str, str], datetime.datetime] = {}
        self._over_at: dict[str, datetime.datetime] = {}
        for line in lines:
            if line.job:
                self._take(line)

    @property
    def windows(self) -> list[Window]:
        """How requests ended, by time and queue."""
        return [
            Window(at, queue, dict(ends))
            for (at, queue), ends in sorted(self._ends.items())
        ]

    @property
    def queues(self) -> list[str]:
        """The queues that requests were answered of."""
        return sorted({queue for queue, _ in self.waits})

    def quantile(self, queue: str, stage: Stage, share: float) -> float | None:
        """Return the wait that a share of requests stay below, in seconds.

        :return: none if no line tells of the stage
        """
        waits = sorted(self.waits.get((queue, stage), ()))
        if not waits:
            return None
        return waits[min(len(waits) - 1, int(share * len(waits)))]

    def _take(self, line: _logs.LogLine) -> None:
        if line.is_answer:
            self._take_answer(line)
            return
        match line.message:
            case "admitted":
                self._queues[line.job] = str(line.facts.get("queue", ""))
            case "ordered":
                self._ordered_at[line.job, line.peer] = _time_of(line)
            case "order taken":
                key = line.job, line.process
                if key in self._ordered_at:
                    passed = _time_of(line) - self._ordered_at.pop(key)
                    self._note(line.job, Stage.ORDER, passed.total_seconds())
            case "run over" if line.facts.get("how") == "done":
                self._over_at[line.job] = _time_of(line)
                self._note(line.job, Stage.RUN, _number(line, "held_s"))

    def _take_answer(self, line: _logs.LogLine) -> None:
        queue = str(line.facts.get("queue", ""))
        self._queues[line.job] = queue
        self._note(line.job, Stage.WHOLE, _number(line, "waited_s"))
        if "first_order_s" in line.facts:
            self._note(line.job, Stage.QUEUE, _number(line, "first_order_s"))
        over_at = self._over_at.pop(line.job, None)
        if over_at is not None and not line.reason:
            passed = _time_of(line) - over_at
            self._note(line.job, Stage.ANSWER, passed.total_seconds())
        at = _time_of(line)
        window = at.replace(
            second=at.second - at.second % WINDOW_S, microsecond=0
        )
        self._ends[window, queue][_end_of(line)] += 1

    def _note(self, job: str, stage: Stage, seconds: float) -> None:
        queue = self._queues.get(job)
        if queue is None:
            return  # The line of its admission was left out.
        # Clocks of two machines may be some milliseconds apart.
        self.waits[queue, stage].append(max(0.0, seconds))


def _end_of(line: _logs.LogLine) -> str:
    """Return in a word or two how a request ended."""
    if not line.reason:
        return "late" if _LATE in line.message else "in time"
    kind = "refused" if line.message.startswith("refused") else "failed"
    return f"{kind}: {line.reason}"


def _time_of(line: _logs.LogLine) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line.time)


def _number(line: _logs.LogLine, name: str) -> float:
    return float(str(line.facts.get(name, 0.0)))


def render(profile: Profile) -> abc.Iterator[str]:
    """Yield the lines of both tables."""
    stages = "".join(f"{stage + ' p50, p99':>20}" for stage in Stage)
    yield f"{'ms':<14}{stages}"
    for queue in profile.queues:
        cells = "".join(
            f"{_cell(profile, queue, stage):>20}" for stage in Stage
        )
        yield f"{queue:<14}{cells}"
    yield ""
    for window in profile.windows:
        ends = "  ".join(f"{k} {v}" for k, v in sorted(window.ends.items()))
        yield f"{window.at:%H:%M:%S}  {window.queue:<14} {ends}"


def _cell(profile: Profile, queue: str, stage: Stage) -> str:
    shown = [profile.quantile(queue, stage, share) for share in (0.5, 0.99)]
    return " ".join(
        "-" if one is None else f"{one * 1e3:.0f}" for one in shown
    )


@click.command()
@click.argument("files", nargs=-1, type=_logs.File, required=True)
def profile(files: tuple[typing.TextIO, ...]) -> None:
    """Show where requests wait, and how they end by time and queue.

    Give the logs of all entries and agents of that time; lines that were
    left out by the budget are missing here.

    Example: ferryledge logs profile front-*.log side-*.log
    """
    for text in render(Profile(_logs.read_lines(files))):
        click.echo(text)
