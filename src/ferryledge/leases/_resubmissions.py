"""Tells newer submissions of a job from older ones, across entries.

A client that gets no answer submits its job again, at any entry. It states
each time how long it still waits, so of two submissions of a job the one with
the shorter deadline is newer. An entry that receives a job again tells the
other entries, in case the network delivers the earlier request to one of them
later than that. First submissions are announced only if they are mistaken for
later ones, since most jobs are submitted once.
"""

import msgspec

from ferryledge.leases import _timing
from ferryledge import wire

#: Number of recent submissions of a queue whose deadlines are compared.
_WINDOW = 40
#: Submissions between two calculations of a queue's shortest usual deadline.
_REFRESH_EVERY = 20
#: How far below the median a deadline is unusually short, as a multiple of the
#: distance from the median to the lower quartile.
_SHORT_DISTANCES = 3.0
#: Largest number of queues whose deadlines are kept.
_MAX_QUEUES = 2000
#: Messages per second that announcements may take, and the most that may be
#: saved up for a burst.
_MESSAGES_PER_S = 100.0
_MAX_MESSAGES = 400.0
#: Largest number of jobs that an entry is told of when it comes back, the
#: latest ones; a message must stay within the limits of the decoder.
_MAX_JOBS = 1000


class _QueueDeadlines(msgspec.Struct):
    """Deadlines of a queue's recent submissions."""

    recent: list[float] = msgspec.field(default_factory=list)
    count: int = 0
    #: Deadlines below this are unusually short; 0 until enough are known.
    short_s: float = 0.0

    def note(self, deadline_s: float) -> bool:
        """Add a deadline; return whether it is unusually short."""
        is_short = deadline_s < self.short_s
        if len(self.recent) < _WINDOW:
            self.recent.append(deadline_s)
        else:
            self.recent[self.count % _WINDOW] = deadline_s
        self.count += 1
        if self.count % _REFRESH_EVERY == 0:
            self._refresh()
        return is_short

    def _refresh(self) -> None:
        ordered = sorted(self.recent)
        median = ordered[len(ordered) // 2]
        lower_quartile = ordered[len(ordered) // 4]
        self.short_s = median - _SHORT_DISTANCES * (median - lower_quartile)


class OtherSubmission(msgspec.Struct, frozen=True):
    """A submission of a job that another entry announced."""

    entry: str
    deadline_s: float
    #: Until when runs of it may be alive, in monotonic seconds.
    until: float

    def is_newer(self, deadline_s: float) -> bool:
        """Return whether a submission here came before it.

        :param deadline_s: how long the client waits here; 0 if unlimited
        """
        return not deadline_s or self.deadline_s < deadline_s


class Resubmissions:
    """Recognizes jobs that are submitted again, and learns of them from peers.

    :param timing: the timing of leases
    """

    def __init__(self, timing: _timing.LeaseTiming) -> None:
        self._over_after_s = timing.over_after_s
        self._queues: dict[str, _QueueDeadlines] = {}
        #: Announcements of this entry by job, with the time until which they
        #: are of use in monotonic seconds.
        self._announced: dict[str, tuple[float, wire.SubmittedJob]] = {}
        #: Announcements of other entries by job.
        self._learned: dict[str, OtherSubmission] = {}
        self._budget = _MAX_MESSAGES
        self._refilled_at = 0.0

    def note_submission(
        self, now: float, queue: str, job: str, deadline_s: float, peers: int
    ) -> wire.JobsResubmitted | None:
        """Record a submission.

        :param now: monotonic seconds
        :param queue: the job's queue
        :param job: the job
        :param deadline_s: how long its client waits; 0 if unlimited
        :param peers: number of entries that would be told
        :return: the announcement, if it is likely to be submitted again
        """
        if not deadline_s:
            return None
        deadlines = self._queues.get(queue)
        if deadlines is None:
            if len(self._queues) >= _MAX_QUEUES:
                del self._queues[next(iter(self._queues))]
            deadlines = self._queues[queue] = _QueueDeadlines()
        if not deadlines.note(deadline_s) or not self._take(now, peers):
            return None
        resubmitted = wire.SubmittedJob(job, deadline_s)
        until = now + deadline_s + self._over_after_s
        self._announced[job] = (until, resubmitted)
        return wire.JobsResubmitted((resubmitted,))

    def _take(self, now: float, peers: int) -> bool:
        """Take messages from the budget; return whether it has enough."""
        refill = _MESSAGES_PER_S * max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._budget = min(_MAX_MESSAGES, self._budget + refill)
        if not 0 < peers <= self._budget:
            return False
        self._budget -= peers
        return True

    def announced(self, now: float) -> wire.JobsResubmitted | None:
        """Return the announcements of use to an entry that comes back."""
        current = tuple(
            resubmitted
            for until, resubmitted in self._announced.values()
            if until > now
        )
        if not current:
            return None
        return wire.JobsResubmitted(current[-_MAX_JOBS:])

    def learn(
        self, now: float, entry: str, resubmitted: wire.SubmittedJob
    ) -> OtherSubmission:
        """Record a job that was submitted again at another entry.

        :return: the newest submission that is known from other entries
        """
        known = self._learned.get(resubmitted.job)
        if known is not None and not known.is_newer(resubmitted.deadline_s):
            known = None
        if known is None:
            deadline_s = resubmitted.deadline_s
            until = now + deadline_s + self._over_after_s
            known = OtherSubmission(entry, deadline_s, until)
            self._learned[resubmitted.job] = known
        return known

    def find(self, job: str) -> OtherSubmission | None:
        """Return the newest submission known from other entries, if any."""
        return self._learned.get(job)

    def expire(self, now: float) -> None:
        """Forget submissions whose clients don't wait any more."""
        for job in [j for j, row in self._announced.items() if row[0] <= now]:
            del self._announced[job]
        for job in [j for j, row in self._learned.items() if row.until <= now]:
            del self._learned[job]
