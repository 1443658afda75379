"""How much work comes to an entry, and how much is likely to come next.

It answers a load that rides a wave or bursts: what waits now says nothing of
what comes before it has room. The rate of the last second is taken to drift
back to that of the last ten: a crest passes, and an overload that lasts
raises both.
"""

import dataclasses
import math

#: Seconds over which the present rate is averaged: some tens of jobs.
_LATELY_S = 1.0
#: Seconds over which the usual rate is averaged: longer than a burst, and
#: about as long as a crest.
_USUALLY_S = 10.0
#: Seconds in which the present rate drifts back to the usual one by 0.63.
_DRIFT_S = 3.0
#: Weight of the newest job in the work and slack of a queue's jobs.
_DECAY = 0.05


@dataclasses.dataclass(slots=True)
class _Rate:
    """Events a second, averaged over a span."""

    span_s: float
    began_at: float
    count: float = 0.0
    at: float = 0.0

    def note(self, now: float, count: float) -> None:
        self.count *= math.exp((self.at - now) / self.span_s)
        self.count = max(0.0, self.count + count)
        self.at = now

    def value(self, now: float) -> float:
        """Return the rate, as far as the time since the first event shows."""
        count = self.count * math.exp((self.at - now) / self.span_s)
        seen = 1.0 - math.exp((self.began_at - now) / self.span_s)
        return count / self.span_s / max(seen, _LATELY_S / self.span_s)


@dataclasses.dataclass(slots=True)
class _Queue:
    """The jobs of one class."""

    service: str
    lately: _Rate
    usually: _Rate
    #: Core-seconds of a job, and seconds that it may wait, on average.
    work: float
    slack_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Inflow:
    """The work that comes to one service, at one moment."""

    #: Cores that it would keep at work, lately and usually.
    lately: float = 0.0
    usually: float = 0.0
    #: For each queue: the cores, and the seconds that its jobs may wait.
    queues: tuple[tuple[float, float], ...] = ()

    def cores(self, in_s: float) -> float:
        """Return the cores that what comes then would keep at work.

        :param in_s: seconds from now
        """
        drift = math.exp(-in_s / _DRIFT_S)
        return self.usually + (self.lately - self.usually) * drift

    def ahead(self, wait_s: float) -> float:
        """Return the core-seconds to come that go ahead of a job.

        A job that comes later goes ahead if it may wait for less.

        :param wait_s: seconds until that job's latest start
        """
        return sum(
            cores * max(0.0, wait_s - slack_s)
            for cores, slack_s in self.queues
        )


class Arrivals:
    """Learns what comes to each queue and is not put back."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}

    def note(
        self, now: float, name: str, service: str, work: float, slack_s: float
    ) -> None:
        """Take in that a job came.

        :param now: monotonic seconds
        :param name: its class
        :param service: that runs its tasks
        :param work: core-seconds that it is expected to take
        :param slack_s: seconds until its latest start
        """
        queue = self._queues.get(name)
        if queue is None:
            lately, usually = _Rate(_LATELY_S, now), _Rate(_USUALLY_S, now)
            queue = _Queue(service, lately, usually, work, slack_s)
            self._queues[name] = queue
        queue.service = service
        queue.work += _DECAY * (work - queue.work)
        queue.slack_s += _DECAY * (slack_s - queue.slack_s)
        queue.lately.note(now, 1.0)
        queue.usually.note(now, 1.0)

    def move(self, now: float, name: str, count: float) -> None:
        """Take in that jobs go ahead of those that are late, or no longer do.

        :param now: monotonic seconds
        :param name: their class
        :param count: how many; negative if they were put back
        """
        queue = self._queues.get(name)
        if queue is not None:
            queue.lately.note(now, count)
            queue.usually.note(now, count)

    def inflow(self, now: float, service: str) -> Inflow:
        """Return what comes to a service."""
        queues = [q for q in self._queues.values() if q.service == service]
        lately = [q.lately.value(now) * q.work for q in queues]
        slacks = [q.slack_s for q in queues]
        return Inflow(
            sum(lately),
            sum(q.usually.value(now) * q.work for q in queues),
            tuple(zip(lately, slacks, strict=True)),
        )
