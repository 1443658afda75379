"""The adaptive limit after which an answer counts as missing."""

import pytest

from ferryledge.leases import _answer_times


def test_first_answers_keep_the_longest_limit() -> None:
    times = _answer_times.AnswerTimes(0.06)
    for _ in range(20):
        assert times.limit_s == 0.06
        times.note(0.003)
    for _ in range(100):
        times.note(0.003)
    assert times.limit_s == pytest.approx(0.02)


def test_small_initial_deviation_lowers_the_limit_at_once() -> None:
    times = _answer_times.AnswerTimes(0.3, 0.04, 1.0 / 12.0)
    assert times.limit_s == 0.3
    times.note(0.002)
    assert times.limit_s < 0.16
    for _ in range(40):
        times.note(0.002)
    assert times.limit_s == pytest.approx(0.04)


def test_limit_grows_with_the_variation_of_answers() -> None:
    times = _answer_times.AnswerTimes(0.3, 0.04, 1.0 / 12.0)
    for number in range(100):
        times.note(0.005 if number % 2 else 0.045)
    assert 0.1 < times.limit_s <= 0.3
