"""What becomes of the runs that an entry ordered."""

from collections import abc
import dataclasses
import math

from ferryledge import health
from ferryledge.leases import _crashes
from ferryledge.leases import _entry_notes
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _moving
from ferryledge.leases import _pool
from ferryledge.leases import _retry_budget
from ferryledge.leases import _uplink
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

Send = abc.Callable[[str, wire.Message], None]

#: Reasons for which the next try would end the same way at that endpoint.
_COSTS_TRUST = (
    wire.NotStarted.REJECTED,
    wire.NotStarted.UNHEALTHY,
)
#: Failure rate from which an endpoint comes last: that of one job that failed
#: there and of none that did well since.
_DOUBT_FROM = 0.15


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class DecidedJob:
    """A job whose answer is known."""

    job: _jobs.Job
    outcome: outcomes.JobOutcome


class RunTracker:
    """Binds tasks to agents and takes them back when their runs are over.

    :param jobs: the jobs that are held
    :param pool: the agents
    :param run_times: learns from ends
    :param health_tracker: of the endpoints' health
    :param notes: what is decided
    :param link: the entry's own
    :param send: sends a message to an agent
    """

    def __init__(
        self,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        run_times: placement.RunTimes,
        health_tracker: health.HealthTracker,
        notes: _entry_notes.EntryNotes,
        link: _uplink.Uplink,
        send: Send,
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._run_times = run_times
        self._health_tracker = health_tracker
        self._notes = notes
        self._link = link
        self._send = send
        self._crashes = _crashes.CrashWatch()
        #: How many tasks may be tried again.
        self.retry_budget = _retry_budget.RetryBudget()

    def order(
        self,
        now: float,
        job: _jobs.Job,
        row: _pool.AgentRow,
        tasks: tuple[_jobs.Task, ...],
    ) -> int:
        """Order a run of each task, all of one step, at an agent.

        :return: the bytes that the order takes on the link
        """
        need = job.request.steps[tasks[0].step].need
        again = sum(task.failures > 0 for task in tasks)
        self.retry_budget.note_started(now, len(tasks) - again, again)
        for task in tasks:
            job.set_state(task, _jobs.TaskState.BOUND)
            task.run += 1
            task.agent = row.name
            task.ordered_at = now
            row.runs.add((job.name, task.task_run))
        if job.dispatched_at is None:
            job.dispatched_at = now
        # On a link of 2 Mbit/s specs of 1.2 kB are four fifths of all that an
        # entry sends; packing saves 0.4 of them and takes 0.1 ms a job.
        packs = row.packed_texts and self._link.is_busy(now)
        order = wire.OrderRuns(
            self._pool.order(row, need, len(tasks)),
            job.name,
            "" if packs else job.request.spec,
            need,
            tuple(task.task_run for task in tasks),
            row.state.incarnation,
            job.expected_s,
            row.ask_seen,
            job.pack_spec() if packs else b"",
            self.shorten_by_ms(now, row),
        )
        row.granted_at = now
        row.ask_answered = row.ask_seen
        self._send(row.name, order)
        slowness = self._run_times.slowness(row.name)
        self._notes.ordered(now, job, row, tasks, slowness)
        if row.slow:
            row.tried_at = now
        if not isinstance(
            self._health_tracker.state(row.name), health.Healthy
        ):
            self._health_tracker.probe_sent(row.name)
            row.healthy = False
            row.awaits_probe = False
        return _uplink.size_of(order) + _uplink.PACKET_BYTES

    def shorten_by_ms(self, now: float, row: _pool.AgentRow) -> int:
        """Return by how many ms sooner a grant to an agent has to end.

        Runs of another entry's job must end in time after the last sign of
        that entry, also if this one is lost meanwhile.
        """
        authorised_at = self._jobs.authorised_at
        if not authorised_at:
            return 0
        ages = [
            now - authorised_at[name]
            for name, _ in row.runs
            if name in authorised_at
        ]
        return math.ceil(1000.0 * max(ages, default=0.0))

    def stop(self, job: _jobs.Job, tasks: list[_jobs.Task]) -> None:
        """Stop runs; each stays bound until it is known to be over."""
        by_agent: dict[str, list[wire.TaskRun]] = {}
        for task in tasks:
            if not task.stopping:
                task.stopping = True
                by_agent.setdefault(task.agent, []).append(task.task_run)
        for agent, runs in by_agent.items():
            self._send(agent, wire.StopRuns(job.name, tuple(runs)))

    def released(
        self,
        row: _pool.AgentRow,
        name: str,
        run: wire.TaskRun,
        reason: wire.NotStarted,
    ) -> None:
        """Take back a run that never started."""
        taken = self._take_back(row, name, run)
        if taken is None:
            return
        job, task = taken
        self._take_back_probe(row)
        self._notes.not_started(job, row, run, reason)
        if reason in _COSTS_TRUST:
            task.avoided_agents.add(row.name)
        self._jobs.drop_if_over(job)

    def ended(
        self, now: float, row: _pool.AgentRow, name: str, end: wire.RunEnd
    ) -> DecidedJob | None:
        """Take in the end of a run.

        :return: the job's answer, if this end decides it
        """
        taken = self._take_back(row, name, end.run)
        if taken is None:
            return None
        job, task = taken
        if end.how not in (wire.HowEnded.DONE, wire.HowEnded.FAILED):
            self._take_back_probe(row)
        self._notes.ended(job, row, end, task.failures)
        decided = None
        match end.how:
            case wire.HowEnded.DONE:
                job.set_state(task, _jobs.TaskState.DONE)
                self._learn(now, row, job, task, end)
                decided = self._if_done(job)
            case wire.HowEnded.FAILED:
                task.failures += 1
                task.avoided_agents.add(row.name)
                self._judge_end(now, row, job, False)
                decided = self._if_hopeless(job, task, row)
                if decided is None and not self.retry_budget.left(now):
                    self._notes.retry_delayed(job, task)
            case wire.HowEnded.LOST if end.crashed_jobs:
                task.avoided_agents.add(row.name)
                task.crashes.append(
                    self._crashes.note(now, row.name, name, end.crashed_jobs)
                )
                decided = self._if_deadly(job, task, row)
            case _:
                pass
        self._jobs.drop_if_over(job)
        return decided

    def _take_back(
        self, row: _pool.AgentRow, name: str, run: wire.TaskRun
    ) -> tuple[_jobs.Job, _jobs.Task] | None:
        """Unbind a run that is over; none if it is not known here."""
        row.runs.discard((name, run))
        job = self._jobs.find(name)
        task = job.find(run) if job else None
        if job is None or task is None or task.agent != row.name:
            return None
        if task.state is not _jobs.TaskState.BOUND:
            return None
        job.set_state(task, _jobs.TaskState.WAITING)
        task.agent = ""
        task.stopping = False
        return job, task

    def _learn(
        self,
        now: float,
        row: _pool.AgentRow,
        job: _jobs.Job,
        task: _jobs.Task,
        end: wire.RunEnd,
    ) -> None:
        self._judge_end(now, row, job, True)
        if row.state.cold:
            return  # It will be faster than that.
        step = job.request.steps[task.step]
        self._run_times.learn(
            job.request.job_class.name, row.name, end.run_s, step.estimate_s
        )

    def _judge_end(
        self, now: float, row: _pool.AgentRow, job: _jobs.Job, ok: bool
    ) -> None:
        name = job.request.job_class.name
        self._health_tracker.ended(row.name, name, job.name, ok, now)
        self._note_doubt(row)
        self._note_health(row, job.name)

    def _note_doubt(self, row: _pool.AgentRow) -> None:
        """Let an endpoint come last while something speaks against it."""
        rate = max(row.told_rate, self._health_tracker.failure_rate(row.name))
        row.is_suspect = rate >= _DOUBT_FROM

    def _note_health(self, row: _pool.AgentRow, name: str = "") -> None:
        """Use an endpoint, or not, by what the judge thinks of it now."""
        state = self._health_tracker.state(row.name)
        healthy = isinstance(state, health.Healthy)
        if isinstance(state, health.Probing) and not state.sent:
            return  # It takes its one task.
        if healthy != row.healthy:
            self._notes.health_changed(name, row, state)
        row.healthy = healthy
        row.awaits_probe = False

    def _take_back_probe(self, row: _pool.AgentRow) -> None:
        """Let an endpoint be probed again whose probe tells nothing."""
        match self._health_tracker.state(row.name):
            case health.Probing(sent=True):
                self._health_tracker.probe_lost(row.name)
                row.healthy = True
                row.awaits_probe = True
            case _:
                pass

    def start_due_probes(self, now: float) -> None:
        """Let endpoints take one task each whose time out is over."""
        for name in self._health_tracker.probes_due(now):
            row = self._pool.find(name)
            if row is not None:
                row.healthy = True
                row.awaits_probe = True

    def update_zone_failures(
        self, now: float, row: _pool.AgentRow, told: wire.ZoneFailures
    ) -> None:
        """Take in what the ends of all entries say of an endpoint.

        :param now: monotonic seconds
        :param row: the agent beside it
        :param told: what is known for callers of this zone
        """
        row.told_rate = told.rate
        self._health_tracker.told(row.name, told.rate, told.failures, now)
        self._note_doubt(row)
        self._note_health(row)

    def _if_done(self, job: _jobs.Job) -> DecidedJob | None:
        if all(t.state is _jobs.TaskState.DONE for t in job.all_tasks):
            return DecidedJob(job, outcomes.Complete(()))
        return None

    def _if_hopeless(
        self, job: _jobs.Job, task: _jobs.Task, row: _pool.AgentRow
    ) -> DecidedJob | None:
        if job.closed or task.failures < job.request.job_class.attempts:
            return None
        return self._failed(job, row)

    def _if_deadly(
        self, job: _jobs.Job, task: _jobs.Task, row: _pool.AgentRow
    ) -> DecidedJob | None:
        if job.closed or not self._crashes.is_deadly(job.name, task.crashes):
            return None
        self._notes.task_abandoned(job, task)
        return self._failed(job, row)

    def _failed(self, job: _jobs.Job, row: _pool.AgentRow) -> DecidedJob:
        origin = outcomes.Origin(outcomes.Step.RUN, row.name)
        reason = outcomes.Reason.TASK_FAILED
        return DecidedJob(job, outcomes.FailedMayHaveRun(reason, origin))

    def reconcile(
        self,
        now: float,
        row: _pool.AgentRow,
        runs: tuple[wire.HeldRun, ...],
    ) -> list[DecidedJob]:
        """Compare what an agent holds with what was ordered there.

        :return: the answers that this decides
        """
        reconcile = {(one.job, one.run) for one in runs}
        decided = []
        for name, run in list(row.runs - reconcile):
            end = wire.RunEnd(run, wire.HowEnded.LOST, 0.0)
            decided.append(self.ended(now, row, name, end))
        for name, run in reconcile - row.runs:
            self._send(row.name, wire.StopRuns(name, (run,)))
        self._claim(row, reconcile & row.runs)
        return [one for one in decided if one is not None]

    def _claim(
        self, row: _pool.AgentRow, runs: set[tuple[str, wire.TaskRun]]
    ) -> None:
        """Tell an agent which runs are still wanted, and which are not."""
        claimed = []
        for name, run in runs:
            job = self._jobs.find(name)
            task = job.find(run) if job else None
            if job is None or task is None or task.stopping:
                self._send(row.name, wire.StopRuns(name, (run,)))
            if job is not None:
                need = job.request.steps[run.step].need
                claimed.append(wire.HeldRun(name, run, need))
        if claimed:
            self._send(row.name, wire.ClaimRuns(tuple(claimed)))

    def move_late(self, now: float, runs: tuple[wire.LateRun, ...]) -> None:
        """Move runs away from a slow endpoint where that helps."""
        for move_late in runs:
            job = self._jobs.find(move_late.job)
            task = job.find(move_late.run) if job else None
            if job is None or task is None:
                continue
            if _moving.is_worth_moving(now, job, task, move_late, self._pool):
                task.moves += 1
                task.avoided_agents.add(task.agent)
                self._notes.moved(job, task, move_late)
                self.stop(job, [task])
