"""Detects tasks that crash the endpoints on which they run.

Such a task would crash one endpoint after the other. It fails after two
endpoints crashed on which only its job ran. Several jobs on a crashed
endpoint share the blame. Crashes at the same time as those of endpoints
without the job have another likely cause, such as a power failure, and only
count towards a higher limit.
"""

from collections import abc

import msgspec

#: Crashes within this many seconds may have a common cause. Agents detect a
#: crash within a lease and report it at once.
_SAME_CAUSE_S = 1.0
#: Sum of blame at which a task fails; each endpoint adds at most 1. Two
#: endpoints that crash while nothing else runs there are seldom chance.
_MAX_BLAME = 2.0
#: Crashes after which a task fails whatever their cause, also if they are
#: all of one endpoint: there may be no other left.
_MAX_CRASHES = 5
#: Seconds for which crashes are kept; jobs take less.
_KEEP_S = 60.0


class Crash(msgspec.Struct, frozen=True):
    """A crash of an endpoint while a task ran there."""

    at: float
    #: The endpoint's agent.
    agent: str
    #: Number of jobs that lost runs, whichever entry ordered them.
    jobs: int


class _CrashRecord(msgspec.Struct):
    """A crash and the jobs of this entry that lost runs by it."""

    crash: Crash
    jobs: set[str]


class CrashWatch:
    """Records recent crashes of endpoints and the jobs that ran there."""

    def __init__(self) -> None:
        self._records: list[_CrashRecord] = []

    def note(self, now: float, agent: str, job: str, jobs: int) -> Crash:
        """Record that a run was lost in a crash of its endpoint.

        :param now: monotonic seconds
        :param agent: the endpoint's agent
        :param job: the run's job
        :param jobs: how many jobs lost runs there
        :return: the crash, the same object for all runs that it ended
        """
        self._records = [
            kept for kept in self._records if now - kept.crash.at < _KEEP_S
        ]
        for record in self._records:
            same_agent = record.crash.agent == agent
            if same_agent and now - record.crash.at < _SAME_CAUSE_S:
                record.jobs.add(job)
                return record.crash
        record = _CrashRecord(Crash(now, agent, jobs), {job})
        self._records.append(record)
        return record.crash

    def is_deadly(self, job: str, crashes: abc.Collection[Crash]) -> bool:
        """Return whether a task is to fail, since it crashes endpoints.

        :param job: the task's job
        :param crashes: the crashes that ended its runs
        """
        blame = {
            crash.agent: 1.0 / crash.jobs
            for crash in crashes
            if not self._has_common_cause(job, crash)
        }
        return (
            sum(blame.values()) >= _MAX_BLAME or len(crashes) >= _MAX_CRASHES
        )

    def _has_common_cause(self, job: str, crash: Crash) -> bool:
        """Return whether endpoints without the job crashed at that time.

        Then the job is unlikely to be the cause.
        """
        return any(
            record.crash.agent != crash.agent
            and abs(record.crash.at - crash.at) < _SAME_CAUSE_S
            and job not in record.jobs
            for record in self._records
        )
