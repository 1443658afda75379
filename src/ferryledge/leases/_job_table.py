"""Table of the jobs that an entry holds."""

from collections import abc
import math

from ferryledge.leases import _jobs
from ferryledge.leases import _recent_names
from ferryledge import wire

#: Least time in seconds for which a complete job is remembered, since the
#: network may deliver a submission after its client's deadline.
_KEEP_S = 10.0
#: The same for a job without a deadline.
_UNLIMITED_KEEP_S = 60.0
#: The same for a cancelled job. Its deadline is known only where it is held.
CANCELLED_KEEP_S = 60.0


class JobTable:
    """Open jobs, and closed jobs whose runs are not over yet."""

    def __init__(self) -> None:
        self._jobs: dict[str, _jobs.Job] = {}
        #: Jobs of which all tasks are done, here or at other entries.
        self.complete = _recent_names.RecentNames()
        #: Jobs that clients cancelled, here or at other entries.
        self.cancelled = _recent_names.RecentNames()
        #: Those of them that clients had submitted here.
        self._cancelled_here = _recent_names.RecentNames()
        #: Start of this entry's authority to run each job of another entry, in
        #: monotonic seconds by job name.
        self.authorised_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> abc.Iterator[_jobs.Job]:
        return iter(list(self._jobs.values()))

    @property
    def open(self) -> list[_jobs.Job]:
        """Jobs whose clients wait for an answer."""
        return [job for job in self._jobs.values() if not job.closed]

    @property
    def undispatched(self) -> list[_jobs.Job]:
        """Open jobs that no run was ordered for."""
        return [job for job in self.open if job.dispatched_at is None]

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether any open job has waiting tasks, ready or not."""
        return any(
            job.waiting and not job.closed for job in self._jobs.values()
        )

    @property
    def waiting(self) -> list[_jobs.Job]:
        """Open jobs with tasks that are ready and not ordered."""
        return [job for job in self.open if job.startable()]

    def find(self, name: str) -> _jobs.Job | None:
        """Return the job of that name, or ``None``."""
        return self._jobs.get(name)

    def add(self, job: _jobs.Job) -> None:
        """Add a job."""
        self._jobs[job.name] = job

    def drop_if_over(self, job: _jobs.Job) -> None:
        """Drop a job if it is closed and all its runs are over."""
        if job.closed and not job.is_delegated and not job.bound():
            self._jobs.pop(job.name, None)

    def is_over(self, name: str) -> bool:
        """Return whether nothing of a job may start any more."""
        return name in self.complete or name in self.cancelled

    def note_complete(self, now: float, job: _jobs.Job) -> float:
        """Remember that all tasks of a job are done.

        :return: until when, in monotonic seconds
        """
        keep_s = _KEEP_S
        if not job.request.deadline_s:
            keep_s = _UNLIMITED_KEEP_S
        elif job.deadline_at > now:
            keep_s = max(keep_s, job.deadline_at - now)
        return self.complete.keep(job.name, now + keep_s)

    def note_cancelled(
        self, now: float, name: str, keep_s: float = CANCELLED_KEEP_S
    ) -> None:
        """Remember that a job is cancelled, so that none of it starts."""
        job = self._jobs.get(name)
        if job is not None and not math.isinf(job.deadline_at):
            keep_s = max(keep_s, job.deadline_at - now)
        self.cancelled.keep(name, now + keep_s)
        if job is not None and not job.closed and not job.serves_entry:
            self._cancelled_here.keep(name, now + keep_s)

    def presence(self, name: str) -> wire.JobPresence:
        """Return what this entry knows of a job.

        The delegate of a job doesn't count as its holder: its delegator
        answers the client.
        """
        if name in self.complete:
            return wire.JobPresence.COMPLETE
        if name in self._cancelled_here:
            return wire.JobPresence.CANCELLED
        job = self._jobs.get(name)
        if job is None or job.closed or job.serves_entry:
            return wire.JobPresence.ABSENT
        return wire.JobPresence.OPEN

    def expire(self, now: float) -> None:
        """Forget the jobs that are complete or cancelled for long."""
        for names in (self.complete, self.cancelled, self._cancelled_here):
            names.expire(now)
