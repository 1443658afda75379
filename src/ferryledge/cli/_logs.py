"""Reads the daemons' logs: one request's story, counts of what failed."""

import collections
from collections import abc
import dataclasses
import json
import typing

import click

#: Keys of a line that are shown apart from what decided it.
_SHOWN_APART = ("time", "level", "message", "step", "process", "job", "peer")
#: Characters of a time that name its minute.
_MINUTE = 16

File = click.File("r", errors="replace")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log."""

    time: str
    process: str
    step: str
    message: str
    #: The request that it concerns; empty if none does.
    job: str
    peer: str
    #: What decided it.
    facts: abc.Mapping[str, object]

    @property
    def is_answer(self) -> bool:
        """Whether it tells the end of a request."""
        return self.step == "answer" and bool(self.job)

    @property
    def reason(self) -> str:
        """Why a request was not completed; empty if it was."""
        return str(self.facts.get("reason", ""))

    def render(self) -> str:
        """Return the line for a person."""
        facts = "  ".join(f"{key}={val}" for key, val in self.facts.items())
        peer = f" ({self.peer})" if self.peer else ""
        head = f"{self.time}  {self.process:<16} {self.step:<8}"
        return f"{head} {self.message}{peer}  {facts}".rstrip()


def read_lines(files: abc.Iterable[typing.TextIO]) -> list[LogLine]:
    """Return the lines of all files in the order of their times.

    What stands before a line's JSON is passed over, and so are lines
    without JSON.
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
        plain = json.loads(text[start:])
    except ValueError:
        return None  # Cut off, or not ours.
    if not isinstance(plain, dict) or "time" not in plain:
        return None
    facts = {k: v for k, v in plain.items() if k not in _SHOWN_APART}
    fields = [str(plain.get(key, "")) for key in _SHOWN_APART]
    time, _, message, step, process, job, peer = fields
    return LogLine(time, process, step, message, job, peer, facts)


def story_of(lines: abc.Iterable[LogLine], job: str) -> list[LogLine]:
    """Return the lines about one request."""
    return [line for line in lines if line.job == job]


def is_whole(story: abc.Iterable[LogLine]) -> bool:
    """Return whether a failed request's story tells how it came to be.

    It tells the admission, or that there was none, what happened to the
    orders if there were any, and the answer with its reason.
    """
    lines = list(story)
    steps = {line.step for line in lines}
    answers = [line for line in lines if line.is_answer]
    if not answers or not answers[-1].reason:
        return False
    if "first_order_s" in answers[-1].facts:
        return "place" in steps
    return True


def failed_jobs(lines: abc.Iterable[LogLine]) -> dict[str, LogLine]:
    """Return the last answers of requests that were not completed."""
    last = {line.job: line for line in lines if line.is_answer}
    return {job: line for job, line in last.items() if line.reason}


@click.group()
def logs() -> None:
    """Look into the daemons' logs (JSON lines, any number of processes)."""


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
        (line.time[:_MINUTE], line.message, line.reason)
        for line in failed.values()
    )
    for (minute, message, reason), count in sorted(counts.items()):
        click.echo(f"{minute}  {count:6}  {reason:<18} {message}")
    left_out = sum(
        int(str(line.facts.get("count", 0)))
        for line in lines
        if line.message == "lines left out by the budget"
    )
    click.echo(f"{left_out} lines left out by the budget")


@logs.command()
@click.argument("files", nargs=-1, type=File, required=True)
def coverage(files: tuple[typing.TextIO, ...]) -> None:
    """Count the failed requests whose story is told as a whole.

    Example: ferryledge logs coverage front-*.log side-*.log
    """
    lines = read_lines(files)
    by_job: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        if line.job:
            by_job[line.job].append(line)
    failed = failed_jobs(lines)
    whole = [job for job in failed if is_whole(by_job[job])]
    share = 100.0 * len(whole) / len(failed) if failed else 100.0
    click.echo(f"{len(whole)} of {len(failed)} stories whole: {share:.1f}%")
    for job in sorted(set(failed) - set(whole)):
        click.echo(f"not whole: {job}")
