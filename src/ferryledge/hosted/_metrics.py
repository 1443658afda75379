"""Figures of a process, served for a scraper.

By the Prometheus client alone: the OpenTelemetry SDK renders by it too and
would take 3 MB more of each process.
"""

from collections import abc

import loguru

from ferryledge.hosted import _figures
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
        self._figures: list[_figures.Figure] = []

    def counter(
        self, name: str, text: str, labels: abc.Sequence[str] = ()
    ) -> _figures.Counter:
        """Return a new counter."""
        counter = _figures.Counter(self._full(name), text, labels)
        self._figures.append(counter)
        return counter

    def histogram(
        self, name: str, text: str, bounds: abc.Sequence[float] = _SECONDS
    ) -> _figures.Histogram:
        """Return a new histogram."""
        histogram = _figures.Histogram(self._full(name), text, bounds)
        self._figures.append(histogram)
        return histogram

    def gauge(
        self, name: str, text: str, read: abc.Callable[[], float]
    ) -> None:
        """Add a gauge that is read when it is scraped."""
        self._figures.append(_figures.Gauge(self._full(name), text, read))

    def _full(self, name: str) -> str:
        return f"ferryledge_{self._role}_{name}"

    def render(self) -> bytes:
        """Return all figures as a scraper reads them."""
        # Imported when someone looks: a start takes 7% fewer instructions
        # without the renderer (callgrind).
        from ferryledge.hosted import _rendering

        return _rendering.render(self._figures)

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
        text = self.render()
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
        self._put_back = registry.counter(
            "put_back_jobs", "Jobs put behind all that can be in time"
        )
        self._orders = registry.counter("ordered_runs", "Runs ordered")
        self._released = registry.counter(
            "released_runs", "Runs that agents did not start", ("reason",)
        )
        self._ended = registry.counter("ended_runs", "Runs over", ("how",))
        self._moved = registry.counter(
            "moved_runs", "Runs moved off slow endpoints"
        )
        self._retries = registry.counter(
            "retries_waiting", "Times that second tries waited for budget"
        )
        self._health = registry.counter(
            "health_changes", "Endpoints ejected or taken back"
        )
        self._handovers = registry.counter(
            "handovers", "Jobs between this entry and others", ("what",)
        )

    def answered(
        self, outcome: str, reason: str, waited_s: float, slowdown: float
    ) -> None:
        """Count an answer."""
        self._answers.add(1, outcome, reason)
        self._waited.observe(waited_s)
        self._slowdown.observe(slowdown)

    def first_order(self, waited_s: float) -> None:
        """Count a job's first order."""
        self._first.observe(waited_s)

    def deferred(self) -> None:
        """Count a job that waits behind those in time."""
        self._put_back.add()

    def ordered(self, count: int) -> None:
        """Count ordered runs."""
        self._orders.add(count)

    def not_started(self, reason: wire.NotStarted) -> None:
        """Count a released run."""
        self._released.add(1, str(reason))

    def ended(self, how: wire.HowEnded) -> None:
        """Count an end."""
        self._ended.add(1, str(how))

    def moved(self) -> None:
        """Count a move."""
        self._moved.add()

    def retry_delayed(self) -> None:
        """Count a second try that waits."""
        self._retries.add()

    def health_changed(self) -> None:
        """Count a change of health."""
        self._health.add()

    def handover(self, what: str) -> None:
        """Count what happened to a job between two entries."""
        self._handovers.add(1, what)


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
        self._outages = registry.counter(
            "endpoint_outages", "Unannounced outages of the endpoint"
        )
        self._renewals = registry.counter(
            "renewals", "Renewals of the lease (no fault) or not", ("fault",)
        )

    def order(self, reason: str, count: int) -> None:
        """Count runs taken or released."""
        self._orders.add(count, reason)

    def over(self, how: wire.HowEnded, held_s: float) -> None:
        """Count a run's end."""
        self._over.add(1, str(how))
        self._held.observe(held_s)

    def order_unanswered(self) -> None:
        """Count an order without an answer."""
        self._unanswered.add()

    def outage(self) -> None:
        """Count an outage of the endpoint."""
        self._outages.add()

    def stream_suspected(self) -> None:
        """Count a stream taken for silent."""
        self._suspected.add()

    def heartbeat_ignored(self) -> None:
        """Count a heartbeat that is not believed, or not yet."""
        self._heartbeats.add()

    def grant_expired(self) -> None:
        """Count a run stopped for want of a grant."""
        self._grants.add()

    def renewed(self, fault: str) -> None:
        """Count a renewal."""
        self._renewals.add(1, fault)
