"""Takes jobs back from schedulers that are lost.

The front fences a lost scheduler at every agent that it may have used. The
agents refuse its further tasks and tell what started. Only tasks that
provably never started are handed on; silence is no proof.
"""

from collections import abc
import dataclasses
import typing

from ferryledge.core import _front_jobs
from ferryledge.core import _peers
from ferryledge.core import _trace
from ferryledge import outcomes
from ferryledge import wire

#: Seconds that agents have to report on a fence.
_FENCE_S = 2.0


@dataclasses.dataclass(slots=True)
class Fence:
    """A lost scheduler whose tasks are being accounted for."""

    owner: str
    name: str
    #: Number of this front's last submission when it was lost.
    through: int
    #: Agents that have not reported yet.
    missing: set[str]
    started_at: float
    #: The parts that it held, with what is known of their tasks.
    parts: dict[str, _front_jobs.Part]
    finished: dict[str, dict[int, wire.FinishedTask]]
    running: dict[str, dict[int, str]]


class Fail(typing.Protocol):
    """Answers a job as failed."""

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
    """Accounts for the tasks of lost schedulers.

    :param table: the clients' jobs
    :param peers: where messages go out
    :param trace: where decisions are noted
    :param fail: answers a job as failed
    :param complete_if_whole: answers a job if all its results are here
    """

    def __init__(
        self,
        table: _front_jobs.JobTable,
        peers: _peers.Peers,
        trace: _trace.Trace,
        fail: Fail,
        complete_if_whole: abc.Callable[[_front_jobs.FrontJob], None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._trace = trace
        self._fail = fail
        self._complete_if_whole = complete_if_whole
        self._fences: list[Fence] = []

    def scheduler_lost(self, now: float, name: str, incarnation: str) -> None:
        """Take back the parts that a scheduler holds.

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
            # Late answers of the lost scheduler no longer count.
            part.scheduler = f"{name} (lost)"
        fence = Fence(
            incarnation, name, self._table.counter, agents, now, parts, {}, {}
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
        """Note that an agent's word must be asked for again."""
        for fence in self._fences:
            held = any(
                holder == process
                for tasks in fence.running.values()
                for holder in tasks.values()
            )
            if held:
                fence.missing.add(process)
                fence.started_at = now

    def agent_up(self, now: float, name: str, process: str) -> None:
        """Ask an agent whose stream is back."""
        for fence in self._fences:
            if process in fence.missing:
                self._peers.send(now, name, self._fence_message(fence))

    def on_report(
        self, process: str, report: wire.FenceReport
    ) -> list[tuple[_front_jobs.FrontJob, tuple[int, ...]]]:
        """Take in an agent's word on a lost scheduler's tasks.

        :param process: the process key of the agent
        :param report: its word
        :return: jobs with the tasks that never started, to hand on
        """
        for fence in self._fences:
            self._note(fence, process, report)
            # A report on an earlier fence says nothing of a later one.
            same = fence.owner == report.owner
            if report.first and same and fence.through == report.through:
                fence.missing.discard(process)
        again = []
        for fence in list(self._fences):
            again += self._settle_fence(fence)
        return again

    def _note(
        self, fence: Fence, process: str, report: wire.FenceReport
    ) -> None:
        for told in report.jobs:
            if told.submission not in fence.parts:
                continue
            finished = fence.finished.setdefault(told.submission, {})
            running = fence.running.setdefault(told.submission, {})
            for task in told.finished:
                finished[task.index] = task
                running.pop(task.index, None)
            for index in told.running:
                if index not in finished:
                    running[index] = process
            for index in told.unstarted:
                running.pop(index, None)

    def _settle_fence(
        self, fence: Fence
    ) -> list[tuple[_front_jobs.FrontJob, tuple[int, ...]]]:
        if fence.missing:
            return []
        again = []
        for submission, part in list(fence.parts.items()):
            job = self._table.by_part.get(submission)
            if job is None:
                del fence.parts[submission]
                continue
            left = self._settle_part(fence, job, part)
            if left is None:
                continue
            del fence.parts[submission]
            if left:
                again.append((job, left))
        if not fence.parts:
            self._fences.remove(fence)
        return again

    def _settle_part(
        self, fence: Fence, job: _front_jobs.FrontJob, part: _front_jobs.Part
    ) -> tuple[int, ...] | None:
        """Account for one part once every agent has reported.

        :return: the job's tasks that never started; none if some still
            run
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
        for place, index in enumerate(part.indices):
            if place in finished:
                job.results[index] = finished[place].body
        if running:
            return None
        self._table.drop_part(part.submission)
        unstarted = tuple(
            index
            for place, index in enumerate(part.indices)
            if place not in finished
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
            self._complete_if_whole(job)
        return unstarted

    def _give_up(self, fence: Fence, peer: str) -> None:
        """Fail what can't be accounted for: silence is no proof."""
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
        """Give up fences on which agents did not report in time."""
        for fence in list(self._fences):
            if fence.missing and now - fence.started_at > _FENCE_S:
                self._give_up(fence, next(iter(sorted(fence.missing))))
