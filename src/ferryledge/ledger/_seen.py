"""Remembers which numbers of a rising sequence were seen."""

#: Numbers that may come late, behind the highest one.
_WINDOW = 4096


class SeenNumbers:
    """Tells new numbers from repeats, within bounded memory.

    Numbers come nearly in order; one that is far behind the highest counts
    as seen.

    :param window: how far behind a number may come
    """

    def __init__(self, window: int = _WINDOW) -> None:
        self._window = window
        self._floor = -1
        self._above: set[int] = set()

    def add(self, number: int) -> bool:
        """Note a number.

        :return: whether it was not seen before
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
