"""OpenTelemetry metrics, rendered as Prometheus text.

The daemons serve this text on their own HTTP port; there is no separate port
for an exporter.
"""

from collections import abc

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as sdk
import prometheus_client

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """The metrics of one process.

    :param role: role of the process, the prefix of all metric names
    """

    def __init__(self, role: str) -> None:
        self._role = role
        reader = prometheus.PrometheusMetricReader()
        self._reader = reader
        self._provider = sdk.MeterProvider(metric_readers=[reader])
        self._meter = self._provider.get_meter("ferryledge")

    def counter(self, name: str, description: str) -> otel.Counter:
        """Create a counter."""
        return self._meter.create_counter(
            f"{self._role}.{name}", description=description
        )

    def histogram(
        self, name: str, unit: str, description: str
    ) -> otel.Histogram:
        """Create a histogram."""
        return self._meter.create_histogram(
            f"{self._role}.{name}", unit=unit, description=description
        )

    def gauge(
        self,
        name: str,
        description: str,
        read: abc.Callable[[], float],
    ) -> None:
        """Create a gauge whose value is read at each scrape.

        :param name: name of the metric without the role
        :param description: help text of the metric
        :param read: returns the current value
        """

        def observe(
            options: otel.CallbackOptions,
        ) -> abc.Iterable[otel.Observation]:
            return [otel.Observation(read())]

        self._meter.create_observable_gauge(
            f"{self._role}.{name}", [observe], description=description
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Stop the collection of metrics."""
        self._provider.shutdown()
