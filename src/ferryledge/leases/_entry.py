"""An entry's decisions on leased tasks.

The entry that took a job orders all its runs, at the agents, and answers
once. A task is ordered again only after its run is known to be over: by its
agent's word, or because nothing can have renewed it any longer.
"""

import random

from ferryledge import health
from ferryledge.leases import _admission
from ferryledge.leases import _entry_events
from ferryledge.leases import _entry_notes
from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge.leases import _moving
from ferryledge.leases import _notes
from ferryledge.leases import _peers
from ferryledge.leases import _placing
from ferryledge.leases import _pool
from ferryledge.leases import _timing
from ferryledge.leases import _wanting
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds between looks at jobs that nothing was ordered for.
_REVIEW_S = 0.02
#: Seconds between looks at silence and deadlines.
_SWEEP_S = 0.1
#: A sweep that comes later than this shows that the process was paused.
_PAUSE_S = 0.3
#: Seconds before the client's deadline at which a job is given up.
_GIVE_UP_S = 0.05
#: Seconds for which the answer of a complete job is kept for a repeat.
_KEEP_ANSWER_S = 10.0


class LeaseEntry:
    """Takes jobs, orders their runs, answers.

    :param name: this process
    :param incarnation: this start of the process
    :param hall: its availability zone
    :param rng: source of all randomness
    :param timing: the lease rule
    :param far_factor: how many times as long a task takes away from its data
    :param meter: counts its decisions; none is nowhere
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        hall: str,
        rng: random.Random,
        timing: _timing.LeaseTiming | None = None,
        far_factor: float = 1.0,
        meter: _meters.EntryMeter | None = None,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._hall = hall
        self._timing = timing or _timing.LeaseTiming()
        self._pool = _pool.Pool(self._timing)
        self._run_times = placement.RunTimes()
        self._judge = health.HealthJudge()
        self._notes = _entry_notes.EntryNotes(meter or _meters.EntryMeter())
        self._peers = _peers.EntryPeers(name)
        self._placing = _placing.Placing(
            name, self._pool, self._run_times, far_factor
        )
        self._admission = _admission.Admission(name, self._pool, rng)
        self._jobs: dict[str, _jobs.Job] = {}
        self._answered: dict[str, float] = {}
        self._actions: list[_entry_events.EntryAction] = []
        self._draining = False
        self._next_sweep = 0.0
        self._dirty = False
        self._wanting = _wanting.Wanting()
        self._wanted_at = float("inf")

    @property
    def open_jobs(self) -> int:
        """Jobs whose clients wait."""
        return sum(not job.closed for job in self._jobs.values())

    @property
    def pool(self) -> _pool.Pool:
        """The agents."""
        return self._pool

    @property
    def peers(self) -> _peers.EntryPeers:
        """The other entries."""
        return self._peers

    def take_notes(self) -> list[_notes.Note]:
        """Return what was decided since the last call, for the log."""
        return self._notes.take()

    def holds(self, name: str) -> bool:
        """Return whether a job is open here."""
        job = self._jobs.get(name)
        return job is not None and not job.closed

    @property
    def waiting_tasks(self) -> int:
        """Tasks of open jobs that nothing is ordered for."""
        return sum(len(job.startable()) for job in self._waiting_jobs())

    def usable_agents(self, now: float) -> int:
        """Return how many agents take work from this entry."""
        return sum(row.usable(now) for row in self._pool)

    def pending(self, job_class: str) -> int:
        """Return how many open jobs of a class nothing was ordered for."""
        return sum(
            job.request.job_class.name == job_class
            and job.offered_at is None
            and not job.closed
            for job in self._jobs.values()
        )

    def is_usable(self, now: float) -> bool:
        """Return whether some endpoint takes work from this entry."""
        return self._pool.is_usable(now)

    def abandon_all(self, now: float) -> None:
        """Answer all open jobs now: the process is about to end."""
        for job in list(self._jobs.values()):
            if not job.closed:
                self._finish(now, job, self._admission.give_up(job))

    def hello(self) -> wire.Hello:
        """Return the greeting for a new stream."""
        return wire.Hello(
            wire.Role.ENTRY,
            self._name,
            self._incarnation,
            self._hall,
            leaving=self._draining,
            config_version=self._peers.version,
        )

    # Driving.

    def receive(self, now: float, event: _entry_events.EntryEvent) -> None:
        """Take in one event."""
        match event:
            case wire.PeerUp() | wire.PeerDown() | wire.Received():
                self._on_stream(now, event)
            case _entry_events.JobSubmitted(token, request):
                self._submit(now, token, request)
            case _entry_events.ClientLeft(token, name):
                self._client_left(now, token, name)
            case _entry_events.JobCancelled(name):
                self._cancel(now, name)
            case _entry_events.EntriesFound(entries):
                self._peers.learn_entries(entries)
            case _entry_events.ConfigRead(version, data):
                self._peers.learn_config(version, data)
            case _entry_events.EntryDrain():
                self._draining = True

    def tick(self, now: float) -> list[_entry_events.EntryAction]:
        """Return the actions that are due."""
        if now >= self._next_sweep:
            self._sweep(now)
        if self._dirty:
            self._dirty = False
            self._place(now)
        if now >= self._wanted_at:
            self._tell_wanted(now)
        actions = self._actions + self._peers.take_actions()
        self._actions = []
        return actions

    def wake_at(self) -> float:
        """Return when to tick at the latest."""
        return min(self._next_sweep, self._wanted_at)

    def _sweep_every_s(self) -> float:
        waiting = any(
            job.offered_at is None and not job.closed
            for job in self._jobs.values()
        )
        return _REVIEW_S if waiting else _SWEEP_S

    def _send(self, peer: str, message: wire.Message) -> None:
        self._actions.append(_entry_events.SendMessage(peer, message))

    # Clients.

    def _submit(
        self, now: float, token: int, request: _jobs.LeasedJob
    ) -> None:
        known = self._jobs.get(request.job)
        if known is not None:
            self._rejoin(now, known, token, request)
            return
        if request.job in self._answered:
            self._reply([token], outcomes.Complete(()))
            return
        estimate = max(step.estimate_s for step in request.steps)
        expected = self._run_times.expect(request.job_class.name, estimate)
        job = _jobs.Job(
            request, [token], now, expected, _jobs.make_tasks(request)
        )
        refusal = self._admission.admit(now, job, self._jobs.values())
        if refusal is not None:
            self._finish(now, job, refusal)
            return
        self._notes.admitted(job, len(self._jobs), self._peers.version)
        self._jobs[job.name] = job
        self._next_sweep = min(self._next_sweep, now + _REVIEW_S)
        self._dirty = True

    def _rejoin(
        self,
        now: float,
        job: _jobs.Job,
        token: int,
        request: _jobs.LeasedJob,
    ) -> None:
        """Let a repeat wait for the runs of the first submission."""
        job.tokens.append(token)
        if job.closed:
            job.closed = False
            job.request = request
            job.arrived_at = now
            for task in job.all_tasks:
                task.failures = 0
        self._dirty = True

    def _client_left(self, now: float, token: int, name: str) -> None:
        job = self._jobs.get(name)
        if job is None or token not in job.tokens:
            return
        job.tokens.remove(token)
        if not job.tokens:
            self._notes.client_left(now, job)
            self._close(job)

    def _cancel(self, now: float, name: str) -> None:
        job = self._jobs.get(name)
        if job is not None and not job.closed:
            origin = outcomes.Origin(outcomes.Step.CANCEL, self._name)
            reason = outcomes.Reason.CANCELLED
            self._finish(now, job, outcomes.FailedMayHaveRun(reason, origin))

    def _reply(self, tokens: list[int], outcome: outcomes.JobOutcome) -> None:
        for token in tokens:
            self._actions.append(_entry_events.AnswerJob(token, outcome))

    def _finish(
        self, now: float, job: _jobs.Job, outcome: outcomes.JobOutcome
    ) -> None:
        """Answer a job and stop what is left of it."""
        if job.tokens:
            self._notes.answered(now, job, outcome)
        self._reply(job.tokens, outcome)
        job.tokens = []
        self._close(job)

    def _close(self, job: _jobs.Job) -> None:
        """Stop a job's runs; it is forgotten once they are over."""
        job.closed = True
        self._stop(job, job.bound())
        self._forget_if_over(job)

    def _forget_if_over(self, job: _jobs.Job) -> None:
        if job.closed and not job.bound():
            self._jobs.pop(job.name, None)

    def _stop(self, job: _jobs.Job, tasks: list[_jobs.Task]) -> None:
        by_agent: dict[str, list[wire.TaskRun]] = {}
        for task in tasks:
            if not task.stopping:
                task.stopping = True
                by_agent.setdefault(task.agent, []).append(task.task_run)
        for agent, runs in by_agent.items():
            self._send(agent, wire.StopRuns(job.name, tuple(runs)))

    # Messages.

    def _on_stream(self, now: float, event: wire.StreamEvent) -> None:
        match event:
            case wire.PeerUp(hello):
                self._peers.join(hello)
                self._notes.connected(hello)
                if hello.role is wire.Role.AGENT:
                    self._pool.join(now, hello)
            case wire.PeerDown(name, incarnation):
                self._notes.disconnected(name, incarnation)
                self._peers.leave(name)
                self._pool.leave(name, incarnation)
            case wire.Received(peer, message):
                self._on_message(now, peer, message)

    def _on_message(
        self, now: float, peer: str, message: wire.Message
    ) -> None:
        match message:
            case wire.ConfigReply(version, data):
                self._peers.learn_config(version, data)
            case wire.EntryList(entries):
                self._peers.learn_entries(entries)
            case _:
                row = self._pool.find(peer)
                if row is not None:
                    row.heard_at = now
                    self._on_agent_message(now, row, message)

    def _on_agent_message(
        self, now: float, row: _pool.AgentRow, message: wire.Message
    ) -> None:
        match message:
            case wire.AskLease(number):
                row.granted_at = now
                self._send(row.name, wire.GrantLease(number))
            case wire.EndpointState():
                self._on_state(row, message)
            case wire.RunsReleased(name, runs, reason):
                for run in runs:
                    self._on_released(row, name, run, reason)
            case wire.RunsEnded(name, ends):
                for end in ends:
                    self._on_ended(now, row, name, end)
            case wire.RunsHeld(runs):
                self._on_held(now, row, runs)
            case wire.LateRuns(runs):
                self._on_late(now, runs)
            case wire.Leaving():
                row.leaving = True

    def _on_state(
        self, row: _pool.AgentRow, state: wire.EndpointState
    ) -> None:
        if state.incarnation and state.incarnation != row.state.incarnation:
            self._judge.join(row.name)
            self._run_times.forget_endpoint(row.name)
        self._notes.state_changed(row, state)
        self._pool.set_state(row, state)
        self._dirty = True

    def _take_back(
        self, row: _pool.AgentRow, name: str, run: wire.TaskRun
    ) -> tuple[_jobs.Job, _jobs.Task] | None:
        """Unbind a run that is over; none if it is not known here."""
        row.runs.discard((name, run))
        job = self._jobs.get(name)
        task = job.find(run) if job else None
        if job is None or task is None or task.agent != row.name:
            return None
        if task.state is not _jobs.TaskState.BOUND:
            return None
        task.state = _jobs.TaskState.WAITING
        task.agent = ""
        task.stopping = False
        self._dirty = True
        return job, task

    def _on_released(
        self,
        row: _pool.AgentRow,
        name: str,
        run: wire.TaskRun,
        reason: wire.NotStarted,
    ) -> None:
        taken = self._take_back(row, name, run)
        if taken is None:
            return
        job, task = taken
        self._notes.not_started(job, row, run, reason)
        if reason in (wire.NotStarted.REJECTED, wire.NotStarted.UNHEALTHY):
            task.avoid.add(row.name)
        self._forget_if_over(job)

    def _on_ended(
        self, now: float, row: _pool.AgentRow, name: str, end: wire.RunEnd
    ) -> None:
        taken = self._take_back(row, name, end.run)
        if taken is None:
            return
        job, task = taken
        self._notes.ended(job, row, end, task.failures)
        match end.how:
            case wire.HowEnded.DONE:
                task.state = _jobs.TaskState.DONE
                self._learn(now, row, job, task, end)
                self._complete_if_done(now, job)
            case wire.HowEnded.FAILED:
                task.failures += 1
                task.avoid.add(row.name)
                self._judge_end(now, row, job, False)
                self._fail_if_hopeless(now, job, task, row)
            case _:
                pass
        self._forget_if_over(job)

    def _learn(
        self,
        now: float,
        row: _pool.AgentRow,
        job: _jobs.Job,
        task: _jobs.Task,
        end: wire.RunEnd,
    ) -> None:
        self._judge_end(now, row, job, True)
        step = job.request.steps[task.step]
        self._run_times.learn(
            job.request.job_class.name, row.name, end.run_s, step.estimate_s
        )

    def _judge_end(
        self, now: float, row: _pool.AgentRow, job: _jobs.Job, ok: bool
    ) -> None:
        name = job.request.job_class.name
        self._judge.ended(row.name, name, job.name, ok, now)
        state = self._judge.state(row.name)
        healthy = isinstance(state, health.Healthy)
        if healthy != row.healthy:
            self._notes.judged(job, row, state)
        row.healthy = healthy

    def _complete_if_done(self, now: float, job: _jobs.Job) -> None:
        if all(t.state is _jobs.TaskState.DONE for t in job.all_tasks):
            if not job.closed:
                self._answered[job.name] = now
            self._finish(now, job, outcomes.Complete(()))

    def _fail_if_hopeless(
        self,
        now: float,
        job: _jobs.Job,
        task: _jobs.Task,
        row: _pool.AgentRow,
    ) -> None:
        if job.closed or task.failures < job.request.job_class.attempts:
            return
        origin = outcomes.Origin(outcomes.Step.RUN, row.name)
        reason = outcomes.Reason.TASK_FAILED
        self._finish(now, job, outcomes.FailedMayHaveRun(reason, origin))

    def _on_held(
        self,
        now: float,
        row: _pool.AgentRow,
        runs: tuple[wire.HeldRun, ...],
    ) -> None:
        """Compare what an agent holds with what was ordered there."""
        held = {(one.job, one.run) for one in runs}
        for name, run in list(row.runs - held):
            end = wire.RunEnd(run, wire.HowEnded.LOST, 0.0)
            self._on_ended(now, row, name, end)
        claimed = []
        for name, run in held & row.runs:
            job = self._jobs[name]
            need = job.request.steps[run.step].need
            claimed.append(wire.HeldRun(name, run, need))
            task = job.find(run)
            if task is not None and task.stopping:
                self._send(row.name, wire.StopRuns(name, (run,)))
        if claimed:
            self._send(row.name, wire.ClaimRuns(tuple(claimed)))
        for name, run in held - row.runs:
            self._send(row.name, wire.StopRuns(name, (run,)))
        row.reconciled = True
        self._dirty = True

    def _on_late(self, now: float, runs: tuple[wire.LateRun, ...]) -> None:
        """Move runs away from a slow endpoint where that helps."""
        for late in runs:
            job = self._jobs.get(late.job)
            task = job.find(late.run) if job else None
            if job is None or task is None:
                continue
            if _moving.is_worth_moving(now, job, task, late, self._pool):
                task.moves += 1
                task.avoid.add(task.agent)
                self._notes.moved(job, task, late)
                self._stop(job, [task])

    # Systems.

    def _sweep(self, now: float) -> None:
        if self._next_sweep and now - self._next_sweep > _PAUSE_S:
            self._pool.forgive_silence(now)
        self._next_sweep = now + self._sweep_every_s()
        for row in self._pool.silent(now):
            row.connected = False
            row.reconciled = False
            self._notes.silent(now, row)
            self._actions.append(_entry_events.CloseStream(row.name))
        for row in self._pool.over(now):
            self._notes.over(now, row)
            self._on_held(now, row, ())
            row.reconciled = False
        for name in self._judge.probes_due(now):
            found = self._pool.find(name)
            if found is not None:
                found.healthy = True
        self._sweep_jobs(now)
        self._dirty = self._dirty or bool(self._jobs)

    def _sweep_jobs(self, now: float) -> None:
        for name, at in list(self._answered.items()):
            if now - at < _KEEP_ANSWER_S:
                break
            del self._answered[name]
        for job in list(self._jobs.values()):
            if job.closed:
                continue
            if now >= job.deadline_at - _GIVE_UP_S:
                self._finish(now, job, self._admission.give_up(job))
                continue
            refusal = self._admission.review(now, job, self._jobs.values())
            if refusal is not None:
                self._finish(now, job, refusal)

    def _place(self, now: float) -> None:
        waiting = self._waiting_jobs()
        for placed in self._placing.place(now, waiting):
            self._order(now, placed)
        start_by = _wanting.most_urgent(now, self._waiting_jobs())
        self._wanted_at = self._wanting.due_at(start_by)

    def _waiting_jobs(self) -> list[_jobs.Job]:
        return [
            job
            for job in self._jobs.values()
            if not job.closed and job.startable()
        ]

    def _tell_wanted(self, now: float) -> None:
        """Tell agents how urgent the waiting jobs are."""
        self._wanted_at = float("inf")
        start_by = _wanting.most_urgent(now, self._waiting_jobs())
        for row, message in self._wanting.tell(now, start_by, self._pool):
            self._send(row.name, message)

    def _order(self, now: float, placed: _placing.Placement) -> None:
        job, row = placed.job, placed.row
        need = job.request.steps[placed.step].need
        runs = []
        for task in placed.tasks:
            task.state = _jobs.TaskState.BOUND
            task.run += 1
            task.agent = row.name
            task.ordered_at = now
            runs.append(task.task_run)
            row.runs.add((job.name, task.task_run))
        if job.offered_at is None:
            job.offered_at = now
        number = self._pool.order(row, need, len(runs))
        order = wire.OrderRuns(
            number,
            job.name,
            job.request.spec,
            need,
            tuple(runs),
            row.state.incarnation,
            job.expected_s,
        )
        self._send(row.name, order)
        self._notes.ordered(
            now,
            job,
            row,
            placed.tasks,
            self._run_times.slowness(row.name),
        )
        if row.slow:
            row.tried_at = now
        if not isinstance(self._judge.state(row.name), health.Healthy):
            self._judge.probe_sent(row.name)
            row.healthy = False
