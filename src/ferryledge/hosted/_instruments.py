"""Metric instruments that hold plain numbers until they are rendered."""

import bisect
from collections import abc

#: Values of an instrument's labels, in the order of the labels' names.
LabelValues = tuple[str, ...]


class Counter:
    """Counts events for each combination of label values.

    :param name: full name of the metric
    :param text: description of what is counted
    :param labels: names of the labels
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
        """Increase the count for the given label values."""
        self.values[labels] = self.values.get(labels, 0.0) + count


class Histogram:
    """Counts observed values in buckets.

    :param name: full name of the metric
    :param text: description of what is observed
    :param bounds: upper bounds of the buckets, in ascending order
    """

    def __init__(
        self, name: str, text: str, bounds: abc.Sequence[float]
    ) -> None:
        self.name = name
        self.text = text
        self.bounds = tuple(bounds)
        #: Observations in each bucket; the last bucket has no upper bound.
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class Gauge:
    """Reads a current value when it is rendered.

    :param name: full name of the metric
    :param text: description of the value
    :param read: returns the value
    """

    def __init__(
        self, name: str, text: str, read: abc.Callable[[], float]
    ) -> None:
        self.name = name
        self.text = text
        self.read = read


Instrument = Counter | Histogram | Gauge
