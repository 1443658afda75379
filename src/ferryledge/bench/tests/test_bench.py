"""The bench is repeatable, and the decisions stay ahead of baselines."""

import dataclasses

import pytest

from ferryledge import bench

CASES = {case.name: case for case in bench.CASES}
SMALL = dataclasses.replace(CASES["load_0.8"], jobs=300)


def test_arrivals_are_the_same_for_a_seed():
    assert bench.make_arrivals(SMALL, 1) == bench.make_arrivals(SMALL, 1)
    assert bench.make_arrivals(SMALL, 1) != bench.make_arrivals(SMALL, 2)


def test_the_product_gives_the_same_result_every_time():
    arrivals = bench.make_arrivals(SMALL, 1)
    first = bench.run_product(SMALL, arrivals, 1)
    assert first == bench.run_product(SMALL, arrivals, 1)


@pytest.mark.parametrize(
    "name",
    ["load_0.8", "one_slow", "one_fails_all", "one_dies", "one_freezes"],
)
def test_it_is_ahead_of_the_baselines(name):
    case = dataclasses.replace(CASES[name], jobs=800)
    strategies = (
        bench.Strategy.FERRYLEDGE,
        bench.Strategy.LEAST_OUTSTANDING,
        bench.Strategy.BATCH_SAMPLING,
    )
    ours, *others = bench.run_case(case, strategies, seeds=2)
    for other in others:
        assert ours.slowdown_p99 < other.slowdown_p99
        assert ours.messages_per_task <= other.messages_per_task
    assert ours.double_starts == ours.partial_answers == 0


def test_the_ideal_queue_is_a_bound_without_faults():
    strategies = (bench.Strategy.IDEAL, bench.Strategy.FERRYLEDGE)
    ideal, ours = bench.run_case(SMALL, strategies, seeds=2)
    assert ideal.slowdown_p50 <= ours.slowdown_p50
