"""Retry budgets and delays that spread those who come back."""

import random


class RetryBudget:
    """Allows retries as a share of first attempts.

    Without such a bound an outage is made worse by the retries that it
    causes.

    :param ratio: retries earned by each first attempt
    :param most: most retries saved up
    """

    def __init__(self, ratio: float = 0.1, most: float = 10.0) -> None:
        self._ratio = ratio
        self._most = most
        self._saved = most

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def attempt(self) -> None:
        """Note a first attempt."""
        self._saved = min(self._most, self._saved + self._ratio)

    def take(self) -> bool:
        """Return whether a retry may be made, and count it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def jittered_delay(base_s: float, most_s: float, rng: random.Random) -> float:
    """Return a delay between one and two times the base, in seconds.

    :param base_s: the least delay that makes sense
    :param most_s: the longest delay
    :param rng: source of the spread
    """
    return min(most_s, base_s * (1.0 + rng.random()))
