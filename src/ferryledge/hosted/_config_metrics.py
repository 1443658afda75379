"""Metrics of configuration reads."""

import loguru

from ferryledge.hosted import _config
from ferryledge.hosted import _metrics


class ConfigMetrics(_config.ConfigMeter):
    """Counts configuration reads in a process's metrics.

    :param registry: serves the metrics
    """

    def __init__(self, registry: _metrics.Registry) -> None:
        self._bytes = registry.counter(
            "config_read_bytes", "Bytes of configurations read of the store"
        )
        self._seconds = registry.histogram(
            "config_read_seconds", "From a configuration's first byte read"
        )
        self._replaced = registry.counter(
            "config_replaced", "Records replaced before they were read"
        )

    def read(self, size: int, took_s: float) -> None:
        """Count a version that was read."""
        self._bytes.add(size)
        self._seconds.observe(took_s)
        loguru.logger.info(
            "configuration read: {} bytes in {:.2f} s",
            size,
            took_s,
            step="config",
        )

    def replaced(self, count: int) -> None:
        """Count records that were replaced before they were read."""
        if not count:
            return
        self._replaced.add(count)
        loguru.logger.info(
            "skipped {} records that newer ones replaced",
            count,
            step="config",
        )
