"""Second tries never exceed a share of the work."""

from ferryledge.leases import _retry_budget


def test_second_tries_are_a_share_of_the_starts() -> None:
    budget = _retry_budget.RetryBudget()
    again = 0
    for number in range(1000):
        now = number * 0.001
        tried = min(1, budget.left(now))
        again += tried
        budget.note_started(now, 1, tried)
    assert again <= 0.2 * 1000 + 10 + 10


def test_few_jobs_on_an_idle_pool_are_tried_again() -> None:
    budget = _retry_budget.RetryBudget()
    for number in range(20):
        assert budget.left(float(number))
        budget.note_started(float(number), 1, 1)


def test_what_has_no_budget_waits_a_little() -> None:
    budget = _retry_budget.RetryBudget()
    budget.note_started(1.0, 0, 10)
    assert not budget.left(1.0)
    assert budget.left(1.11) == 1


def test_more_second_tries_than_budget_are_made_up_for() -> None:
    budget = _retry_budget.RetryBudget()
    budget.note_started(1.0, 0, 30)
    assert not budget.left(2.9)
    assert budget.left(3.2)
