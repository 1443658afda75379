"""Retry budgets and jittered retry delays."""

import random


class RetryBudget:
    """Limits retries to a share of first attempts.

    The limit keeps retries from amplifying an outage.

    :param ratio: retries earned by each first attempt
    :param most: maximum number of unused retries that are kept
    """

    def __init__(self, ratio: float = 0.1, most: float = 10.0) -> None:
        self._ratio = ratio
        self._max_available = most
        self._available = most

    @property
    def available(self) -> float:
        """Retries that are available."""
        return self._available

    def record_attempt(self) -> None:
        """Record a first attempt."""
        self._available = min(
            self._max_available, self._available + self._ratio
        )

    def try_acquire(self) -> bool:
        """Use a retry of the budget.

        :return: whether a retry was available
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def jittered_delay(base_s: float, most_s: float, rng: random.Random) -> float:
    """Return a jittered delay in seconds.

    The delay lies between one and two times the base, up to the longest.

    :param base_s: shortest delay in seconds
    :param most_s: longest delay in seconds
    :param rng: source of the jitter
    """
    return min(most_s, base_s * (1.0 + rng.random()))
