"""Limits how many failed tasks are started again.

In a pool where many tasks fail, retries would take the capacity from first
tries. They are limited by a token bucket, which first tries and time refill.
A task without a token waits.
"""

#: Tokens for each first try: a pool that fails everything is asked for a fifth
#: more than callers ask for, beside the tokens for each second.
_TOKENS_PER_FIRST_TRY = 0.2
#: Tokens for each second, so that a few jobs on an idle pool can be retried.
_TOKENS_PER_S = 10.0
#: Most tokens in the bucket; enough for the failures of one endpoint.
_MAX_TOKENS = 10.0


class RetryBudget:
    """A token bucket for retries; it may go below zero."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS
        self._refilled_at = 0.0

    def note_started(self, now: float, first: int, retried: int) -> None:
        """Record an order.

        :param now: monotonic seconds
        :param first: the number of tasks started for the first time
        :param retried: the number of tasks started again after a failure
        """
        self._refill(now)
        self._add(_TOKENS_PER_FIRST_TRY * first - retried)

    def available(self, now: float) -> int:
        """Return how many failed tasks may be started again now."""
        self._refill(now)
        return max(0, int(self._tokens))

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._add(_TOKENS_PER_S * elapsed_s)

    def _add(self, tokens: float) -> None:
        self._tokens = min(_MAX_TOKENS, self._tokens + tokens)
