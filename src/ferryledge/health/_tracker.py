"""Outlier detection: ejects failing endpoints and probes them later.

A failure is weighted by the success rate of its service on all endpoints,
and repeated failures of one job count once. A job that always fails, or a
service that fails everywhere, therefore ejects no endpoint.
"""

import dataclasses

from ferryledge.health import _rate


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """Thresholds and durations of ejections."""

    #: Weight of the latest task end in the failure rate, from 0 to 1.
    decay: float = _rate.DECAY
    #: Failure rate at which an endpoint is ejected.
    eject_at: float = _rate.EJECT_AT
    #: Largest share of the endpoints that may be ejected at once.
    max_ejected: float = 0.34
    #: Length of the first ejection in seconds; doubles with each further one.
    base_ejection_s: float = 1.0
    #: Upper bound on the length of an ejection, in seconds.
    max_ejection_s: float = 60.0
    #: Seconds after an ejection's end until the doubling starts over.
    forget_after_s: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """The endpoint takes work without restriction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """The endpoint takes no work until a given time."""

    #: End of the ejection, in monotonic seconds.
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """The endpoint takes one task, whose end decides on its state."""

    #: Whether the probing task was sent.
    sent: bool = False


Health = Healthy | Ejected | Probing


@dataclasses.dataclass(slots=True)
class _Record:
    """Health and failure rates of one endpoint."""

    state: Health = dataclasses.field(default_factory=Healthy)
    local: _rate.FailureRate = dataclasses.field(
        default_factory=_rate.FailureRate
    )
    #: Number of ejections so far, for the doubling.
    ejections: int = 0
    #: When the last ejection ends or ended, in monotonic seconds.
    ejected_until: float = float("-inf")
    #: Failure rate that peers report.
    reported_rate: float = 0.0
    #: Failures that peers counted.
    reported_failures: int = 0
    #: Reported failures up to this count predate a readmission.
    ignored_failures: int = 0

    def update_reported(self, rate: float, failures: int) -> bool:
        """Record a report by peers.

        :return: whether it holds failures that were not reported before
        """
        self.reported_rate = rate
        if not rate:
            return False
        if failures < self.reported_failures:
            # The reporting peer restarted its count.
            self.ignored_failures = 0
        is_new = (
            failures != self.reported_failures
            and failures > self.ignored_failures
        )
        self.reported_failures = failures
        return is_new


class HealthTracker:
    """Tracks the failure rate and the health of each endpoint.

    :param options: thresholds and durations; the defaults if not given
    """

    def __init__(self, options: HealthOptions | None = None) -> None:
        self._options = options or HealthOptions()
        self._records: dict[str, _Record] = {}
        self._service_failure_rates: dict[str, float] = {}
        self._restricted: set[str] = set()

    def state(self, endpoint: str) -> Health:
        """Return an endpoint's health; an unknown endpoint is healthy."""
        record = self._records.get(endpoint)
        return record.state if record else Healthy()

    def failure_rate(self, endpoint: str) -> float:
        """Return the locally observed failure rate, from 0 to 1."""
        record = self._records.get(endpoint)
        return record.local.rate if record else 0.0

    @property
    def has_restricted(self) -> bool:
        """Whether any endpoint is ejected or probing."""
        return bool(self._restricted)

    def join(self, endpoint: str) -> None:
        """Add an endpoint, or reset one that restarted or was replaced."""
        self._records[endpoint] = _Record()
        self._restricted.discard(endpoint)

    def leave(self, endpoint: str) -> None:
        """Remove an endpoint."""
        self._records.pop(endpoint, None)
        self._restricted.discard(endpoint)

    def ended(
        self, endpoint: str, service: str, job: str, ok: bool, now: float
    ) -> None:
        """Record the end of a task.

        :param endpoint: the endpoint that ran the task
        :param service: the task's service
        :param job: identifier of the task's job
        :param ok: whether the task succeeded
        :param now: monotonic seconds
        """
        record = self._records.setdefault(endpoint, _Record())
        weight = self._failure_weight(service, ok)
        self._record_service_end(service, ok)
        if isinstance(record.state, Probing):
            self._finish_probe(endpoint, record, ok, now)
            return
        record.local.add(job, weight, ok, self._options.decay)
        failing = record.local.rate >= self._options.eject_at
        if failing and isinstance(record.state, Healthy) and self._may_eject():
            self._eject(endpoint, record, now)

    def record_report(
        self, endpoint: str, rate: float, failures: int, now: float
    ) -> None:
        """Record the failure rate that peers report of an endpoint.

        Failures that were reported before the endpoint's last readmission
        are ignored.

        :param endpoint: the endpoint's name
        :param rate: the peers' failure rate; 0 readmits an endpoint whose
            last reported rate reached the threshold
        :param failures: the peers' count of failures
        :param now: monotonic seconds
        """
        record = self._records.setdefault(endpoint, _Record())
        was_failing = record.reported_rate >= self._options.eject_at
        is_new = record.update_reported(rate, failures)
        match record.state:
            case Healthy() if is_new and self._is_outlier(record):
                if self._may_eject():
                    self._eject(endpoint, record, now)
            case Probing(sent=False) if is_new and self._is_outlier(record):
                self._eject(endpoint, record, now)
            case Ejected() | Probing() if was_failing and not rate:
                self._readmit(endpoint, record, now)
            case _:
                pass

    def probes_due(self, now: float) -> list[str]:
        """Move endpoints whose ejection has ended to the probing state.

        :param now: monotonic seconds
        :return: the endpoints that may now take one task each
        """
        due = []
        for name, record in self._records.items():
            match record.state:
                case Ejected(until) if until <= now:
                    record.state = Probing()
                    due.append(name)
                case _:
                    pass
        return due

    def probe_sent(self, endpoint: str) -> None:
        """Record that the probing task was sent."""
        self._records[endpoint].state = Probing(sent=True)

    def probe_lost(self, endpoint: str) -> None:
        """Allow another probing task, since the last one never started."""
        record = self._records.get(endpoint)
        if record is not None and isinstance(record.state, Probing):
            record.state = Probing()

    def next_probe_at(self) -> float:
        """Return the earliest end of an ejection, in monotonic seconds.

        Infinity if no endpoint is ejected.
        """
        ends = [
            record.state.until
            for record in self._records.values()
            if isinstance(record.state, Ejected)
        ]
        return min(ends, default=float("inf"))

    def _is_outlier(self, record: _Record) -> bool:
        """Return whether peers see an endpoint fail more than the others.

        The rate is discounted by the mean rate of the other endpoints.
        """
        others = len(self._records) - 1
        if not others:
            return False
        total_of_others = (
            sum(other.reported_rate for other in self._records.values())
            - record.reported_rate
        )
        weight = 1.0 - total_of_others / others
        return record.reported_rate * weight >= self._options.eject_at

    def _failure_weight(self, service: str, ok: bool) -> float:
        """Return the share of a failure that counts for the endpoint."""
        if ok:
            return 0.0
        return max(0.0, 1.0 - self._service_failure_rates.get(service, 0.0))

    def _record_service_end(self, service: str, ok: bool) -> None:
        rate = self._service_failure_rates.get(service, 0.0)
        sample = 0.0 if ok else 1.0
        self._service_failure_rates[service] = rate + 0.02 * (sample - rate)

    def _may_eject(self) -> bool:
        limit = self._options.max_ejected * len(self._records)
        return len(self._restricted) + 1 <= limit

    def _eject(self, endpoint: str, record: _Record, now: float) -> None:
        options = self._options
        if now - record.ejected_until > options.forget_after_s:
            record.ejections = 0
        self._restricted.add(endpoint)
        record.ejections += 1
        length_s = options.base_ejection_s * 2.0 ** (record.ejections - 1)
        until = now + min(length_s, options.max_ejection_s)
        record.state = Ejected(until)
        record.ejected_until = until

    def _finish_probe(
        self, endpoint: str, record: _Record, ok: bool, now: float
    ) -> None:
        if ok:
            self._readmit(endpoint, record, now)
        else:
            self._eject(endpoint, record, now)

    def _readmit(self, endpoint: str, record: _Record, now: float) -> None:
        self._restricted.discard(endpoint)
        record.state = Healthy()
        record.ejected_until = now
        record.local.reset()
        record.ignored_failures = record.reported_failures
