"""Detection of repeated numbers in a rising sequence."""

#: Most numbers kept beyond the first gap in the sequence.
_WINDOW = 4096


class SeenNumbers:
    """Detects repeated numbers within bounded memory.

    Numbers are expected to arrive nearly in order. If more than a window
    of numbers arrive beyond a gap, the missing ones count as seen.

    :param window: most numbers kept beyond a gap
    """

    def __init__(self, window: int = _WINDOW) -> None:
        self._window = window
        self._floor = -1
        self._above: set[int] = set()

    def add(self, number: int) -> bool:
        """Record a number.

        :return: whether the number is new
        """
        if number <= self._floor or number in self._above:
            return False
        self._above.add(number)
        while self._floor + 1 in self._above:
            self._floor += 1
            self._above.remove(self._floor)
        if len(self._above) > self._window:
            self._floor = min(self._above)
            self._above.remove(self._floor)
        return True
