"""When an answer counts as missing."""

import pytest

from ferryledge.leases import _answer_times


def test_cautious_caller_waits_longest_for_the_first_answers() -> None:
    times = _answer_times.AnswerTimes(0.06)
    for _ in range(20):
        assert times.limit_s == 0.06
        times.note(0.003)
    for _ in range(100):
        times.note(0.003)
    assert times.limit_s == pytest.approx(0.02)


def test_trusting_caller_goes_by_the_first_answer() -> None:
    times = _answer_times.AnswerTimes(0.3, 0.04, 1.0 / 12.0)
    assert times.limit_s == 0.3
    times.note(0.002)
    assert times.limit_s < 0.16
    for _ in range(40):
        times.note(0.002)
    assert times.limit_s == pytest.approx(0.04)


def test_answers_that_differ_are_waited_for_longer() -> None:
    times = _answer_times.AnswerTimes(0.3, 0.04, 1.0 / 12.0)
    for number in range(100):
        times.note(0.005 if number % 2 else 0.045)
    assert 0.1 < times.limit_s <= 0.3
