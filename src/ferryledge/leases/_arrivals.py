"""Estimates how much work arrives at an entry and is about to arrive.

The waiting jobs don't show the work that arrives and starts before them. The
arrival rate of the last second is expected to decay to the average of the last
ten seconds. So a short peak is expected to pass, while a lasting overload
raises both rates.
"""

import dataclasses
import math

#: Seconds over which the recent rate is averaged.
_LATELY_S = 1.0
#: Seconds over which the usual rate is averaged; longer than a burst, and
#: about as long as a peak of a load that rises and falls.
_USUALLY_S = 10.0
#: Time constant of the decay from the recent to the usual rate, in seconds.
_DRIFT_S = 3.0
#: Weight of the newest job in the averages of work and slack.
_DECAY = 0.05


@dataclasses.dataclass(slots=True)
class _Rate:
    """Exponentially weighted rate of events per second."""

    span_s: float
    began_at: float
    count: float = 0.0
    at: float = 0.0

    def note(self, now: float, count: float) -> None:
        self.count *= math.exp((self.at - now) / self.span_s)
        self.count = max(0.0, self.count + count)
        self.at = now

    def value(self, now: float) -> float:
        """Return the rate per second.

        It is corrected for the time before the first event, which the
        average does not cover.
        """
        count = self.count * math.exp((self.at - now) / self.span_s)
        coverage = 1.0 - math.exp((self.began_at - now) / self.span_s)
        return count / self.span_s / max(coverage, _LATELY_S / self.span_s)


@dataclasses.dataclass(slots=True)
class _Queue:
    """Arrivals of one queue."""

    service: str
    lately: _Rate
    usually: _Rate
    #: Average core-seconds of a job, and average seconds that it may wait.
    work: float
    slack_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFlow:
    """Work that arrives at one queue."""

    queue: str
    #: Cores that the arriving work keeps busy, at the recent and usual rate.
    lately: float
    usually: float
    #: Average seconds that a job may wait.
    slack_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inflow:
    """Work that arrives for one service, at one point in time."""

    queues: tuple[QueueFlow, ...] = ()
    #: Cores that all queues keep busy, at the recent and usual rates.
    lately: float = dataclasses.field(init=False)
    usually: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        lately = sum(queue.lately for queue in self.queues)
        usually = sum(queue.usually for queue in self.queues)
        object.__setattr__(self, "lately", lately)
        object.__setattr__(self, "usually", usually)

    def cores(self, in_s: float) -> float:
        """Return the cores that work arriving at a later time keeps busy.

        :param in_s: seconds from now
        """
        decay = math.exp(-in_s / _DRIFT_S)
        return self.usually + (self.lately - self.usually) * decay

    def overtaking_work(self, wait_s: float) -> float:
        """Return the core-seconds of future arrivals that overtake a job.

        A later job overtakes it if its latest start is earlier.

        :param wait_s: seconds until the job's latest start
        """
        return sum(
            queue.lately * max(0.0, wait_s - queue.slack_s)
            for queue in self.queues
        )


class Arrivals:
    """Tracks the arrivals at each queue, except for deferred jobs."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}

    def note(
        self, now: float, name: str, service: str, work: float, slack_s: float
    ) -> None:
        """Record the arrival of a job.

        :param now: monotonic seconds
        :param name: queue of the job
        :param service: service that runs the tasks
        :param work: expected core-seconds of the job
        :param slack_s: seconds until the job's latest start
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
        """Adjust the arrivals for jobs that were deferred or restored.

        :param now: monotonic seconds
        :param name: queue of the jobs
        :param count: number of jobs; negative if they were deferred
        """
        queue = self._queues.get(name)
        if queue is not None:
            queue.lately.note(now, count)
            queue.usually.note(now, count)

    def inflow(self, now: float, service: str) -> Inflow:
        """Return the work that arrives for a service."""
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
