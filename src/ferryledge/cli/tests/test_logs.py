"""Tests of ``explain --logs`` and ``logs``."""

import json
import pathlib

from click import testing
import pytest
from syrupy import assertion

from ferryledge import cli


def _line(time: str, process: str, **fields: object) -> str:
    return json.dumps({"time": time, "process": process, **fields})


@pytest.fixture
def files(tmp_path: pathlib.Path) -> list[str]:
    front = tmp_path / "front.log"
    side = tmp_path / "side.log"
    front.write_text(
        "\n".join(
            [
                _line(
                    "T00:00:01.000",
                    "front",
                    step="admit",
                    job="j1",
                    message="admitted",
                    expected_s=0.2,
                ),
                _line(
                    "T00:00:01.001",
                    "front",
                    step="place",
                    job="j1",
                    message="ordered",
                    peer="side",
                    run=1,
                ),
                _line(
                    "T00:00:03.000",
                    "front",
                    step="answer",
                    job="j1",
                    message="answered: failed, may have run",
                    reason="deadline",
                    first_order_s=0.001,
                ),
                _line(
                    "T00:00:03.500",
                    "front",
                    step="answer",
                    job="j2",
                    message="refused, not run",
                    reason="capacity",
                ),
                _line(
                    "T00:00:04.000",
                    "front",
                    step="answer",
                    job="j3",
                    message="answered: complete",
                ),
                _line(
                    "T00:00:05.000",
                    "front",
                    step="answer",
                    job="j4",
                    message="answered: failed, may have run",
                    reason="task_failed",
                    first_order_s=0.001,
                ),
                "cut off {",
            ]
        )
    )
    side.write_text(
        "12.5 side "
        + _line(
            "T00:00:01.002",
            "side",
            step="start",
            job="j1",
            message="order taken",
            peer="front",
            started=1,
        )
        + "\n"
    )
    return [str(front), str(side)]


def _run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(cli.main, arguments)


def test_story_of_one_request(
    files: list[str], snapshot: assertion.SnapshotAssertion
) -> None:
    result = _run("explain", "--logs", files[1], "--logs", files[0], "j1")
    assert result.exit_code == 0
    assert result.output == snapshot


def test_unknown_request_is_an_error(files: list[str]) -> None:
    result = _run("explain", "--logs", files[0], "j9")
    assert result.exit_code != 0
    assert "no line about j9" in result.output


def test_summary(
    files: list[str], snapshot: assertion.SnapshotAssertion
) -> None:
    result = _run("logs", "summary", *files)
    assert result.output == snapshot


def test_coverage_lists_jobs_with_incomplete_lines(
    files: list[str],
) -> None:
    result = _run("logs", "coverage", *files)
    assert "2 of 3 stories whole" in result.output
    assert "not whole: j4" in result.output
