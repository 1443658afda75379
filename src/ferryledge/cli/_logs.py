"""Reads logs of the daemons: lines of one request, counts of failures."""

import collections
from collections import abc
import dataclasses
import json
import typing

import click

#: Keys of a log line that all lines share; other keys are facts.
_COMMON_KEYS = ("time", "level", "message", "step", "process", "job", "peer")
#: Length of the prefix of an ISO 8601 time that ends with its minute.
_MINUTE_LENGTH = 16

File = click.File("r", errors="replace")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Line of a daemon's log."""

    time: str
    process: str
    step: str
    message: str
    #: Request that the line is about; empty if there is none.
    job: str
    peer: str
    #: Values of the other keys.
    facts: abc.Mapping[str, object]

    @property
    def is_answer(self) -> bool:
        """Whether the line reports the outcome of a request."""
        return self.step == "answer" and bool(self.job)

    @property
    def reason(self) -> str:
        """Why the request was not completed; empty if it was."""
        return str(self.facts.get("reason", ""))

    def render(self) -> str:
        """Format the line as readable text."""
        facts = "  ".join(
            f"{key}={value}" for key, value in self.facts.items()
        )
        peer = f" ({self.peer})" if self.peer else ""
        head = f"{self.time}  {self.process:<16} {self.step:<8}"
        return f"{head} {self.message}{peer}  {facts}".rstrip()


def read_lines(files: abc.Iterable[typing.TextIO]) -> list[LogLine]:
    """Return the log lines of all files, sorted by time.

    Text before the JSON object of a line is ignored, as are lines without a
    JSON object.

    :param files: open log files
    """
    lines = []
    for file in files:
        for text in file:
            line = _parse(text)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
    except ValueError:
        return None  # A truncated line, or a line of another program.
    if not isinstance(record, dict) or "time" not in record:
        return None
    facts = {k: v for k, v in record.items() if k not in _COMMON_KEYS}
    fields = [str(record.get(key, "")) for key in _COMMON_KEYS]
    time, _, message, step, process, job, peer = fields
    return LogLine(time, process, step, message, job, peer, facts)


def trace_of(lines: abc.Iterable[LogLine], job: str) -> list[LogLine]:
    """Return the lines about one request.

    :param lines: lines of any requests
    :param job: the job of the request
    """
    return [line for line in lines if line.job == job]


def is_complete(trace: abc.Iterable[LogLine]) -> bool:
    """Return whether a trace explains why its request failed.

    The trace must hold the answer with its reason and, if an order was sent
    for the request, a line of the placement.

    :param trace: lines of one failed request
    """
    lines = list(trace)
    steps = {line.step for line in lines}
    answers = [line for line in lines if line.is_answer]
    if not answers or not answers[-1].reason:
        return False
    if "first_order_s" in answers[-1].facts:
        return "place" in steps
    return True


def failed_jobs(lines: abc.Iterable[LogLine]) -> dict[str, LogLine]:
    """Return the last answer of each failed request, by job.

    :param lines: lines of any requests
    """
    last = {line.job: line for line in lines if line.is_answer}
    return {job: line for job, line in last.items() if line.reason}


@click.group()
def logs() -> None:
    """Inspect logs of the daemons (JSON lines of any number of processes)."""


@logs.command()
@click.argument("files", nargs=-1, type=File, required=True)
def summary(files: tuple[typing.TextIO, ...]) -> None:
    """Count refusals and failures by reason and by minute.

    Example: ferryledge logs summary front-*.log side-*.log
    """
    lines = read_lines(files)
    answers = [line for line in lines if line.is_answer]
    failed = failed_jobs(lines)
    click.echo(f"{len(answers)} answers, {len(failed)} not complete")
    counts = collections.Counter(
        (line.time[:_MINUTE_LENGTH], line.message, line.reason)
        for line in failed.values()
    )
    for (minute, message, reason), count in sorted(counts.items()):
        click.echo(f"{minute}  {count:6}  {reason:<18} {message}")
    omitted = sum(
        int(str(line.facts.get("count", 0)))
        for line in lines
        if line.message == "lines left out by the budget"
    )
    click.echo(f"{omitted} lines left out by the budget")


@logs.command()
@click.argument("files", nargs=-1, type=File, required=True)
def coverage(files: tuple[typing.TextIO, ...]) -> None:
    """Count the failed requests whose log lines are complete.

    The lines are complete if they hold the answer with its reason and, if an
    order was sent, a line of the placement.

    Example: ferryledge logs coverage front-*.log side-*.log
    """
    lines = read_lines(files)
    by_job: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        if line.job:
            by_job[line.job].append(line)
    failed = failed_jobs(lines)
    complete_jobs = [job for job in failed if is_complete(by_job[job])]
    share = 100.0 * len(complete_jobs) / len(failed) if failed else 100.0
    click.echo(
        f"{len(complete_jobs)} of {len(failed)} stories whole: {share:.1f}%"
    )
    for job in sorted(set(failed) - set(complete_jobs)):
        click.echo(f"not whole: {job}")
