"""Tracks the runs that an entry ordered, from the order to their end."""

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
from ferryledge.leases import _presumed_ends
from ferryledge.leases import _retry_budget
from ferryledge.leases import _uplink
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

Send = abc.Callable[[str, wire.Message], None]

#: Reasons for which another try at the same endpoint would fail as well.
_AVOID_REASONS = (
    wire.RunReleaseReason.REJECTED,
    wire.RunReleaseReason.UNHEALTHY,
)
#: Failure rate from which an endpoint is suspect. A single failed job reaches
#: it if none has succeeded there since.
_SUSPECT_RATE = 0.15


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class DecidedJob:
    """A job with its final outcome."""

    job: _jobs.Job
    outcome: outcomes.JobOutcome


class RunTracker:
    """Orders runs at agents and handles their ends.

    A task is bound to an agent while it has a run there. It waits again as
    soon as that run is known to be over.

    :param jobs: the jobs that this entry holds
    :param pool: the agents that this entry knows
    :param run_times: learns run times and speeds from the ends of runs
    :param health_tracker: tracks the health of endpoints
    :param notes: logs decisions
    :param link: the network link of this entry
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
        self._presumed_ends = _presumed_ends.PresumedEnds()
        #: Limits how many failed tasks are started again.
        self.retry_budget = _retry_budget.RetryBudget()

    def order(
        self,
        now: float,
        job: _jobs.Job,
        row: _pool.AgentRow,
        tasks: tuple[_jobs.Task, ...],
    ) -> int:
        """Order a run of each task at an agent.

        :param now: monotonic seconds
        :param job: the job
        :param row: the agent
        :param tasks: tasks of one step
        :return: the size of the order on the link, in bytes
        """
        need = job.request.steps[tasks[0].step].need
        retried = sum(task.failures > 0 for task in tasks)
        self.retry_budget.note_started(now, len(tasks) - retried, retried)
        for task in tasks:
            job.set_state(task, _jobs.TaskState.BOUND)
            task.run += 1
            task.agent = row.name
            task.ordered_at = now
            row.runs.add((job.name, task.task_run))
        if job.dispatched_at is None:
            job.dispatched_at = now
        # Specs are most of what an entry sends, so compressing them relieves
        # a busy link. It saves two fifths of a spec of 1.2 kB and takes 0.1 ms
        # a job.
        is_packed = row.packed_texts and self._link.is_busy(now)
        order = wire.OrderRuns(
            self._pool.reserve(row, need, len(tasks)),
            job.name,
            "" if is_packed else job.request.spec,
            need,
            tuple(task.task_run for task in tasks),
            row.state.incarnation,
            job.expected_s,
            row.ask_seen,
            job.pack_spec() if is_packed else b"",
            self.shorten_by_ms(now, row),
        )
        row.granted_at = now
        row.ask_answered = row.ask_seen
        self._send(row.name, order)
        slowness = self._run_times.slowness(row.name)
        self._notes.ordered(now, job, row, tasks, slowness)
        if row.slow:
            row.trial_at = now
        if not isinstance(
            self._health_tracker.state(row.name), health.Healthy
        ):
            self._health_tracker.probe_sent(row.name)
            row.healthy = False
            row.awaits_probe = False
        return _uplink.size_of(order) + _uplink.PACKET_BYTES

    def shorten_by_ms(self, now: float, row: _pool.AgentRow) -> int:
        """Return by how many milliseconds a grant to an agent is shortened.

        The runs of an incoming handover must end in time after the last
        authorisation by the delegator, even if this entry is lost meanwhile.
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
        """Stop the runs of tasks.

        Each task stays bound until its run is known to be over.
        """
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
        reason: wire.RunReleaseReason,
    ) -> None:
        """Handle the release of a run that never started."""
        self._presumed_ends.remove(row.name, name, run)
        unbound = self._unbind(row, name, run)
        if unbound is None:
            return
        job, task = unbound
        self._return_probe(row)
        self._notes.not_started(job, row, run, reason)
        if reason in _AVOID_REASONS:
            task.avoided_agents.add(row.name)
        self._jobs.drop_if_over(job)

    def ended(
        self,
        now: float,
        row: _pool.AgentRow,
        name: str,
        end: wire.RunEnd,
        source: _presumed_ends.EndSource = _presumed_ends.EndSource.AGENT,
    ) -> DecidedJob | None:
        """Handle the end of a run.

        :param now: monotonic seconds
        :param row: its agent
        :param name: name of its job
        :param end: the end
        :param source: how this entry learned of the end
        :return: the job with its outcome, if this end decides it
        """
        if source is _presumed_ends.EndSource.AGENT:
            self._note_if_outlived(now, row, name, end.run, end)
            self._presumed_ends.remove(row.name, name, end.run)
        unbound = self._unbind(row, name, end.run)
        if unbound is None:
            return None
        job, task = unbound
        if source is not _presumed_ends.EndSource.AGENT:
            presumed = _presumed_ends.PresumedEnd(
                source, now, now - task.ordered_at
            )
            self._presumed_ends.add(row.name, name, end.run, presumed)
        if end.how not in (wire.RunOutcome.DONE, wire.RunOutcome.FAILED):
            self._return_probe(row)
        self._notes.ended(job, row, end, task.failures, source)
        decided = None
        match end.how:
            case wire.RunOutcome.DONE:
                job.set_state(task, _jobs.TaskState.DONE)
                self._learn(now, row, job, task, end)
                decided = self._if_done(job)
            case wire.RunOutcome.FAILED:
                task.failures += 1
                task.avoided_agents.add(row.name)
                self._record_end(now, row, job, False)
                decided = self._if_out_of_attempts(job, task, row)
                if decided is None and not self.retry_budget.available(now):
                    self._notes.retry_delayed(job, task)
            case wire.RunOutcome.LOST if end.crashed_jobs:
                task.avoided_agents.add(row.name)
                task.crashes.append(
                    self._crashes.note(now, row.name, name, end.crashed_jobs)
                )
                decided = self._if_crashing(job, task, row)
            case _:
                pass
        self._jobs.drop_if_over(job)
        return decided

    def _note_if_outlived(
        self,
        now: float,
        row: _pool.AgentRow,
        name: str,
        run: wire.TaskRun,
        end: wire.RunEnd | None = None,
    ) -> None:
        """Note that an agent reported a run that counted as over.

        :param now: monotonic seconds
        :param row: the agent
        :param name: name of the run's job
        :param run: the run
        :param end: its end; ``None`` if the agent listed it as held
        """
        presumed = self._presumed_ends.find(now, row.name, name, run)
        if presumed is None or (presumed.was_listed and end is None):
            return
        self._notes.outlived(now, name, row, run, presumed, end)
        if end is None:
            presumed.was_listed = True

    def _unbind(
        self, row: _pool.AgentRow, name: str, run: wire.TaskRun
    ) -> tuple[_jobs.Job, _jobs.Task] | None:
        """Make the task of a run that is over wait again.

        :return: the job and the task, or ``None`` if the run is not current
        """
        row.runs.discard((name, run))
        job = self._jobs.find(name)
        task = job.find(run) if job else None
        if job is None or task is None or task.agent != row.name:
            return None
        if task.state is not _jobs.TaskState.BOUND:
            return None
        job.set_state(task, _jobs.TaskState.WAITING)
        task.previous_agent = task.agent
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
        self._record_end(now, row, job, True)
        if row.state.cold:
            return  # The run time of a cold endpoint says little.
        step = job.request.steps[task.step]
        self._run_times.learn(
            job.request.job_class.name, row.name, end.run_s, step.estimate_s
        )

    def _record_end(
        self, now: float, row: _pool.AgentRow, job: _jobs.Job, ok: bool
    ) -> None:
        name = job.request.job_class.name
        self._health_tracker.ended(row.name, name, job.name, ok, now)
        self._update_suspect(row)
        self._update_health(row, job.name)

    def _update_suspect(self, row: _pool.AgentRow) -> None:
        """Update whether an endpoint is suspect."""
        rate = max(
            row.reported_failure_rate,
            self._health_tracker.failure_rate(row.name),
        )
        row.is_suspect = rate >= _SUSPECT_RATE

    def _update_health(self, row: _pool.AgentRow, name: str = "") -> None:
        """Update whether the health tracker lets an endpoint take work."""
        state = self._health_tracker.state(row.name)
        healthy = isinstance(state, health.Healthy)
        if isinstance(state, health.Probing) and not state.sent:
            return  # It stays usable for its probe.
        if healthy != row.healthy:
            self._notes.health_changed(name, row, state)
        row.healthy = healthy
        row.awaits_probe = False

    def _return_probe(self, row: _pool.AgentRow) -> None:
        """Allow another probe of an endpoint whose probe had no result."""
        match self._health_tracker.state(row.name):
            case health.Probing(sent=True):
                self._health_tracker.probe_lost(row.name)
                row.healthy = True
                row.awaits_probe = True
            case _:
                pass

    def start_due_probes(self, now: float) -> None:
        """Allow a probe of each endpoint whose ejection time is over."""
        for name in self._health_tracker.probes_due(now):
            row = self._pool.find(name)
            if row is not None:
                row.healthy = True
                row.awaits_probe = True

    def update_zone_failures(
        self, now: float, row: _pool.AgentRow, zone_failures: wire.ZoneFailures
    ) -> None:
        """Update the failures of an endpoint in runs of all entries.

        :param now: monotonic seconds
        :param row: the endpoint's agent
        :param zone_failures: the failures of callers in the zone of this entry
        """
        row.reported_failure_rate = zone_failures.rate
        self._health_tracker.record_report(
            row.name, zone_failures.rate, zone_failures.failures, now
        )
        self._update_suspect(row)
        self._update_health(row)

    def _if_done(self, job: _jobs.Job) -> DecidedJob | None:
        if all(task.state is _jobs.TaskState.DONE for task in job.all_tasks):
            return DecidedJob(job, outcomes.Complete(()))
        return None

    def _if_out_of_attempts(
        self, job: _jobs.Job, task: _jobs.Task, row: _pool.AgentRow
    ) -> DecidedJob | None:
        if job.closed or task.failures < job.request.job_class.attempts:
            return None
        return self._failed(job, row)

    def _if_crashing(
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
        source: _presumed_ends.EndSource,
    ) -> list[DecidedJob]:
        """Reconcile the runs that an agent holds with those ordered there.

        Ordered runs that the agent does not hold are lost. Only the first
        list on a stream may be passed: a later one lacks the runs whose orders
        are in flight. The other runs are claimed or stopped.

        :param now: monotonic seconds
        :param row: the agent
        :param runs: the runs that it holds
        :param source: whether it listed them, or is presumed to hold none
        :return: the jobs whose outcome this decides
        """
        held_runs = {(item.job, item.run) for item in runs}
        decided = []
        for name, run in list(row.runs - held_runs):
            end = wire.RunEnd(run, wire.RunOutcome.LOST, 0.0)
            decided.append(self.ended(now, row, name, end, source))
        self.claim_or_stop(now, row, runs)
        return [decision for decision in decided if decision is not None]

    def claim_or_stop(
        self,
        now: float,
        row: _pool.AgentRow,
        runs: tuple[wire.HeldRun, ...],
    ) -> None:
        """Claim the runs that were ordered at an agent, and stop the others.

        :param now: monotonic seconds
        :param row: the agent
        :param runs: runs that it holds
        """
        held_runs = {(item.job, item.run) for item in runs}
        for name, run in held_runs - row.runs:
            self._note_if_outlived(now, row, name, run)
            self._send(row.name, wire.StopRuns(name, (run,)))
        self._claim(row, held_runs & row.runs)

    def _claim(
        self, row: _pool.AgentRow, runs: set[tuple[str, wire.TaskRun]]
    ) -> None:
        """Confirm the runs that an agent holds, and stop unwanted ones.

        An agent stops a run only for the entry that claimed it, so the claims
        are sent first.
        """
        claimed = []
        unwanted = []
        for name, run in runs:
            job = self._jobs.find(name)
            task = job.find(run) if job else None
            need = wire.Resources()
            if job is not None:
                need = job.request.steps[run.step].need
            claimed.append(wire.HeldRun(name, run, need))
            if task is None or task.stopping:
                unwanted.append(wire.StopRuns(name, (run,)))
        if claimed:
            self._send(row.name, wire.ClaimRuns(tuple(claimed)))
        for message in unwanted:
            self._send(row.name, message)

    def move_late(self, now: float, runs: tuple[wire.LateRun, ...]) -> None:
        """Restart late runs on other endpoints where that helps."""
        for late_run in runs:
            job = self._jobs.find(late_run.job)
            task = job.find(late_run.run) if job else None
            if job is None or task is None:
                continue
            if _moving.is_worth_moving(now, job, task, late_run, self._pool):
                task.moves += 1
                task.avoided_agents.add(task.agent)
                self._notes.moved(job, task, late_run)
                self.stop(job, [task])
