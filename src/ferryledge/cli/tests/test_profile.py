"""Tests of ``ferryledge logs profile``."""

import json
import pathlib

from click import testing
import pytest

from ferryledge import cli
from ferryledge.cli import _logs
from ferryledge.cli import _profile

_STAGE = _profile.Stage


def _line(at_s: float, process: str, message: str, **facts: object) -> str:
    time = f"2026-06-09T10:00:{at_s:06.3f}+00:00"
    return json.dumps(
        {"time": time, "process": process, "message": message, **facts}
    )


def _job_lines(
    job: str, at_s: float, run_s: float, suffix: str = ""
) -> list[str]:
    """Return the log lines of a job with one task."""
    ended_s = at_s + 0.014 + run_s
    answer_fields = {
        "step": "answer",
        "job": job,
        "queue": "holds",
        "waited_s": round(ended_s + 0.003 - at_s, 3),
        "first_order_s": 0.01,
    }
    return [
        _line(at_s, "front", "admitted", step="admit", job=job, queue="holds"),
        _line(at_s + 0.01, "front", "ordered", job=job, peer="side"),
        _line(at_s + 0.014, "side", "order taken", job=job, peer="front"),
        _line(ended_s, "side", "run over", job=job, how="done", held_s=run_s),
        _line(
            ended_s + 0.003,
            "front",
            f"answered: complete{suffix}",
            **answer_fields,
        ),
    ]


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a log with timely, late and refused jobs."""
    refused_fields = {"step": "answer", "queue": "holds", "waited_s": 0.1}
    lines = [
        *_job_lines("a", 1.0, 0.2),
        *_job_lines("b", 1.2, 0.4),
        *_job_lines("c", 4.0, 0.9, ", late by its expected size"),
        _line(
            5.0,
            "front",
            "refused, not run",
            job="d",
            reason="capacity",
            **refused_fields,
        ),
        "no JSON",
    ]
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines))
    return path


@pytest.fixture
def profile(file: pathlib.Path) -> _profile.Profile:
    with file.open() as opened:
        return _profile.Profile(_logs.read_lines([opened]))


@pytest.mark.parametrize(
    ("stage", "median_s"),
    [
        (_STAGE.QUEUE, 0.01),
        (_STAGE.ORDER, 0.004),
        (_STAGE.RUN, 0.4),
        (_STAGE.ANSWER, 0.003),
    ],
)
def test_quantile_of_each_stage(
    profile: _profile.Profile, stage: _profile.Stage, median_s: float
) -> None:
    assert profile.quantile("holds", stage, 0.5) == pytest.approx(median_s)


def test_outcomes_are_counted_by_window(profile: _profile.Profile) -> None:
    outcomes = [
        (window.at.second, window.outcomes) for window in profile.windows
    ]
    assert outcomes == [
        (0, {"in time": 2}),
        (4, {"late": 1, "refused: capacity": 1}),
    ]


def test_quantile_without_durations_is_none(profile: _profile.Profile) -> None:
    assert profile.quantile("none", _STAGE.RUN, 0.5) is None


def test_command_prints_both_tables(file: pathlib.Path) -> None:
    result = testing.CliRunner().invoke(
        cli.main, ["logs", "profile", str(file)]
    )
    assert result.exit_code == 0
    assert "holds" in result.output
    assert (
        "10:00:04  holds          late 1  refused: capacity 1" in result.output
    )
