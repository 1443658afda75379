"""The jobs that an entry holds, by their names."""

from collections import abc

from ferryledge.leases import _jobs

#: Seconds for which the answer of a complete job is kept for a repeat.
_KEEP_ANSWER_S = 10.0


class JobTable:
    """Open jobs, and closed ones whose runs are not over yet."""

    def __init__(self) -> None:
        self._jobs: dict[str, _jobs.Job] = {}
        self._complete: dict[str, float] = {}
        #: From when the right to run jobs of other entries counts, by the
        #: names of the jobs.
        self.authorised_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> abc.Iterator[_jobs.Job]:
        return iter(list(self._jobs.values()))

    @property
    def open(self) -> list[_jobs.Job]:
        """Jobs whose clients wait."""
        return [job for job in self._jobs.values() if not job.closed]

    @property
    def undispatched(self) -> list[_jobs.Job]:
        """Open jobs that nothing was ordered for."""
        return [job for job in self.open if job.dispatched_at is None]

    @property
    def are_waiting(self) -> bool:
        """Whether tasks of open jobs are not bound, their turn come or not."""
        return any(
            job.waiting and not job.closed for job in self._jobs.values()
        )

    @property
    def waiting(self) -> list[_jobs.Job]:
        """Open jobs with tasks that wait for room."""
        return [job for job in self.open if job.startable()]

    def find(self, name: str) -> _jobs.Job | None:
        """Return a job, or none."""
        return self._jobs.get(name)

    def add(self, job: _jobs.Job) -> None:
        """Keep a job."""
        self._jobs[job.name] = job

    def drop_if_over(self, job: _jobs.Job) -> None:
        """Forget a closed job once none of its runs may be alive."""
        if job.closed and not job.is_delegated and not job.bound():
            self._jobs.pop(job.name, None)

    def note_complete(self, name: str, now: float) -> None:
        """Keep the answer of a complete job for a repeat."""
        self._complete[name] = now

    def was_complete(self, name: str) -> bool:
        """Return whether a job was answered as complete lately."""
        return name in self._complete

    def expire(self, now: float) -> None:
        """Forget answers that are old."""
        for name, at in list(self._complete.items()):
            if now - at < _KEEP_ANSWER_S:
                return
            del self._complete[name]
