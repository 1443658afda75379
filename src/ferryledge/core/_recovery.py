"""Recovers jobs from lost schedulers.

The front fences a lost scheduler at every agent that it may have used. The
agents then refuse further tasks of that scheduler and report which of its
tasks have started. Once all have reported, the tasks that never started are
placed again. If an agent does not report in time, the jobs fail.
"""

from collections import abc
import dataclasses
import typing

from ferryledge.core import _front_jobs
from ferryledge.core import _peers
from ferryledge.core import _trace
from ferryledge import outcomes
from ferryledge import wire

#: Seconds within which agents must report on a fence.
_REPORT_TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True)
class Fence:
    """A lost scheduler whose tasks are being recovered."""

    #: Incarnation of the scheduler.
    owner: str
    #: Name of the scheduler.
    name: str
    #: Number of the front's last submission at the time of the loss.
    through: int
    #: Process keys of the agents that have not reported yet.
    missing: set[str]
    #: Monotonic seconds at which the wait for reports began.
    started_at: float
    #: The unresolved parts that the scheduler held, by submission.
    parts: dict[str, _front_jobs.Part]
    #: Finished tasks, by submission and position in the part.
    finished: dict[str, dict[int, wire.FinishedTask]]
    #: Agents of running tasks, by submission and position in the part.
    running: dict[str, dict[int, str]]


class Fail(typing.Protocol):
    """Callback that answers a job as failed."""

    def __call__(
        self,
        job: _front_jobs.FrontJob,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str,
        may_have_run: bool,
    ) -> None:
        """Answer the job."""


