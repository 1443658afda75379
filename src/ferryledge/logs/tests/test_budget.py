"""Tests of the rate limit for log lines and of the non-blocking sink."""

import os

from ferryledge import logs


def test_urgent_lines_have_a_reserve() -> None:
    budget = logs.Budget(lines_per_second=10.0, burst=20.0)
    budget.take(0.0, urgent=True)
    successes = sum(budget.take(0.0, urgent=False) for _ in range(1000))
    failures = sum(budget.take(0.0, urgent=True) for _ in range(1000))
    assert 0 < successes < 20
    assert failures >= 9
    assert budget.take_left_out() == 2000 - successes - failures


def test_rate_is_bounded() -> None:
    budget = logs.Budget(lines_per_second=10.0, burst=20.0)
    written = sum(
        budget.take(tick / 100.0, urgent=True) for tick in range(10_000)
    )
    assert written <= 10 * 100 + 300


def test_sink_drops_lines_if_the_reader_is_stalled_or_gone() -> None:
    reader, writer = os.pipe()
    sink = logs.NonBlockingSink(writer)
    for _ in range(5000):
        sink.write("x" * 100 + "\n")
    assert sink.dropped
    os.close(reader)
    sink.write("after the reader is gone\n")
    os.close(writer)
