"""Figures of a process, served for a scraper.

By the Prometheus client alone: the OpenTelemetry SDK renders by it too and
would take 3 MB more of each process.
"""

from collections import abc

import loguru
import prometheus_client

from ferryledge import leases
from ferryledge import net
from ferryledge import wire

#: Where figures are served; named in deploy/system.toml.
PORT = 9464
_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
#: Upper bounds of the histograms of seconds.
_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
#: Upper bounds of the slowdown: 1 is just on the objective.
_SLOWDOWN = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


class Registry:
    """The figures of one process.

    :param role: first part of all names
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._registry = prometheus_client.CollectorRegistry()

    def counter(
        self, name: str, text: str, labels: abc.Sequence[str] = ()
    ) -> prometheus_client.Counter:
        """Return a new counter."""
        return prometheus_client.Counter(
            f"ferryledge_{self._role}_{name}",
            text,
            labels,
            registry=self._registry,
        )

    def histogram(
        self, name: str, text: str, buckets: abc.Sequence[float] = _SECONDS
    ) -> prometheus_client.Histogram:
        """Return a new histogram."""
        return prometheus_client.Histogram(
            f"ferryledge_{self._role}_{name}",
            text,
            buckets=buckets,
            registry=self._registry,
        )

    def gauge(
        self, name: str, text: str, read: abc.Callable[[], float]
    ) -> None:
        """Add a gauge that is read when it is scraped."""
        gauge = prometheus_client.Gauge(
            f"ferryledge_{self._role}_{name}", text, registry=self._registry
        )
        gauge.set_function(read)

    async def serve(self, host: str) -> None:
        """Serve figures until cancelled; without its port, only log that.

        :param host: IP number to listen on
        """
        app = net.asgi_app(self._handle)
        try:
            await net.serve_until_cancelled(app, host, PORT)
        except* OSError as group:
            loguru.logger.error(
                "no metrics: {}", group.exceptions[0], step="metrics"
            )

    async def _handle(self, request: net.Request) -> net.HttpResponse:
        """Answer a scraper."""
        if request.path != "/metrics":
            return net.HttpResponse.json(404, {"error": "no such page"})
        text = prometheus_client.generate_latest(self._registry)
        return net.HttpResponse(200, text, content_type=_CONTENT_TYPE)


class EntryMetrics(leases.EntryMeter):
    """An entry's counters and histograms.

    :param registry: where they are served from
    """

    def __init__(self, registry: Registry) -> None:
        self._answers = registry.counter(
            "answers", "Jobs answered", ("outcome", "reason")
        )
        self._waited = registry.histogram(
            "answer_seconds", "From a job's arrival to its answer"
        )
        self._slowdown = registry.histogram(
            "slowdown_ratio",
            "An answer's time to its objective, by the job's expected size",
            _SLOWDOWN,
        )
        self._first = registry.histogram(
            "first_order_seconds", "From a job's arrival to its first order"
        )
        self._orders = registry.counter("ordered_runs", "Runs ordered")
        self._released = registry.counter(
            "released_runs", "Runs that agents did not start", ("reason",)
        )
        self._ended = registry.counter("ended_runs", "Runs over", ("how",))
        self._moved = registry.counter(
            "moved_runs", "Runs moved off slow endpoints"
        )
        self._health = registry.counter(
            "health_changes", "Endpoints ejected or taken back"
        )

    def answered(
        self, outcome: str, reason: str, waited_s: float, slowdown: float
    ) -> None:
        """Count an answer."""
        self._answers.labels(outcome, reason).inc()
        self._waited.observe(waited_s)
        self._slowdown.observe(slowdown)

    def first_order(self, waited_s: float) -> None:
        """Count a job's first order."""
        self._first.observe(waited_s)

    def ordered(self, count: int) -> None:
        """Count ordered runs."""
        self._orders.inc(count)

    def not_started(self, reason: wire.NotStarted) -> None:
        """Count a released run."""
        self._released.labels(str(reason)).inc()

    def ended(self, how: wire.HowEnded) -> None:
        """Count an end."""
        self._ended.labels(str(how)).inc()

    def moved(self) -> None:
        """Count a move."""
        self._moved.inc()

    def health_changed(self) -> None:
        """Count a change of health."""
        self._health.inc()


class AgentMetrics(leases.AgentMeter):
    """An agent's counters and histograms.

    :param registry: where they are served from
    """

    def __init__(self, registry: Registry) -> None:
        self._orders = registry.counter(
            "orders", "Runs taken (no reason) or released", ("reason",)
        )
        self._over = registry.counter("runs_over", "Runs over", ("how",))
        self._held = registry.histogram(
            "run_seconds", "From a run's order to its proved end"
        )
        self._unanswered = registry.counter(
            "orders_unanswered", "Orders to the endpoint without an answer"
        )
        self._suspected = registry.counter(
            "streams_suspected", "Streams taken for silent"
        )
        self._grants = registry.counter(
            "grants_run_out", "Runs stopped for want of a grant"
        )
        self._heartbeats = registry.counter(
            "heartbeats_passed_over", "Heartbeats not believed, or not yet"
        )
        self._renewals = registry.counter(
            "renewals", "Renewals of the lease (no fault) or not", ("fault",)
        )

    def order(self, reason: str, count: int) -> None:
        """Count runs taken or released."""
        self._orders.labels(reason).inc(count)

    def over(self, how: wire.HowEnded, held_s: float) -> None:
        """Count a run's end."""
        self._over.labels(str(how)).inc()
        self._held.observe(held_s)

    def unanswered(self) -> None:
        """Count an order without an answer."""
        self._unanswered.inc()

    def suspected(self) -> None:
        """Count a stream taken for silent."""
        self._suspected.inc()

    def heartbeat_passed_over(self) -> None:
        """Count a heartbeat that is not believed, or not yet."""
        self._heartbeats.inc()

    def grant_ran_out(self) -> None:
        """Count a run stopped for want of a grant."""
        self._grants.inc()

    def renewed(self, fault: str) -> None:
        """Count a renewal."""
        self._renewals.labels(fault).inc()
