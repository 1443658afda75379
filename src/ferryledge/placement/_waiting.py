"""The queue of jobs with waiting tasks, in the order to place them.

Jobs with high urgency and little remaining work go first, since a job is
answered only when its last task ends. A workspace above its fair share of
slots is deferred. To prevent starvation, every few picks go to the oldest
job once it has waited longer than the age bound.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools

#: One in this many picks goes to the oldest job past the age bound.
AGED_PICK_EVERY = 4
#: Maximum number of jobs that one pass may skip because they can't be placed.
MAX_SKIPPED = 64


@dataclasses.dataclass(slots=True)
class WaitingJob:
    """A job with tasks that aren't bound to an endpoint."""

    submission: str
    workspace: str
    #: Expected run time of one task in seconds.
    expected_s: float
    #: Expected time of the whole job on idle endpoints, in seconds.
    ideal_s: float
    urgency: float
    arrived_at: float
    #: Indices of the waiting tasks.
    tasks: collections.deque[int]
    #: The workspace's slots in use that count against its quota.
    quota: int = 0

    @property
    def key(self) -> float:
        """Sort key of the job; smaller keys go first."""
        work = len(self.tasks) * self.expected_s
        return work * self.ideal_s / self.urgency


#: A workspace's jobs as tuples of key, push number and submission.
_Heap = list[tuple[float, int, str]]


class WaitingQueue:
    """The waiting jobs of one pool.

    :param age_bound_s: seconds after which a waiting job takes precedence
    :param fair_share_penalty: returns the factor on the keys of a
        workspace's jobs; 1 defers none
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
        self._push_numbers: dict[str, int] = {}
        self._counter = itertools.count()
        self._tasks = 0
        self._work_s = 0.0
        self._pick_count = 0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def tasks(self) -> int:
        """Number of waiting tasks."""
        return self._tasks

    @property
    def work_s(self) -> float:
        """Expected run time of all waiting tasks, in seconds."""
        return max(0.0, self._work_s)

    def work_ahead(self, key: float) -> float:
        """Return the expected run time of tasks ahead of a key, in seconds."""
        if not self._jobs:
            return 0.0
        return sum(
            len(job.tasks) * job.expected_s
            for job in self._jobs.values()
            if job.key <= key
        )

    def oldest_wait(self, now: float) -> float:
        """Return how long the oldest job has waited, in seconds."""
        if not self._jobs:
            return 0.0
        oldest = next(iter(self._jobs.values()))
        return now - oldest.arrived_at

    def add(self, job: WaitingJob) -> None:
        """Add a job, or update the position of a changed one."""
        known = self._jobs.get(job.submission)
        if known is None:
            self._jobs[job.submission] = job
            self._tasks += len(job.tasks)
            self._work_s += len(job.tasks) * job.expected_s
        self._push(job)

    def requeue(self, job: WaitingJob, index: int) -> None:
        """Put a released task back, ahead of the job's other tasks."""
        if job.submission not in self._jobs:
            job.tasks.appendleft(index)
            self.add(job)
            return
        job.tasks.appendleft(index)
        self._tasks += 1
        self._work_s += job.expected_s
        self._push(job)

    def pop_tasks(self, job: WaitingJob, count: int) -> list[int]:
        """Remove a number of a job's tasks and return their indices."""
        indices = [job.tasks.popleft() for _ in range(count)]
        self._tasks -= count
        self._work_s -= count * job.expected_s
        if not job.tasks:
            self._forget_job(job.submission)
        return indices

    def remove(self, submission: str) -> WaitingJob | None:
        """Remove a job and return it, or none if it doesn't wait."""
        job = self._jobs.get(submission)
        if job is None:
            return None
        self._tasks -= len(job.tasks)
        self._work_s -= len(job.tasks) * job.expected_s
        self._forget_job(submission)
        return job

    def candidates(self, now: float) -> abc.Iterator[WaitingJob]:
        """Yield jobs in the order to place them.

        A job that still has waiting tasks after it was yielded is skipped
        for the rest of the iteration.
        """
        skipped: list[WaitingJob] = []
        try:
            while self._jobs and len(skipped) < MAX_SKIPPED:
                job = self._oldest_if_due(now) or self._pop()
                if job is None:
                    return
                self._pick_count += 1
                self._push_numbers.pop(job.submission, None)
                skipped.append(job)
                yield job
                if not job.tasks:
                    skipped.pop()
        finally:
            for job in skipped:
                if job.submission in self._jobs:
                    self._push(job)

    def _oldest_if_due(self, now: float) -> WaitingJob | None:
        if self._pick_count % AGED_PICK_EVERY:
            return None
        oldest = next(iter(self._jobs.values()))
        is_queued = oldest.submission in self._push_numbers
        if is_queued and now - oldest.arrived_at > self._age_bound_s:
            return oldest
        return None

    def _push(self, job: WaitingJob) -> None:
        push_number = next(self._counter)
        self._push_numbers[job.submission] = push_number
        heap = self._heaps.setdefault(job.workspace, [])
        heapq.heappush(heap, (job.key, push_number, job.submission))

    def _pop(self) -> WaitingJob | None:
        workspace = self._next_workspace()
        if workspace is None:
            return None
        _, _, submission = heapq.heappop(self._heaps[workspace])
        return self._jobs[submission]

    def _next_workspace(self) -> str | None:
        """Return the workspace with the lowest deferred key."""
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
        """Remove outdated items from the head of a workspace's heap."""
        heap = self._heaps[workspace]
        while heap and self._push_numbers.get(heap[0][2]) != heap[0][1]:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[workspace]

    def _forget_job(self, submission: str) -> None:
        del self._jobs[submission]
        self._push_numbers.pop(submission, None)
