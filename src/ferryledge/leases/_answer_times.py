"""How long the endpoint usually takes to answer an order."""

#: Weight of the newest answer in the averages.
_DECAY = 0.05
#: An answer later than so many mean deviations above the mean is missing.
_DEVIATIONS = 6.0
#: Shortest time that is waited, in seconds: an agent that starts thirty
#: runs at once is itself busy for about ten milliseconds.
_SHORTEST_S = 0.02


class AnswerTimes:
    """Learns when an order without an answer is to be given up.

    :param longest_s: what is waited at the most, and at first
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self._mean_s = longest_s
        self._deviation_s = 0.0

    def note(self, took_s: float) -> None:
        """Take in an order that was answered.

        :param took_s: seconds from the order to its answer
        """
        off_s = took_s - self._mean_s
        self._mean_s += _DECAY * off_s
        self._deviation_s += _DECAY * (abs(off_s) - self._deviation_s)

    @property
    def limit_s(self) -> float:
        """Seconds after which an answer counts as missing."""
        limit_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(self._longest_s, max(_SHORTEST_S, limit_s))
