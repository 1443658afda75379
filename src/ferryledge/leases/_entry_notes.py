"""The notes that an entry logs and counts, with their messages and facts."""

from ferryledge import health
from ferryledge.leases import _forecast
from ferryledge.leases import _handover_notes
from ferryledge.leases import _jobs
from ferryledge.leases import _pool
from ferryledge.leases import _presumed_ends
from ferryledge import outcomes
from ferryledge import wire


#: Suffix for answers after the objective. The objective follows from the
#: expected size of the job, since the entry does not know the true one.
_LATE_SUFFIX = ", late by its expected size"


class EntryNotes(_handover_notes.HandoverNotes):
    """Logs and counts decisions on jobs and changes of the agents' state."""

    def admitted(self, job: _jobs.Job, held: int, config: int) -> None:
        """A job was admitted."""
        self.add(
            outcomes.Step.ADMIT,
            "admitted",
            job.name,
            queue=job.request.job_class.name,
            tasks=len(job.all_tasks),
            expected_s=round(job.expected_s, 3),
            objective_s=round(job.objective_s, 3),
            deadline_s=round(job.request.deadline_s, 3),
            held_jobs=held,
            config=config,
        )

    def duplicate(self, job: str, outcome: outcomes.FailedMayHaveRun) -> None:
        """A request was not served, since another entry runs its job."""
        self._meter.answered(
            outcomes.tag_of(outcome), str(outcome.reason), 0.0, 0.0
        )
        self.add(
            outcomes.Step.ADMIT,
            "answered: failed, another entry runs the job",
            job,
            outcome.origin.peer,
            True,
        )

    def already_complete(self, job: str, peer: str = "") -> None:
        """A job was submitted again of which all tasks are done.

        :param job: the job
        :param peer: the entry that knows; empty for this one
        """
        self._meter.already_complete()
        self.add(
            outcomes.Step.ADMIT,
            "submitted again: already complete",
            job,
            peer,
        )

    def already_cancelled(self, job: str, peer: str = "") -> None:
        """A job was submitted that a client had cancelled.

        :param job: the job
        :param peer: the entry that knows; empty for this one
        """
        self._meter.already_cancelled()
        self.add(
            outcomes.Step.ADMIT, "submitted again: cancelled before", job, peer
        )

    def cancel_received(self, job: str, presence: wire.JobPresence) -> None:
        """A client cancelled a job at this entry.

        :param job: the job
        :param presence: what this entry knew of it
        """
        self.add(
            outcomes.Step.CANCEL,
            "cancel received",
            job,
            presence=str(presence),
        )

    def cancelled_for(self, job: str, peer: str) -> None:
        """A job was stopped here, since it was cancelled at another entry.

        :param job: the job
        :param peer: the other entry
        """
        self.add(outcomes.Step.CANCEL, "cancelled at another entry", job, peer)

    def resubmitted(self, job: str, deadline_s: float) -> None:
        """A job was likely submitted before; other entries were told.

        :param job: the job
        :param deadline_s: how long its client waits
        """
        self._meter.resubmitted()
        self.add(
            outcomes.Step.ADMIT,
            "submitted again: other entries told",
            job,
            deadline_s=round(deadline_s, 3),
        )

    def superseded(
        self,
        submission: wire.SubmittedJob,
        entry: str,
        older: wire.RegisteredJob,
    ) -> None:
        """A job was registered of which an older submission is known.

        :param submission: the newer submission
        :param entry: the entry that received it
        :param older: the older one
        """
        self._meter.superseded()
        self.add(
            outcomes.Step.ADMIT,
            "submitted again: the earlier entry told",
            submission.job,
            entry,
            earlier=older.entry,
            deadline_s=round(submission.deadline_s, 3),
            earlier_deadline_s=round(older.deadline_s, 3),
        )

    def registrar_silent(self, name: str) -> None:
        """An entry that jobs were registered with did not answer in time."""
        self._meter.registrar_silent()
        self.add(
            outcomes.Step.ADMIT,
            "jobs not registered in time, entry passed over",
            peer=name,
        )

    def registrations_relayed(self) -> None:
        """Jobs were registered through an entry that may reach another one."""
        self._meter.registrations_relayed()

    def isolated(self, silent_s: float) -> None:
        """This entry is in touch again after it was cut off.

        :param silent_s: seconds without any message
        """
        self.add(
            outcomes.Step.HEALTH,
            "in touch again: nothing is started for a moment",
            silent_s=round(silent_s, 3),
        )

    def task_abandoned(self, job: _jobs.Job, task: _jobs.Task) -> None:
        """A task is not retried, since endpoints crashed while it ran."""
        self.add(
            outcomes.Step.RUN,
            "task abandoned: endpoints crash while it runs",
            job.name,
            urgent=True,
            task=task.index,
            agents=[crash.agent for crash in task.crashes],
        )

    def cordoned(self, state: wire.CordonedZones) -> None:
        """The set of cordoned zones changed."""
        self.add(
            outcomes.Step.HEALTH,
            "cordoned zones changed",
            zones=list(state.zones),
            log_end=state.version,
        )

    def sought(self, message: wire.InviteAgents, entries: int) -> None:
        """Other entries were asked for agents that fit a task."""
        self.add(
            outcomes.Step.HEALTH,
            "agents requested from other entries",
            service=message.service,
            label=message.label,
            cpu_millis=message.need.cpu_millis,
            count=message.count,
            known=len(message.known),
            entries=entries,
        )

    def invited(self, message: wire.InviteAgents, agents: list[str]) -> None:
        """Agents of this entry were asked to serve another entry too."""
        self.add(
            outcomes.Step.HEALTH,
            "agents invited",
            peer=message.entry.name,
            agents=agents,
        )

    def answered(
        self, now: float, job: _jobs.Job, outcome: outcomes.JobOutcome
    ) -> None:
        """A job was answered."""
        tag = outcomes.tag_of(outcome)
        match outcome:
            case outcomes.Complete():
                late = _LATE_SUFFIX if now > job.objective_at else ""
                self._add_answer(now, job, tag, f"answered: complete{late}")
            case outcomes.Refused(reason, _, retry_after_s, detail):
                self._add_answer(
                    now,
                    job,
                    tag,
                    "refused, not run",
                    reason=str(reason),
                    detail=detail,
                    retry_after_s=round(retry_after_s, 3),
                )
            case outcomes.FailedMayHaveRun(reason, origin):
                self._add_answer(
                    now,
                    job,
                    tag,
                    "answered: failed, may have run",
                    origin.peer,
                    reason=str(reason),
                )
            case _:
                self._add_answer(now, job, tag, f"answered: {tag}", reason=tag)

    def _add_answer(
        self,
        now: float,
        job: _jobs.Job,
        outcome: str,
        message: str,
        peer: str = "",
        reason: str = "",
        **facts: object,
    ) -> None:
        waited_s = now - job.arrived_at
        self._meter.answered(
            outcome, str(reason), waited_s, waited_s / job.objective_s
        )
        if reason:
            facts["reason"] = str(reason)
        if job.dispatched_at is not None:
            facts["first_order_s"] = round(
                job.dispatched_at - job.arrived_at, 3
            )
        self.add(
            outcomes.Step.ANSWER,
            message,
            job.name,
            peer,
            bool(reason),
            queue=job.request.job_class.name,
            waited_s=round(waited_s, 3),
            objective_s=round(job.objective_s, 3),
            runs=sum(task.run for task in job.all_tasks),
            **facts,
        )

    def deferred(
        self, now: float, job: _jobs.Job, forecast: _forecast.Forecast
    ) -> None:
        """A job was deferred behind all jobs that can meet their objective.

        Noted only once for each job.
        """
        if job.was_deferred:
            return
        job.was_deferred = True
        self._meter.deferred()
        self.add(
            outcomes.Step.ADMIT,
            "put back: late, and of use",
            job.name,
            queue=job.request.job_class.name,
            waited_s=round(now - job.arrived_at, 3),
            room_in_s=round(forecast.room_in_s, 3),
            answer_in_s=round(forecast.answer_in_s, 3),
            useful_s=round(job.useful_until - now, 3),
        )

    def client_left(self, now: float, job: _jobs.Job) -> None:
        """The last client of a job disconnected."""
        self.add(
            outcomes.Step.CANCEL,
            "client left",
            job.name,
            waited_s=round(now - job.arrived_at, 3),
        )

    def ordered(
        self,
        now: float,
        job: _jobs.Job,
        row: _pool.AgentRow,
        tasks: tuple[_jobs.Task, ...],
        slowness: float,
    ) -> None:
        """Runs were ordered from an agent.

        The note is urgent if a task gets another run: it then tells which
        agents had the previous ones.
        """
        self._meter.ordered(len(tasks))
        if job.dispatched_at == now:
            self._meter.first_order(now - job.arrived_at)
        facts: dict[str, object] = {}
        is_repeat = any(task.run > 1 for task in tasks)
        if is_repeat:
            facts["runs"] = [task.run for task in tasks]
            facts["previous_agents"] = [task.previous_agent for task in tasks]
        self.add(
            outcomes.Step.PLACE,
            "ordered",
            job.name,
            row.name,
            is_repeat,
            tasks=[task.index for task in tasks],
            run=tasks[0].run,
            waited_s=round(now - job.arrived_at, 3),
            free_cpu_millis=row.free.cpu_millis,
            slowness=round(slowness, 2),
            prospect=str(job.forecast.prospect.value) if job.forecast else "",
            state_age_s=round(now - row.heard_at, 3),
            **facts,
        )

    def not_started(
        self,
        job: _jobs.Job,
        row: _pool.AgentRow,
        run: wire.TaskRun,
        reason: wire.RunReleaseReason,
    ) -> None:
        """An agent released a run without starting it."""
        self._meter.not_started(reason)
        self.add(
            outcomes.Step.START,
            "not started",
            job.name,
            row.name,
            task=run.index,
            run=run.run,
            reason=str(reason),
        )

    def ended(
        self,
        job: _jobs.Job,
        row: _pool.AgentRow,
        end: wire.RunEnd,
        failures: int,
        source: _presumed_ends.EndSource,
    ) -> None:
        """A run ended; it is logged only if it brought no result."""
        self._meter.ended(end.how)
        if end.how is wire.RunOutcome.DONE:
            return
        self.add(
            outcomes.Step.RUN,
            "run ended without a result",
            job.name,
            row.name,
            not job.closed,
            task=end.run.index,
            run=end.run.run,
            how=str(end.how),
            run_s=round(end.run_s, 3),
            failures=failures,
            source=str(source.value),
        )

    def outlived(
        self,
        now: float,
        job: str,
        row: _pool.AgentRow,
        run: wire.TaskRun,
        presumed: _presumed_ends.PresumedEnd,
        end: wire.RunEnd | None,
    ) -> None:
        """An agent reported a run that had been counted as over.

        :param now: monotonic seconds
        :param job: name of the run's job
        :param row: the agent
        :param run: the run
        :param presumed: how the run was counted as over
        :param end: its end; ``None`` if the agent listed it as held
        """
        facts: dict[str, object] = {"how": "held"}
        proven = True
        if end is not None:
            facts = {"how": str(end.how), "run_s": round(end.run_s, 3)}
            # A run starts after its order. So one that took longer than from
            # its order to its presumed end went on after that; the end of a
            # shorter one may only have been reported late.
            proven = presumed.was_listed or end.run_s > presumed.held_s
        if not presumed.was_listed:
            self._meter.run_outlived(proven)
        self.add(
            outcomes.Step.LEASE,
            "run counted as over reported by its agent",
            job,
            row.name,
            True,
            proven=proven,
            task=run.index,
            run=run.run,
            source=str(presumed.source.value),
            held_s=round(presumed.held_s, 3),
            over_s=round(now - presumed.at, 3),
            **facts,
        )

    def moved(
        self, job: _jobs.Job, task: _jobs.Task, late: wire.LateRun
    ) -> None:
        """A run on a slow endpoint is stopped, to be repeated elsewhere."""
        self._meter.moved()
        self.add(
            outcomes.Step.MOVE,
            "moved off a slow endpoint",
            job.name,
            task.agent,
            task=task.index,
            run=task.run,
            left_s=late.left_s,
            normal_s=late.normal_s,
        )

    def retry_delayed(self, job: _jobs.Job, task: _jobs.Task) -> None:
        """The retry of a failed task waits for the retry budget."""
        self._meter.retry_delayed()
        self.add(
            outcomes.Step.PLACE,
            "retry delayed: retry budget exhausted",
            job.name,
            task=task.index,
            failures=task.failures,
        )

    def connected(self, hello: wire.Hello) -> None:
        """A stream to a peer was opened."""
        self.add(
            outcomes.Step.HEALTH,
            f"{hello.role} connected",
            peer=hello.name,
            incarnation=hello.incarnation,
        )

    def disconnected(self, name: str, incarnation: str) -> None:
        """A stream to a peer broke."""
        self.add(
            outcomes.Step.HEALTH,
            "stream broken",
            peer=name,
            urgent=True,
            incarnation=incarnation,
        )

    def stream_closed(self, now: float, row: _pool.AgentRow) -> None:
        """The stream of a silent agent was closed."""
        self.add(
            outcomes.Step.HEALTH,
            "agent silent: stream closed",
            peer=row.name,
            urgent=True,
            silent_s=round(now - row.heard_at, 3),
            runs=len(row.runs),
        )

    def expired(self, now: float, row: _pool.AgentRow) -> None:
        """Runs count as over, since their leases must have expired."""
        self.add(
            outcomes.Step.LEASE,
            "runs presumed over: no grant for longer than any lease",
            peer=row.name,
            urgent=True,
            runs=len(row.runs),
            granted_s=round(now - row.granted_at, 3),
        )

    def state_changed(
        self, row: _pool.AgentRow, state: wire.EndpointState
    ) -> None:
        """An endpoint restarted, or its readiness or speed changed."""
        old = row.state
        if (old.incarnation, old.accepting, old.slowness, old.steady) == (
            state.incarnation,
            state.accepting,
            state.slowness,
            state.steady,
        ):
            return
        self.add(
            outcomes.Step.HEALTH,
            "endpoint state changed",
            peer=row.name,
            incarnation=state.incarnation,
            accepting=state.accepting,
            slowness=state.slowness,
            steady=state.steady,
        )

    def health_changed(
        self, job: str, row: _pool.AgentRow, state: health.Health
    ) -> None:
        """The health of an endpoint changed.

        :param job: job whose run ended; empty if the evidence came from other
            entries
        :param row: agent of the endpoint
        :param state: new health of the endpoint
        """
        self._meter.health_changed()
        self.add(
            outcomes.Step.HEALTH,
            "endpoint's health changed",
            job,
            row.name,
            True,
            state=repr(state),
            failing=[
                (evidence.zone, evidence.rate, evidence.failures)
                for evidence in row.state.failing
            ],
        )
