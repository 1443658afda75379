"""Counts of a process, kept in plain numbers until someone asks for them."""

import bisect
from collections import abc

#: The values of a figure's labels, in the order of their names.
LabelValues = tuple[str, ...]


class Counter:
    """Counts up, for each set of labels on its own.

    :param name: full name of the figure
    :param text: what it counts
    :param labels: names of its labels
    """

    def __init__(
        self, name: str, text: str, labels: abc.Sequence[str] = ()
    ) -> None:
        self.name = name
        self.text = text
        self.labels = tuple(labels)
        self.values: dict[LabelValues, float] = {}
        if not labels:
            self.values[()] = 0.0

    def add(self, count: float = 1.0, *labels: str) -> None:
        """Count something that bears these labels."""
        self.values[labels] = self.values.get(labels, 0.0) + count


class Histogram:
    """Counts observations by size.

    :param name: full name of the figure
    :param text: what is observed
    :param bounds: upper bounds of its buckets, rising
    """

    def __init__(
        self, name: str, text: str, bounds: abc.Sequence[float]
    ) -> None:
        self.name = name
        self.text = text
        self.bounds = tuple(bounds)
        #: Observations in each bucket, the last one without bound.
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class Gauge:
    """Reads a figure when someone asks for it.

    :param name: full name of the figure
    :param text: what it tells
    :param read: returns it
    """

    def __init__(
        self, name: str, text: str, read: abc.Callable[[], float]
    ) -> None:
        self.name = name
        self.text = text
        self.read = read


Figure = Counter | Histogram | Gauge
