"""Learns from past answers when an answer counts as missing.

The limit is the mean answer time plus a multiple of the mean deviation, as in
the retransmission timeout of TCP.
"""

#: Weight of the newest answer in the averages.
_NEWEST_WEIGHT = 0.05
#: Mean deviations above the mean after which an answer counts as missing.
_DEVIATIONS = 6.0
#: Initial mean deviation as a share of the longest limit. The limit then falls
#: below the longest one only after some twenty answers. A caller that trusts
#: the first ones takes orders on a busy machine for unanswered, and each of
#: these is stopped and ordered again.
_INITIAL_SHARE = 0.5
#: Shortest limit in seconds; an agent that starts thirty runs at once is
#: itself busy for about ten milliseconds.
_SHORTEST_S = 0.02


class AnswerTimes:
    """An adaptive limit for the time to an answer.

    :param longest_s: the longest limit in seconds
    :param shortest_s: the shortest limit in seconds
    :param first_share: the initial mean deviation as a share of the longest
        limit; may be small where a false alarm is cheap
    """

    def __init__(
        self,
        longest_s: float,
        shortest_s: float = _SHORTEST_S,
        first_share: float = _INITIAL_SHARE,
    ) -> None:
        self._longest_s = longest_s
        self._shortest_s = shortest_s
        self._mean_s: float | None = None
        self._deviation_s = first_share * longest_s

    def note(self, took_s: float) -> None:
        """Record the time of an answer.

        :param took_s: seconds from the call to its answer
        """
        if self._mean_s is None:
            self._mean_s = took_s
        deviation_s = took_s - self._mean_s
        self._mean_s += _NEWEST_WEIGHT * deviation_s
        self._deviation_s += _NEWEST_WEIGHT * (
            abs(deviation_s) - self._deviation_s
        )

    @property
    def limit_s(self) -> float:
        """Seconds after which an answer counts as missing."""
        if self._mean_s is None:
            return self._longest_s
        limit_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(self._longest_s, max(self._shortest_s, limit_s))
