"""Ejects endpoints that fail what they start, and probes them back in.

A failure speaks against an endpoint only as far as the same service does
better elsewhere, and one job speaks once: so a job that can never run, or
a service that is broken everywhere, ejects nobody.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """When an endpoint is ejected, and for how long."""

    #: Weight of the newest end in the failure rate, from 0 to 1.
    decay: float = 0.2
    #: Failure rate at which an endpoint is ejected.
    eject_at: float = 0.45
    #: Largest share of the endpoints that are ejected at once.
    max_ejected: float = 0.34
    #: First ejection in seconds; doubles each time.
    first_ejection_s: float = 1.0
    #: Longest ejection in seconds.
    longest_ejection_s: float = 60.0


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
    failure_rate: float = 0.0
    ejections: int = 0
    last_job: str = ""


class HealthJudge:
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
        if not ok and row.last_job == job:
            return
        if not ok:
            row.last_job = job
        row.failure_rate += self._options.decay * (blame - row.failure_rate)
        over = row.failure_rate >= self._options.eject_at
        if over and isinstance(row.state, Healthy) and self._may_eject():
            self._eject(endpoint, row, now)

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
        self._held.add(endpoint)
        row.ejections += 1
        length = options.first_ejection_s * 2.0 ** (row.ejections - 1)
        row.state = Ejected(now + min(length, options.longest_ejection_s))

    def _end_probe(
        self, endpoint: str, row: _Row, ok: bool, now: float
    ) -> None:
        if not ok:
            self._eject(endpoint, row, now)
            return
        self._held.discard(endpoint)
        row.state = Healthy()
        row.failure_rate = 0.0
        row.last_job = ""
