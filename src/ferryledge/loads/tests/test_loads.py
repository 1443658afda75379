"""Loads are the same for the same seed, and files are checked."""

import operator
import pathlib

from click import testing
import pytest

import ferryledge
from ferryledge import loads
from ferryledge.loads import __main__
from ferryledge.loads import _ideal
from ferryledge.loads import _jobs
from ferryledge.loads import _outcomes

FILES = pathlib.Path(ferryledge.__file__).parents[2] / "bench" / "loads"
KIND = """
[[kinds]]
name = "quick"
weight = 1.0
tasks = 2
work_s = 0.1
"""
PHASE = "[[phases]]\nat = 0.0\nload = 0.5\n"
HEAD = 'name = "a"\nabout = "b"\nseconds = 2.0\n'


@pytest.fixture
def small(tmp_path: pathlib.Path) -> loads.Load:
    path = tmp_path / "load.toml"
    path.write_text(HEAD + PHASE + KIND)
    return loads.read(path)


@pytest.mark.parametrize(
    "path", sorted(FILES.glob("*.toml")), ids=operator.attrgetter("stem")
)
def test_each_file_holds_a_load(path: pathlib.Path) -> None:
    load = loads.read(path)
    assert load.name == path.stem
    drawn = loads.draw(load, 1, loads.pool_cores(load))
    assert drawn == loads.draw(load, 1, loads.pool_cores(load))
    assert drawn != loads.draw(load, 2, loads.pool_cores(load))


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("name =", "Invalid value"),
        (HEAD + PHASE, "kinds: Field required"),
        (HEAD + KIND, "phases: Field required"),
        (HEAD + PHASE.replace("0.0", "1.0") + KIND, "begin with one at 0"),
        (HEAD + PHASE.replace("0.5", "-1") + KIND, "phases.0.load"),
        (HEAD + PHASE + "kinds = { slow = 2.0 }\n" + KIND, "no kind 'slow'"),
        (HEAD + PHASE + KIND.replace("1.0", "0.0"), "a weight above 0"),
        (
            HEAD + PHASE + '[[faults]]\nat = 1.0\nwhat = "rain"\n' + KIND,
            "faults.0.what",
        ),
    ],
)
def test_a_wrong_file_says_where_and_why(
    tmp_path: pathlib.Path, text: str, told: str
) -> None:
    path = tmp_path / "load.toml"
    path.write_text(text)
    with pytest.raises(loads.LoadError, match=str(path)) as caught:
        loads.read(path)
    assert told in str(caught.value)


def test_drawn_work_is_what_the_phase_says(small: loads.Load) -> None:
    cores = 1000.0
    work = sum(job.core_s for job in loads.draw(small, 1, cores))
    assert work == pytest.approx(0.5 * cores * small.seconds, rel=0.05)


def test_a_light_load_is_served_whole(small: loads.Load) -> None:
    played = loads.play(small, 1)
    assert played.worth == 1.0
    assert played.at_work == pytest.approx(0.5, abs=0.1)
    assert not played.violations
    assert loads.serve_ideally(small, 1).worth == 1.0


def make_job(at: float, **fields: float) -> _jobs.Job:
    kind = loads.Kind("quick", 1.0, 10, 0.2, 1000, worth=2.0)
    plain = {"tasks": 10, "work_s": 0.2, "guess_s": 0.2, "deadline_s": 2.0}
    return _jobs.Job("a", kind, at, **{**plain, **fields}, pick=0.5)


def test_one_queue_refuses_what_would_be_late() -> None:
    # The slack is 0.18 s, and the pool has room for one of them.
    jobs = [make_job(0.0), make_job(0.1), make_job(0.11)]
    served = _ideal.serve(jobs, 10.0)
    end = [one.end for one in served.ended]
    assert end.count(loads.JobEnd.IN_TIME) == 2
    assert end.count(loads.JobEnd.REFUSED) == 1


def test_results_count_worth_and_waste() -> None:
    end = loads.JobEnd
    job = make_job(0.0)
    results = loads.Results(
        (
            _outcomes.Ended(job, end.IN_TIME, 0.2),
            _outcomes.Ended(job, end.LATE, 0.9),
            _outcomes.Ended(job, end.REFUSED, 0.05),
            _outcomes.Ended(job, end.FAILED),
        )
    )
    assert results.worth == 0.25
    assert results.wasted == 0.5
    assert results.refusal_s() == 0.05
    assert results.by_time() == [0.25]


def test_a_rule_of_no_name_is_told() -> None:
    with pytest.raises(ValueError, match="known: latest_start_first"):
        loads.without("none")


def test_a_rule_that_does_nothing_on_a_load_gains_nothing(
    small: loads.Load,
) -> None:
    (gain,) = loads.measure([small], [1], ["prompt_refusals"])
    assert (gain.mean, gain.least, gain.most) == (0.0, 0.0, 0.0)


def test_commands_replay_and_compare(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "load.toml"
    path.write_text(HEAD + PHASE + KIND)
    run = testing.CliRunner().invoke
    shown = run(__main__.main, ["play", str(path)])
    assert '"worth": 1.0' in shown.output
    shown = run(__main__.main, ["table", "--seeds", "1", str(path)])
    assert "| a | 1.000 | 1.000 |" in shown.output
    options = ["ablate", "--seeds", "1", "--rule", "moves", str(path)]
    shown = run(__main__.main, options)
    assert "| a | moves | +0.000 | +0.000 | +0.000 |" in shown.output


def test_a_file_that_holds_no_load_is_told_in_a_line(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "load.toml"
    path.write_text("name = 3")
    shown = testing.CliRunner().invoke(__main__.main, ["play", str(path)])
    assert shown.exit_code == 2
    assert str(path) in shown.output
