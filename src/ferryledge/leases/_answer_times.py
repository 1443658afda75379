"""How long a peer usually takes to answer."""

#: Weight of the newest answer in the averages.
_DECAY = 0.05
#: An answer later than so many mean deviations above the mean is missing.
_DEVIATIONS = 6.0
#: What deviations are taken to be at first, as a share of the longest time:
#: some twenty answers pass before less than the longest is waited. A caller
#: that trusted the first ones took 5 of 851 orders on a busy machine for
#: unanswered; each was stopped and ordered again.
_CAUTIOUS_SHARE = 0.5
#: Shortest time that is waited, in seconds: an agent that starts thirty
#: runs at once is itself busy for about ten milliseconds.
_SHORTEST_S = 0.02


class AnswerTimes:
    """Learns when an answer counts as missing.

    :param longest_s: what is waited at the most
    :param shortest_s: what is waited at the least
    :param first_share: what deviations are taken to be at first, as a share
        of the longest time; small where a false alarm is cheap
    """

    def __init__(
        self,
        longest_s: float,
        shortest_s: float = _SHORTEST_S,
        first_share: float = _CAUTIOUS_SHARE,
    ) -> None:
        self._longest_s = longest_s
        self._shortest_s = shortest_s
        self._mean_s: float | None = None
        self._deviation_s = first_share * longest_s

    def note(self, took_s: float) -> None:
        """Take in an answer.

        :param took_s: seconds from the call to its answer
        """
        if self._mean_s is None:
            self._mean_s = took_s
        off_s = took_s - self._mean_s
        self._mean_s += _DECAY * off_s
        self._deviation_s += _DECAY * (abs(off_s) - self._deviation_s)

    @property
    def limit_s(self) -> float:
        """Seconds after which an answer counts as missing."""
        if self._mean_s is None:
            return self._longest_s
        limit_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(self._longest_s, max(self._shortest_s, limit_s))
