"""Metrics by OpenTelemetry, rendered for a scraper without a server."""

from collections import abc

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as sdk
import prometheus_client

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """The meters of one process.

    :param role: the process's role, the prefix of all names
    """

    def __init__(self, role: str) -> None:
        self._role = role
        reader = prometheus.PrometheusMetricReader()
        self._reader = reader
        self._provider = sdk.MeterProvider(metric_readers=[reader])
        self._meter = self._provider.get_meter("ferryledge")

    def counter(self, name: str, description: str) -> otel.Counter:
        """Return a counter."""
        return self._meter.create_counter(
            f"{self._role}.{name}", description=description
        )

    def histogram(
        self, name: str, unit: str, description: str
    ) -> otel.Histogram:
        """Return a histogram."""
        return self._meter.create_histogram(
            f"{self._role}.{name}", unit=unit, description=description
        )

    def gauge(
        self,
        name: str,
        description: str,
        read: abc.Callable[[], float],
    ) -> None:
        """Add a gauge that is read when it is scraped."""

        def observe(
            options: otel.CallbackOptions,
        ) -> abc.Iterable[otel.Observation]:
            return [otel.Observation(read())]

        self._meter.create_observable_gauge(
            f"{self._role}.{name}", [observe], description=description
        )

    def render(self) -> bytes:
        """Return all metrics as text for a scraper."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()
