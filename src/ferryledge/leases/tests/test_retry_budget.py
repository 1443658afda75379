"""The token bucket that limits retries."""

from ferryledge.leases import _retry_budget


def test_retries_are_limited_to_a_share_of_starts() -> None:
    budget = _retry_budget.RetryBudget()
    retried = 0
    for number in range(1000):
        now = number * 0.001
        retries = min(1, budget.available(now))
        retried += retries
        budget.note_started(now, 1, retries)
    assert retried <= 0.2 * 1000 + 10 + 10


def test_few_jobs_on_an_idle_pool_are_retried() -> None:
    budget = _retry_budget.RetryBudget()
    for number in range(20):
        assert budget.available(float(number))
        budget.note_started(float(number), 1, 1)


def test_empty_bucket_refills_with_time() -> None:
    budget = _retry_budget.RetryBudget()
    budget.note_started(1.0, 0, 10)
    assert not budget.available(1.0)
    assert budget.available(1.11) == 1


def test_overdrawn_bucket_refills_before_further_retries() -> None:
    budget = _retry_budget.RetryBudget()
    budget.note_started(1.0, 0, 30)
    assert not budget.available(2.9)
    assert budget.available(3.2)
