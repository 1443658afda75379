"""Renders a process's figures by the Prometheus client."""

from collections import abc
import itertools

import prometheus_client
from prometheus_client import core

from ferryledge.hosted import _figures


class _Collector:
    """Hands figures to the client's registry.

    :param figures: what to hand over
    """

    def __init__(self, figures: abc.Sequence[_figures.Figure]) -> None:
        self._figures = figures

    def collect(self) -> abc.Iterator[core.Metric]:
        """Yield the figures as they are now."""
        for figure in self._figures:
            yield _family_of(figure)


def _family_of(figure: _figures.Figure) -> core.Metric:
    match figure:
        case _figures.Counter():
            counter = core.CounterMetricFamily(
                figure.name, figure.text, labels=figure.labels
            )
            for labels, value in figure.values.items():
                counter.add_metric(labels, value)
            return counter
        case _figures.Histogram():
            histogram = core.HistogramMetricFamily(figure.name, figure.text)
            histogram.add_metric([], _buckets_of(figure), figure.total)
            return histogram
        case _figures.Gauge():
            return core.GaugeMetricFamily(
                figure.name, figure.text, figure.read()
            )


def _buckets_of(figure: _figures.Histogram) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with all that is not above it."""
    bounds = [str(bound) for bound in figure.bounds] + ["+Inf"]
    sums = itertools.accumulate(figure.counts)
    return [
        (bound, float(count))
        for bound, count in zip(bounds, sums, strict=True)
    ]


def render(figures: abc.Sequence[_figures.Figure]) -> bytes:
    """Return figures as a scraper reads them."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(figures))
    return prometheus_client.generate_latest(registry)
