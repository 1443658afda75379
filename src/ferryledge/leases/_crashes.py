"""Whether endpoints crash by a task or for reasons of their own.

It answers a task that takes down each endpoint that starts it, which would go
from one to the next. Two endpoints that crashed while only its job ran there
are enough to give it up. Jobs that ran beside each other share the blame; and
where other endpoints crashed in the same second that had nothing of the job,
power is the likelier cause. Then only many crashes count.
"""

from collections import abc

import msgspec

#: Crashes of endpoints within so many seconds may have a common cause:
#: agents notice one within a lease and report it at once.
_COMMON_S = 1.0
#: Blame at which a task is given up, of at most 1 for each endpoint: two that
#: crashed while nothing else ran there are seldom chance.
_MOST_BLAME = 2.0
#: Crashes under it for whatever cause after which it is, also of one endpoint
#: again and again: there may be no other left.
_MOST = 5
#: Seconds for which crashes are remembered: longer than jobs run.
_REMEMBER_S = 60.0


class Crash(msgspec.Struct, frozen=True):
    """An endpoint that crashed while a task ran there."""

    at: float
    #: The agent beside it.
    agent: str
    #: Jobs that lost runs by it, whoever ordered them.
    jobs: int


class _Record(msgspec.Struct):
    """A crash with the jobs that lost runs by it."""

    crash: Crash
    jobs: set[str]


class CrashWatch:
    """Remembers which endpoints crashed lately, and under which jobs."""

    def __init__(self) -> None:
        self._records: list[_Record] = []

    def note(self, now: float, agent: str, job: str, jobs: int) -> Crash:
        """Take in that a run of a job was lost with its endpoint.

        :param now: monotonic seconds
        :param agent: the one beside the endpoint
        :param job: whose run was lost
        :param jobs: how many lost runs there
        :return: the crash; the same one for all runs that it took
        """
        self._records = [
            one for one in self._records if now - one.crash.at < _REMEMBER_S
        ]
        for record in self._records:
            same = record.crash.agent == agent
            if same and now - record.crash.at < _COMMON_S:
                record.jobs.add(job)
                return record.crash
        record = _Record(Crash(now, agent, jobs), {job})
        self._records.append(record)
        return record.crash

    def is_deadly(self, job: str, crashes: abc.Collection[Crash]) -> bool:
        """Return whether a task is to be given up.

        :param job: the task's
        :param crashes: those that took its runs
        """
        blame = {
            crash.agent: 1.0 / crash.jobs
            for crash in crashes
            if not self._is_common(job, crash)
        }
        return sum(blame.values()) >= _MOST_BLAME or len(crashes) >= _MOST

    def _is_common(self, job: str, crash: Crash) -> bool:
        """Return whether endpoints without the job crashed at that time."""
        return any(
            record.crash.agent != crash.agent
            and abs(record.crash.at - crash.at) < _COMMON_S
            and job not in record.jobs
            for record in self._records
        )
