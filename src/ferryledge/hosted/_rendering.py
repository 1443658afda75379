"""Renders a process's metrics with the Prometheus client."""

from collections import abc
import itertools

import prometheus_client
from prometheus_client import core

from ferryledge.hosted import _instruments


class _Collector:
    """Provides instruments to the Prometheus client's registry.

    :param instruments: the instruments to render
    """

    def __init__(
        self, instruments: abc.Sequence[_instruments.Instrument]
    ) -> None:
        self._instruments = instruments

    def collect(self) -> abc.Iterator[core.Metric]:
        """Yield the current values of all instruments."""
        for instrument in self._instruments:
            yield _to_family(instrument)


def _to_family(instrument: _instruments.Instrument) -> core.Metric:
    match instrument:
        case _instruments.Counter():
            counter = core.CounterMetricFamily(
                instrument.name, instrument.text, labels=instrument.labels
            )
            for labels, value in instrument.values.items():
                counter.add_metric(labels, value)
            return counter
        case _instruments.Histogram():
            histogram = core.HistogramMetricFamily(
                instrument.name, instrument.text
            )
            histogram.add_metric(
                [], _cumulative_buckets(instrument), instrument.total
            )
            return histogram
        case _instruments.Gauge():
            return core.GaugeMetricFamily(
                instrument.name, instrument.text, instrument.read()
            )


def _cumulative_buckets(
    instrument: _instruments.Histogram,
) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with its cumulative count."""
    bounds = [str(bound) for bound in instrument.bounds] + ["+Inf"]
    sums = itertools.accumulate(instrument.counts)
    return [
        (bound, float(count))
        for bound, count in zip(bounds, sums, strict=True)
    ]


def render(instruments: abc.Sequence[_instruments.Instrument]) -> bytes:
    """Return the instruments' values in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(instruments))
    return prometheus_client.generate_latest(registry)
