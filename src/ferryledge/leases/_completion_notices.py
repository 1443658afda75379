"""The complete jobs that other entries are still to be told of.

A notice travels with a registration, or the answer to one, if any is sent to
the same entry soon, and by itself otherwise. Several jobs share a notice.
"""

import msgspec

from ferryledge import wire

#: Longest time in seconds for which a completion waits for such a message.
CARRIER_WAIT_S = 0.2
#: The same where nothing is registered, so that it waits for others alone.
BATCH_WAIT_S = 0.1
#: Largest number of jobs in a notice, the latest ones; a message must stay
#: within the limits of the decoder.
_MAX_JOBS = 1000
_NEVER = float("inf")


class _Queue(msgspec.Struct):
    """Completions that one entry is to be told of."""

    #: When to tell it, in monotonic seconds.
    due_at: float
    #: Until when each job may be submitted again, in monotonic seconds.
    jobs: dict[str, float] = msgspec.field(default_factory=dict)


class CompletionNotices:
    """Collects completions for each entry until they are sent."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}

    @property
    def due_at(self) -> float:
        """When a notice is due, in monotonic seconds."""
        # All wait for about the same time, so the first one is due first.
        for queue in self._queues.values():
            return queue.due_at
        return _NEVER

    def add(self, due_at: float, peer: str, job: str, until: float) -> None:
        """Add a completion that an entry is to be told of.

        :param due_at: when it is to be told at the latest
        :param peer: the entry
        :param job: the complete job
        :param until: until when it may be submitted again
        """
        queue = self._queues.get(peer)
        if queue is None:
            queue = self._queues[peer] = _Queue(due_at)
        queue.jobs[job] = until

    def pop(self, now: float, peer: str) -> wire.JobsCompleted | None:
        """Return what an entry is to be told, due or not, if anything is."""
        queue = self._queues.pop(peer, None)
        return make_notice(now, queue.jobs) if queue is not None else None

    def pop_due(self, now: float) -> list[tuple[str, wire.JobsCompleted]]:
        """Return the notices that are due, each with its receiver."""
        if now < self.due_at:
            return []
        return [
            (peer, make_notice(now, self._queues.pop(peer).jobs))
            for peer, queue in list(self._queues.items())
            if now >= queue.due_at
        ]

    def send_all(self) -> None:
        """Make all notices due at once, since this process ends."""
        for queue in self._queues.values():
            queue.due_at = 0.0

    def drop(self, peer: str) -> None:
        """Drop the completions for an entry whose stream broke."""
        self._queues.pop(peer, None)


def make_notice(now: float, jobs: dict[str, float]) -> wire.JobsCompleted:
    """Return the notice of complete jobs.

    :param now: monotonic seconds
    :param jobs: until when each may be submitted again
    """
    latest = tuple(jobs)[-_MAX_JOBS:]
    keep_s = max(jobs[name] for name in latest) - now
    return wire.JobsCompleted(latest, keep_s)
