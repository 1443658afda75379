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
class QueueFlow:
    """The work that comes to one queue."""

    queue: str
    #: Cores that it would keep at work, lately and usually.
    lately: float
    usually: float
    #: Seconds that its jobs may wait, on average.
    slack_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inflow:
    """The work that comes to one service, at one moment."""

    queues: tuple[QueueFlow, ...] = ()
    #: Cores that all of it would keep at work, lately and usually.
    lately: float = dataclasses.field(init=False)
    usually: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        lately = sum(one.lately for one in self.queues)
        usually = sum(one.usually for one in self.queues)
        object.__setattr__(self, "lately", lately)
        object.__setattr__(self, "usually", usually)

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
            one.lately * max(0.0, wait_s - one.slack_s) for one in self.queues
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
        return Inflow(
            tuple(
                QueueFlow(
                    name,
                    queue.lately.value(now) * queue.work,
                    queue.usually.value(now) * queue.work,
                    queue.slack_s,
                )
                for name, queue in self._queues.items()
                if queue.service == service
            )
        )
