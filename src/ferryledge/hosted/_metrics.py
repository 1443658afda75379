"""Collects a process's metrics and serves them to Prometheus.

Only the Prometheus client is used, since the OpenTelemetry SDK would increase
the memory use of each process by 3 MB.
"""

from collections import abc

import loguru

from ferryledge.hosted import _instruments
from ferryledge import leases
from ferryledge import net
from ferryledge import wire

#: Port that serves the metrics; also set in deploy/system.toml.
PORT = 9464
_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
#: Bucket bounds of histograms of durations.
_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
#: Bucket bounds of the slowdown; 1 meets the objective exactly.
_SLOWDOWN = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


class Registry:
    """The metrics of one process.

    :param role: role of the process, which is part of each metric's name
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._instruments: list[_instruments.Instrument] = []

    def counter(
        self, name: str, text: str, labels: abc.Sequence[str] = ()
    ) -> _instruments.Counter:
        """Add a counter and return it."""
        counter = _instruments.Counter(self._full(name), text, labels)
        self._instruments.append(counter)
        return counter

    def histogram(
        self, name: str, text: str, bounds: abc.Sequence[float] = _SECONDS
    ) -> _instruments.Histogram:
        """Add a histogram and return it."""
        histogram = _instruments.Histogram(self._full(name), text, bounds)
        self._instruments.append(histogram)
        return histogram

    def gauge(
        self, name: str, text: str, read: abc.Callable[[], float]
    ) -> None:
        """Add a gauge that is read at each scrape."""
        self._instruments.append(
            _instruments.Gauge(self._full(name), text, read)
        )

    def _full(self, name: str) -> str:
        return f"ferryledge_{self._role}_{name}"

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported at the first scrape to shorten the start of a process.
        from ferryledge.hosted import _rendering

        return _rendering.render(self._instruments)

    async def serve(self, host: str) -> None:
        """Serve metrics until cancelled; log an error if the port is taken.

        :param host: IP address to listen on
        """
        app = net.asgi_app(self._handle)
        try:
            await net.serve_until_cancelled(app, host, PORT)
        except* OSError as group:
            loguru.logger.error(
                "metrics not served: {}", group.exceptions[0], step="metrics"
            )

    async def _handle(self, request: net.Request) -> net.HttpResponse:
        """Answer a scrape request."""
        if request.path != "/metrics":
            return net.HttpResponse.json(404, {"error": "no such page"})
        text = self.render()
        return net.HttpResponse(200, text, content_type=_CONTENT_TYPE)


class EntryMetrics(leases.EntryMeter):
    """An entry's counters and histograms.

    :param registry: serves the metrics
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
        self._first_order = registry.histogram(
            "first_order_seconds", "From a job's arrival to its first order"
        )
        self._deferred = registry.counter(
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
        self._outlived = registry.counter(
            "runs_outlived",
            "Runs that agents told of after they counted as over",
            ("proven",),
        )
        self._handovers = registry.counter(
            "handovers", "Jobs between this entry and others", ("what",)
        )
        self._resubmitted = registry.counter(
            "resubmitted_jobs", "Jobs that were likely submitted before"
        )
        self._already_complete = registry.counter(
            "already_complete_jobs",
            "Jobs that were submitted again although they are complete",
        )
        self._already_cancelled = registry.counter(
            "already_cancelled_jobs",
            "Jobs that were submitted although a client had cancelled them",
        )
        self._superseded = registry.counter(
            "superseded_jobs",
            "Jobs that were registered here after an older submission",
        )
        self._registrars_silent = registry.counter(
            "registrars_silent",
            "Times that an entry did not answer a registration in time",
        )
        self._relayed = registry.counter(
            "relayed_registrations",
            "Requests to entries that are not reached, sent through others",
        )

    def answered(
        self, outcome: str, reason: str, waited_s: float, slowdown: float
    ) -> None:
        """Count an answer."""
        self._answers.add(1, outcome, reason)
        self._waited.observe(waited_s)
        self._slowdown.observe(slowdown)

    def resubmitted(self) -> None:
        """Count a job that was likely submitted before."""
        self._resubmitted.add()

    def already_complete(self) -> None:
        """Count a complete job that was submitted again."""
        self._already_complete.add()

    def already_cancelled(self) -> None:
        """Count a submission of a cancelled job."""
        self._already_cancelled.add()

    def superseded(self) -> None:
        """Count a job whose newer submission was registered here."""
        self._superseded.add()

    def registrar_silent(self) -> None:
        """Count an entry that did not answer a registration in time."""
        self._registrars_silent.add()

    def registrations_relayed(self) -> None:
        """Count a request that is sent through another entry."""
        self._relayed.add()

    def first_order(self, waited_s: float) -> None:
        """Count a job's first order."""
        self._first_order.observe(waited_s)

    def deferred(self) -> None:
        """Count a job deferred behind those that can still be on time."""
        self._deferred.add()

    def ordered(self, count: int) -> None:
        """Count ordered runs."""
        self._orders.add(count)

    def not_started(self, reason: wire.RunReleaseReason) -> None:
        """Count a run that an agent did not start."""
        self._released.add(1, str(reason))

    def ended(self, how: wire.RunOutcome) -> None:
        """Count a run's end."""
        self._ended.add(1, str(how))

    def moved(self) -> None:
        """Count a run moved off a slow endpoint."""
        self._moved.add()

    def retry_delayed(self) -> None:
        """Count a retry that waits for the retry budget."""
        self._retries.add()

    def health_changed(self) -> None:
        """Count an endpoint's ejection or readmission."""
        self._health.add()

    def run_outlived(self, proven: bool) -> None:
        """Count a run that its agent reported after it counted as over."""
        self._outlived.add(1, "yes" if proven else "no")

    def handover(self, what: str) -> None:
        """Count an event of a handover between two entries."""
        self._handovers.add(1, what)


class AgentMetrics(leases.AgentMeter):
    """An agent's counters and histograms.

    :param registry: serves the metrics
    """

    def __init__(self, registry: Registry) -> None:
        self._orders = registry.counter(
            "orders", "Runs taken (no reason) or released", ("reason",)
        )
        self._runs_over = registry.counter("runs_over", "Runs over", ("how",))
        self._run_time = registry.histogram(
            "run_seconds", "From a run's order to its proved end"
        )
        self._unanswered = registry.counter(
            "orders_unanswered", "Orders to the endpoint without an answer"
        )
        self._suspected = registry.counter(
            "streams_suspected", "Streams taken for silent"
        )
        self._expired_grants = registry.counter(
            "grants_run_out", "Runs stopped for want of a grant"
        )
        self._adopted = registry.counter(
            "adopted_runs", "Runs taken over from an earlier start"
        )
        self._unclaimed = registry.counter(
            "unclaimed_runs_stopped", "Adopted runs that no entry claimed"
        )
        self._overdue_stops = registry.counter(
            "stops_overdue", "Runs whose stop was not confirmed in time"
        )
        self._ignored_heartbeats = registry.counter(
            "heartbeats_passed_over", "Heartbeats not believed, or not yet"
        )
        self._outages = registry.counter(
            "endpoint_outages", "Unannounced outages of the endpoint"
        )
        self._renewals = registry.counter(
            "renewals", "Renewals of the lease (no fault) or not", ("fault",)
        )

    def order(self, reason: str, count: int) -> None:
        """Count runs that were accepted or released."""
        self._orders.add(count, reason)

    def run_ended(self, how: wire.RunOutcome, held_s: float) -> None:
        """Count a run's end."""
        self._runs_over.add(1, str(how))
        self._run_time.observe(held_s)

    def order_unanswered(self) -> None:
        """Count an order that the endpoint did not answer."""
        self._unanswered.add()

    def outage(self) -> None:
        """Count an outage of the endpoint."""
        self._outages.add()

    def stream_suspected(self) -> None:
        """Count a stream suspected of being dead."""
        self._suspected.add()

    def adopted(self, count: int) -> None:
        """Count runs adopted from an earlier incarnation."""
        self._adopted.add(count)

    def unclaimed_stopped(self, count: int) -> None:
        """Count adopted runs that were stopped without an entry."""
        self._unclaimed.add(count)

    def stop_overdue(self) -> None:
        """Count a run whose stop was not confirmed in time."""
        self._overdue_stops.add()

    def heartbeat_ignored(self) -> None:
        """Count a heartbeat that is rejected or not accepted yet."""
        self._ignored_heartbeats.add()

    def grant_expired(self) -> None:
        """Count a run stopped because its grant expired."""
        self._expired_grants.add()

    def renewed(self, fault: str) -> None:
        """Count a renewal, with its fault or an empty one."""
        self._renewals.add(1, fault)
