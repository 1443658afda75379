"""The jobs whose tasks wait for a slot, in the order to start them.

The order counts a job's remaining work, since a job answers only when its
last task does. Among workspaces the one that uses least of its share is ahead.
No job is passed over for ever: past the age bound every few picks go to
the job that came first.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools

#: One of this many picks goes to a job past the age bound.
AGED_PICK_EVERY = 4
#: Unplaceable jobs that one pass may skip.
MAX_SKIPPED = 64


@dataclasses.dataclass(slots=True)
class WaitingJob:
    """A job with tasks that are not bound yet."""

    submission: str
    workspace: str
    #: Expected run time of one task in seconds.
    expected_s: float
    #: Expected time of the whole job on free endpoints, in seconds.
    ideal_s: float
    urgency: float
    arrived_at: float
    #: Indices of the tasks that wait.
    tasks: collections.deque[int]
    #: The workspace's slots in use that count against its quota.
    quota: int = 0

    @property
    def key(self) -> float:
        """What orders the job; smaller goes first."""
        work = len(self.tasks) * self.expected_s
        return work * self.ideal_s / self.urgency


#: A workspace's jobs as key, number of the entry, and submission.
_Heap = list[tuple[float, int, str]]


class WaitingQueue:
    """Waiting jobs of one pool.

    :param age_bound_s: seconds after which a job counts as aged
    :param fair_share_penalty: by how much a workspace's jobs are put back now; 1 is not
        at all
    """

    def __init__(
        self,
        age_bound_s: float,
        fair_share_penalty: abc.Callable[[str], float] = lambda _: 1.0,
    ) -> None:
        self._age_bound_s = age_bound_s
        self._fair_share_penalty = fair_share_penalty
        self._jobs: dict[str, WaitingJob] = {}
        self._heaps: dict[str, _Heap] = {}
        self._entries: dict[str, int] = {}
        self._counter = itertools.count()
        self._tasks = 0
        self._work_s = 0.0
        self._picks = 0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def tasks(self) -> int:
        """Tasks that wait."""
        return self._tasks

    @property
    def work_s(self) -> float:
        """Expected run time of all waiting tasks, in seconds."""
        return max(0.0, self._work_s)

    def work_ahead(self, key: float) -> float:
        """Return the work in seconds that goes before a job's key."""
        if not self._jobs:
            return 0.0
        return sum(
            len(job.tasks) * job.expected_s
            for job in self._jobs.values()
            if job.key <= key
        )

    def oldest_wait(self, now: float) -> float:
        """Return the longest wait in seconds."""
        if not self._jobs:
            return 0.0
        oldest = next(iter(self._jobs.values()))
        return now - oldest.arrived_at

    def add(self, job: WaitingJob) -> None:
        """Add a job, or put a changed one in its new place."""
        old = self._jobs.get(job.submission)
        if old is None:
            self._jobs[job.submission] = job
            self._tasks += len(job.tasks)
            self._work_s += len(job.tasks) * job.expected_s
        self._push(job)

    def give_back(self, job: WaitingJob, index: int) -> None:
        """Let a released task wait again, ahead of the job's others."""
        if job.submission not in self._jobs:
            job.tasks.appendleft(index)
            self.add(job)
            return
        job.tasks.appendleft(index)
        self._tasks += 1
        self._work_s += job.expected_s
        self._push(job)

    def take(self, job: WaitingJob, count: int) -> list[int]:
        """Remove that many of a job's tasks and return their indices."""
        taken = [job.tasks.popleft() for _ in range(count)]
        self._tasks -= count
        self._work_s -= count * job.expected_s
        if not job.tasks:
            self._forget(job.submission)
        return taken

    def remove(self, submission: str) -> WaitingJob | None:
        """Remove a job and return it."""
        job = self._jobs.get(submission)
        if job is None:
            return None
        self._tasks -= len(job.tasks)
        self._work_s -= len(job.tasks) * job.expected_s
        self._forget(submission)
        return job

    def candidates(self, now: float) -> abc.Iterator[WaitingJob]:
        """Yield jobs in the order to place them.

        A job that still waits after its turn is passed over for the rest
        of this iteration.
        """
        skipped: list[WaitingJob] = []
        try:
            while self._jobs and len(skipped) < MAX_SKIPPED:
                job = self._aged(now) or self._pop()
                if job is None:
                    return
                self._picks += 1
                self._entries.pop(job.submission, None)
                skipped.append(job)
                yield job
                if not job.tasks:
                    skipped.pop()
        finally:
            for job in skipped:
                if job.submission in self._jobs:
                    self._push(job)

    def _aged(self, now: float) -> WaitingJob | None:
        if self._picks % AGED_PICK_EVERY:
            return None
        oldest = next(iter(self._jobs.values()))
        waits = oldest.submission in self._entries
        if waits and now - oldest.arrived_at > self._age_bound_s:
            return oldest
        return None

    def _push(self, job: WaitingJob) -> None:
        number = next(self._counter)
        self._entries[job.submission] = number
        heap = self._heaps.setdefault(job.workspace, [])
        heapq.heappush(heap, (job.key, number, job.submission))

    def _pop(self) -> WaitingJob | None:
        workspace = self._next_workspace()
        if workspace is None:
            return None
        _, _, submission = heapq.heappop(self._heaps[workspace])
        return self._jobs[submission]

    def _next_workspace(self) -> str | None:
        """Return the workspace whose first job is ahead of the others'."""
        for workspace in list(self._heaps):
            self._drop_stale(workspace)
        if len(self._heaps) <= 1:
            return next(iter(self._heaps), None)
        return min(
            self._heaps,
            key=lambda workspace: (
                self._heaps[workspace][0][0]
                * self._fair_share_penalty(workspace)
            ),
        )

    def _drop_stale(self, workspace: str) -> None:
        """Remove entries of jobs that are gone or stand elsewhere."""
        heap = self._heaps[workspace]
        while heap and self._entries.get(heap[0][2]) != heap[0][1]:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[workspace]

    def _forget(self, submission: str) -> None:
        del self._jobs[submission]
        self._entries.pop(submission, None)
