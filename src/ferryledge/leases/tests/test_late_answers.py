"""A wave whose crest is above the room for some seconds.

On two days in a row one job in a hundred was refused within the four seconds
of a crest, although the load fell right after it and nearly all clients would
have had use for an answer that came somewhat late. By the latest start alone
jobs of all kinds became late at the same moment.
"""

import pathlib

import pytest

import ferryledge
from ferryledge import leases
from ferryledge import loads

FILES = pathlib.Path(ferryledge.__file__).parents[2] / "bench" / "loads"
SEEDS = (1, 2, 3)


def _play(
    name: str, rules: leases.EntryRules | None = None
) -> list[loads.Results]:
    load = loads.read(FILES / f"{name}.toml")
    return [loads.play(load, seed, rules) for seed in SEEDS]


def _mean(played: list[loads.Results], end: loads.JobEnd) -> float:
    return sum(one.share(end) for one in played) / len(played)


@pytest.fixture(scope="module")
def crest() -> list[loads.Results]:
    return _play("crest")


def test_half_of_the_refusals_on_a_crest_are_needless(
    crest: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("late_answers"))
    end = loads.JobEnd
    assert _mean(crest, end.REFUSED) < 0.6 * _mean(without, end.REFUSED)
    assert _mean(crest, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.04
    assert not any(one.violations for one in crest)


def test_fewer_are_late_where_the_largest_wait(
    crest: list[loads.Results],
) -> None:
    without = _play("crest", loads.without("largest_late"))
    end = loads.JobEnd
    assert _mean(crest, end.IN_TIME) > _mean(without, end.IN_TIME) + 0.02
    assert _mean(crest, end.REFUSED) < _mean(without, end.REFUSED)


def test_hardly_an_answer_is_of_no_use(crest: list[loads.Results]) -> None:
    for one in crest:
        useless = sum(
            ended.took_s is not None
            and ended.end is loads.JobEnd.LATE
            and not ended.is_useful
            for ended in one.ended
        )
        assert useless / len(one.ended) < 0.005


def test_what_is_refused_is_refused_promptly(
    crest: list[loads.Results],
) -> None:
    assert all(one.refusal_s() < 0.3 for one in crest)
