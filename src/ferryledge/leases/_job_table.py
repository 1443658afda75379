"""Table of the jobs that an entry holds."""

from collections import abc

from ferryledge.leases import _jobs

#: Least time in seconds for which a complete job is remembered, since the
#: network may deliver a submission after its client's deadline.
_KEEP_S = 10.0
#: The same for a job without a deadline.
_UNLIMITED_KEEP_S = 60.0
#: Seconds between removals of complete jobs.
_EXPIRY_INTERVAL_S = 1.0


class JobTable:
    """Open jobs, and closed jobs whose runs are not over yet."""

    def __init__(self) -> None:
        self._jobs: dict[str, _jobs.Job] = {}
        #: Until when each complete job is remembered, in monotonic seconds.
        self._complete: dict[str, float] = {}
        self._next_expiry = 0.0
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

    def note_complete(self, now: float, job: _jobs.Job) -> float:
        """Remember that all tasks of a job are done.

        :return: until when, in monotonic seconds
        """
        keep_s = _KEEP_S
        if not job.request.deadline_s:
            keep_s = _UNLIMITED_KEEP_S
        elif job.deadline_at > now:
            keep_s = max(keep_s, job.deadline_at - now)
        return self.keep_complete(job.name, now + keep_s)

    def keep_complete(self, name: str, until: float) -> float:
        """Remember a complete job until a time, or longer if it already is.

        :return: until when, in monotonic seconds
        """
        until = max(until, self._complete.get(name, 0.0))
        self._complete[name] = until
        return until

    def was_complete(self, name: str) -> bool:
        """Return whether all tasks of a job are known to be done."""
        return name in self._complete

    @property
    def complete(self) -> abc.Mapping[str, float]:
        """The complete jobs, and until when each is remembered."""
        return self._complete

    def expire(self, now: float) -> None:
        """Forget complete jobs after the retention time."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_S
        outdated = [n for n, until in self._complete.items() if until <= now]
        for name in outdated:
            del self._complete[name]
