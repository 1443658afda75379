"""Ejects endpoints that fail what they start, and probes them back in.

A failure speaks against an endpoint only as far as the same service does
better elsewhere, and one job speaks once: so a job that can never run, or
a service that is broken everywhere, ejects nobody.
"""

import dataclasses

from ferryledge.health import _rate


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """When an endpoint is ejected, and for how long."""

    #: Weight of the newest end in the failure rate, from 0 to 1.
    decay: float = _rate.DECAY
    #: Failure rate at which an endpoint is ejected.
    eject_at: float = _rate.EJECT_AT
    #: Largest share of the endpoints that are ejected at once.
    max_ejected: float = 0.34
    #: First ejection in seconds; doubles each time.
    base_ejection_s: float = 1.0
    #: Longest ejection in seconds.
    max_ejection_s: float = 60.0
    #: Seconds without an ejection after which the next is a first one again.
    forget_after_s: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """Takes work as any other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """Takes no work until then, in monotonic seconds."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """Takes one task; its end decides."""

    #: Whether the task is on its way.
    sent: bool = False


Health = Healthy | Ejected | Probing


@dataclasses.dataclass(slots=True)
class _Row:
    state: Health = dataclasses.field(default_factory=Healthy)
    seen: _rate.FailureRate = dataclasses.field(
        default_factory=_rate.FailureRate
    )
    ejections: int = 0
    #: When its last ejection ended.
    admitted_at: float = float("-inf")
    #: Failure rate that others tell, and how many failures they counted.
    told: float = 0.0
    told_failures: int = 0
    #: Failures told that count no more: it did well since.
    forgiven: int = 0

    def take_told(self, rate: float, failures: int) -> bool:
        """Take in what others tell; return whether it speaks against it."""
        self.told = rate
        if not rate:
            return False
        if failures < self.told_failures:
            self.forgiven = 0  # Who counts began anew.
        is_news = failures != self.told_failures and failures > self.forgiven
        self.told_failures = failures
        return is_news


class HealthTracker:
    """Keeps each endpoint's failure rate and state.

    :param options: when to eject
    """

    def __init__(self, options: HealthOptions | None = None) -> None:
        self._options = options or HealthOptions()
        self._rows: dict[str, _Row] = {}
        self._services: dict[str, float] = {}
        self._held: set[str] = set()

    def state(self, endpoint: str) -> Health:
        """Return an endpoint's state."""
        row = self._rows.get(endpoint)
        return row.state if row else Healthy()

    def failure_rate(self, endpoint: str) -> float:
        """Return how often an endpoint failed here lately, from 0 to 1."""
        row = self._rows.get(endpoint)
        return row.seen.rate if row else 0.0

    @property
    def held(self) -> bool:
        """Whether some endpoint is ejected or on trial."""
        return bool(self._held)

    def join(self, endpoint: str) -> None:
        """Start anew with an endpoint that was started or replaced."""
        self._rows[endpoint] = _Row()
        self._held.discard(endpoint)

    def leave(self, endpoint: str) -> None:
        """Forget an endpoint."""
        self._rows.pop(endpoint, None)
        self._held.discard(endpoint)

    def ended(
        self, endpoint: str, service: str, job: str, ok: bool, now: float
    ) -> None:
        """Take in the end of a task.

        :param endpoint: where it ran
        :param service: its service
        :param job: its job's submission
        :param ok: whether it succeeded
        :param now: monotonic seconds
        """
        row = self._rows.setdefault(endpoint, _Row())
        blame = self._blame(service, ok)
        self._note_service(service, ok)
        if isinstance(row.state, Probing):
            self._end_probe(endpoint, row, ok, now)
            return
        row.seen.add(job, blame, ok, self._options.decay)
        over = row.seen.rate >= self._options.eject_at
        if over and isinstance(row.state, Healthy) and self._may_eject():
            self._eject(endpoint, row, now)

    def told(
        self, endpoint: str, rate: float, failures: int, now: float
    ) -> None:
        """Take in what others saw of an endpoint.

        What they counted before it did well here speaks no more.

        :param endpoint: where
        :param rate: their failure rate; 0 is nothing known against it
        :param failures: failures that they counted
        :param now: monotonic seconds
        """
        row = self._rows.setdefault(endpoint, _Row())
        was_bad = row.told >= self._options.eject_at
        is_news = row.take_told(rate, failures)
        match row.state:
            case Healthy() if is_news and self._is_told_bad(row):
                if self._may_eject():
                    self._eject(endpoint, row, now)
            case Probing(sent=False) if is_news and self._is_told_bad(row):
                self._eject(endpoint, row, now)
            case Ejected() | Probing() if was_bad and not rate:
                self._admit(endpoint, row, now)
            case _:
                pass

    def probes_due(self, now: float) -> list[str]:
        """Let ejections that are over turn into probes.

        :return: the endpoints that may take one task each
        """
        due = []
        for name, row in self._rows.items():
            match row.state:
                case Ejected(until) if until <= now:
                    row.state = Probing()
                    due.append(name)
                case _:
                    pass
        return due

    def probe_sent(self, endpoint: str) -> None:
        """Note that the probing task is on its way."""
        self._rows[endpoint].state = Probing(sent=True)

    def probe_lost(self, endpoint: str) -> None:
        """Note that the probing task never started."""
        row = self._rows.get(endpoint)
        if row is not None and isinstance(row.state, Probing):
            row.state = Probing()

    def next_probe_at(self) -> float:
        """Return when the next ejection ends, in monotonic seconds."""
        ends = [
            row.state.until
            for row in self._rows.values()
            if isinstance(row.state, Ejected)
        ]
        return min(ends, default=float("inf"))

    def _is_told_bad(self, row: _Row) -> bool:
        """Return whether an endpoint does worse than the others by far."""
        others = len(self._rows) - 1
        if not others:
            return False
        rates = sum(one.told for one in self._rows.values()) - row.told
        blame = 1.0 - rates / others
        return row.told * blame >= self._options.eject_at

    def _blame(self, service: str, ok: bool) -> float:
        if ok:
            return 0.0
        return max(0.0, 1.0 - self._services.get(service, 0.0))

    def _note_service(self, service: str, ok: bool) -> None:
        rate = self._services.get(service, 0.0)
        sample = 0.0 if ok else 1.0
        self._services[service] = rate + 0.02 * (sample - rate)

    def _may_eject(self) -> bool:
        most = self._options.max_ejected * len(self._rows)
        return len(self._held) + 1 <= most

    def _eject(self, endpoint: str, row: _Row, now: float) -> None:
        options = self._options
        if now - row.admitted_at > options.forget_after_s:
            row.ejections = 0
        self._held.add(endpoint)
        row.ejections += 1
        length = options.base_ejection_s * 2.0 ** (row.ejections - 1)
        until = now + min(length, options.max_ejection_s)
        row.state = Ejected(until)
        row.admitted_at = until

    def _end_probe(
        self, endpoint: str, row: _Row, ok: bool, now: float
    ) -> None:
        if ok:
            self._admit(endpoint, row, now)
        else:
            self._eject(endpoint, row, now)

    def _admit(self, endpoint: str, row: _Row, now: float) -> None:
        self._held.discard(endpoint)
        row.state = Healthy()
        row.admitted_at = now
        row.seen.forgive()
        row.forgiven = row.told_failures