class Recovery:
    """Recovers the tasks of lost schedulers.

    :param table: the clients' jobs
    :param peers: sends messages to other processes
    :param trace: records decisions
    :param fail: answers a job as failed
    :param complete_if_finished: answers a job if it has all its results
    """

    def __init__(
        self,
        table: _front_jobs.JobTable,
        peers: _peers.Peers,
        trace: _trace.Trace,
        fail: Fail,
        complete_if_finished: abc.Callable[[_front_jobs.FrontJob], None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._trace = trace
        self._fail = fail
        self._complete_if_finished = complete_if_finished
        self._fences: list[Fence] = []

    def scheduler_lost(self, now: float, name: str, incarnation: str) -> None:
        """Fence a lost scheduler to recover the parts that it holds.

        :param now: monotonic seconds
        :param name: the scheduler's name
        :param incarnation: its incarnation
        """
        parts = {
            part.submission: part
            for part in self._table.parts_at(name)
            if part.incarnation == incarnation
        }
        if not parts:
            return
        agents: set[str] = set()
        for part in parts.values():
            agents |= part.group.agents
            # Ignores later answers of the lost scheduler.
            part.scheduler = f"{name} (lost)"
        fence = Fence(
            incarnation,
            name,
            self._table.counter,
            agents,
            now,
            parts,
            {},
            {},
        )
        self._fences.append(fence)
        for submission in parts:
            self._trace.note(
                now,
                self._table.by_part[submission].name,
                _trace.Mechanism.RECOVERY,
                f"scheduler {name} lost; asking {len(agents)} agents",
            )
        self._send_fence(now, fence)

    def _send_fence(self, now: float, fence: Fence) -> None:
        processes = {
            wire.process_key(peer.name, peer.incarnation): peer.name
            for peer in self._peers.of_role(wire.Role.AGENT)
        }
        for process in fence.missing:
            name = processes.get(process)
            if name is not None:
                self._peers.send(now, name, self._fence_message(fence))

    def _fence_message(self, fence: Fence) -> wire.FenceOwner:
        return wire.FenceOwner(fence.owner, fence.through, tuple(fence.parts))

    def agent_lost(self, now: float, process: str) -> None:
        """Require a new report from an agent that runs fenced tasks.

        :param now: monotonic seconds
        :param process: the process key of the agent
        """
        for fence in self._fences:
            runs_task = any(
                agent == process
                for tasks in fence.running.values()
                for agent in tasks.values()
            )
            if runs_task:
                fence.missing.add(process)
                fence.started_at = now

    def agent_up(self, now: float, name: str, process: str) -> None:
        """Send an agent that reconnected the fences it must report on.

        :param now: monotonic seconds
        :param name: the agent's name
        :param process: its process key
        """
        for fence in self._fences:
            if process in fence.missing:
                self._peers.send(now, name, self._fence_message(fence))

    def on_report(
        self, process: str, report: wire.FenceReport
    ) -> list[tuple[_front_jobs.FrontJob, tuple[int, ...]]]:
        """Process an agent's report on a lost scheduler's tasks.

        :param process: the process key of the agent
        :param report: the report
        :return: jobs to place again, with their tasks that never started
        """
        for fence in self._fences:
            self._record_report(fence, process, report)
            # A report counts only for the fence that it answers.
            same_owner = fence.owner == report.owner
            if report.first and same_owner and fence.through == report.through:
                fence.missing.discard(process)
        to_place = []
        for fence in list(self._fences):
            to_place += self._settle_fence(fence)
        return to_place

    def _record_report(
        self, fence: Fence, process: str, report: wire.FenceReport
    ) -> None:
        for job_report in report.jobs:
            if job_report.submission not in fence.parts:
                continue
            finished = fence.finished.setdefault(job_report.submission, {})
            running = fence.running.setdefault(job_report.submission, {})
            for task in job_report.finished:
                finished[task.index] = task
                running.pop(task.index, None)
            for index in job_report.running:
                if index not in finished:
                    running[index] = process
            for index in job_report.unstarted:
                running.pop(index, None)

    def _settle_fence(
        self, fence: Fence
    ) -> list[tuple[_front_jobs.FrontJob, tuple[int, ...]]]:
        if fence.missing:
            return []
        to_place = []
        for submission, part in list(fence.parts.items()):
            job = self._table.by_part.get(submission)
            if job is None:
                del fence.parts[submission]
                continue
            unstarted = self._settle_part(fence, job, part)
            if unstarted is None:
                continue
            del fence.parts[submission]
            if unstarted:
                to_place.append((job, unstarted))
        if not fence.parts:
            self._fences.remove(fence)
        return to_place

    def _settle_part(
        self, fence: Fence, job: _front_jobs.FrontJob, part: _front_jobs.Part
    ) -> tuple[int, ...] | None:
        """Resolve a part after every agent has reported.

        :return: indices of the job's tasks that never started; ``None``
            while tasks of the part still run
        """
        finished = fence.finished.get(part.submission, {})
        running = fence.running.get(part.submission, {})
        if any(not task.ok for task in finished.values()):
            self._fail(
                job,
                outcomes.Reason.TASK_FAILED,
                outcomes.Step.RUN,
                fence.name,
                True,
            )
            return ()
        for position, index in enumerate(part.indices):
            if position in finished:
                job.results[index] = finished[position].body
        if running:
            return None
        self._table.drop_part(part.submission)
        unstarted = tuple(
            index
            for position, index in enumerate(part.indices)
            if position not in finished
        )
        if unstarted and job.request.ticket:
            self._fail(
                job,
                outcomes.Reason.ENTRY_LOST,
                outcomes.Step.PLACE,
                fence.name,
                True,
            )
            return ()
        if not unstarted:
            self._complete_if_finished(job)
        return unstarted

    def _fail_unresolved(self, fence: Fence, peer: str) -> None:
        """Fail the unresolved jobs of a fence, as their tasks may have run."""
        for submission in fence.parts:
            job = self._table.by_part.get(submission)
            if job is not None:
                self._fail(
                    job,
                    outcomes.Reason.ENTRY_LOST,
                    outcomes.Step.PLACE,
                    peer,
                    True,
                )
        self._fences.remove(fence)

    def sweep(self, now: float) -> None:
        """Fail the jobs of fences that have waited too long for reports."""
        for fence in list(self._fences):
            if fence.missing and now - fence.started_at > _REPORT_TIMEOUT_S:
                self._fail_unresolved(fence, next(iter(sorted(fence.missing))))
