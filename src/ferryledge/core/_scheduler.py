"""The scheduler of a pool: takes jobs in, and answers them.

A task is bound to one endpoint. It is bound again only after the agent
said that it has not started and never will.
"""

import collections
import random

from ferryledge.core import _admission
from ferryledge.core import _convert
from ferryledge.core import _jobs
from ferryledge.core import _monitoring
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _placing
from ferryledge.core import _pool_state
from ferryledge.core import _requests
from ferryledge.core import _rulebook
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import ledger
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire

#: Seconds for which an endpoint that said it is full is left alone.
_BLOCK_S = 0.05
#: Seconds between checks for silence, deadlines and overdue tasks.
_SWEEP_S = 0.1
#: Most releases of one task before its job is given up.
_MAX_RELEASES = 400


class Scheduler:
    """Places jobs on the endpoints of a pool.

    :param identity: this process
    :param options: how to decide
    :param peers: where messages go out
    :param rng: source of all randomness
    :param trace: where decisions are noted
    """

    def __init__(
        self,
        identity: _options.Identity,
        options: _options.EntryOptions,
        peers: _peers.Peers,
        rng: random.Random,
        trace: _trace.Trace,
    ) -> None:
        queue = placement.WaitingQueue(options.age_bound_s, self._handicap)
        self._state = _pool_state.PoolState(
            identity, options, peers, rng, trace, queue
        )
        self._admission = _admission.Admission(self._state)
        self._placing = _placing.Placing(self._state)
        self._monitoring = _monitoring.Monitoring(self._state)
        self._answers: list[_jobs.LocalAnswer] = []
        self._handed_back: list[_jobs.HandedBack] = []
        self._seen: dict[str, ledger.SeenNumbers] = {}
        self._next_sweep = 0.0

    def _handicap(self, team: str) -> float:
        """Return how far a team's jobs are put back by its use of slots."""
        rulebook = self._state.rulebook
        active = self._state.quotas.active() | {team}
        return limits.handicap(
            self._state.quotas.used(team),
            rulebook.weight(team),
            sum(rulebook.weight(name) for name in active),
            self._state.table.slots,
        )

    @property
    def waiting(self) -> int:
        """Tasks that wait for a slot."""
        return self._state.queue.tasks

    @property
    def jobs(self) -> int:
        """Jobs that are not answered yet."""
        return len(self._state.jobs)

    @property
    def placed(self) -> int:
        """Tasks bound so far, over all jobs."""
        return self._state.next_seq

    @property
    def table(self) -> placement.EndpointTable:
        """The endpoints."""
        return self._state.table

    @property
    def run_times(self) -> placement.RunTimes:
        """What was learned of run times."""
        return self._state.run_times

    @property
    def judge(self) -> health.HealthJudge:
        """The judge of the endpoints' health."""
        return self._state.judge

    def configure(self, rulebook: _rulebook.Rulebook) -> None:
        """Put a newer configuration in force."""
        self._state.rulebook = rulebook
        self._state.quotas.set_quotas(rulebook.quotas())

    def take_answers(self) -> list[_jobs.LocalAnswer]:
        """Return the answers to this entry's own jobs."""
        answers = self._answers
        self._answers = []
        return answers

    def place(self, now: float, front: str, message: wire.PlaceJob) -> None:
        """Admit a job, or refuse it at once.

        :param now: monotonic seconds
        :param front: the peer that sent it; empty is this entry
        :param message: the job
        """
        if not self._is_new(message.submission):
            return
        admitted = self._admission.admit(now, front, message)
        if isinstance(admitted, outcomes.Refused):
            self._answer(
                now, front, message.submission, _requests.JobAnswer(admitted)
            )
            return
        self._state.jobs[message.submission] = admitted
        self._enqueue(now, admitted)

    def _is_new(self, submission: str) -> bool:
        """Return whether a submission was never seen, and note it.

        A repeat must not run again, not even after its job has ended.
        """
        front = ledger.front_of(submission)
        seen = self._seen.get(front)
        if seen is None:
            seen = self._seen[front] = ledger.SeenNumbers()
        return seen.add(ledger.number_of(submission))

    def _enqueue(self, now: float, job: _jobs.Job) -> None:
        if not job.message.ticket:
            self._state.queue.add(job.waiting)
            return
        arbiter = self._arbiter(now, job)
        if arbiter is None:
            return
        if self._fits_arbiter(job, arbiter):
            job.ticket_use = _jobs.TicketUse.AT_ARBITER
            self._placing.send_start(now, job, arbiter, job.size)
            return
        self._authorise(now, job, arbiter)

    def _arbiter(
        self, now: float, job: _jobs.Job
    ) -> placement.EndpointRow | None:
        """Return the agent that minted the job's ticket, or fail the job."""
        row = self._state.table.find(ledger.minter_of(job.message.ticket))
        if row is not None and row.connected:
            return row
        self._fail(
            now, job, outcomes.Reason.TICKET_LOST, outcomes.Step.AUTHORISE
        )
        return None

    def _authorise(
        self, now: float, job: _jobs.Job, arbiter: placement.EndpointRow
    ) -> None:
        job.ticket_use = _jobs.TicketUse.ASKED
        message = wire.Authorise(
            job.message.ticket, job.submission, job.message.label
        )
        self._state.peers.send(now, arbiter.name, message)

    def _fits_arbiter(
        self, job: _jobs.Job, arbiter: placement.EndpointRow
    ) -> bool:
        if not self._state.options.run_at_arbiter:
            return False
        if not self._state.may_use(job, arbiter):
            return False
        slow = self._state.run_times.slowness(arbiter.name)
        normal = slow < placement.NORMAL_SLOWNESS * self._state.normal_slowness
        room = arbiter.fits(job.service.memory_mb)
        return normal and room >= job.size

    def on_verdict(self, now: float, message: wire.Verdict) -> None:
        """Go on with a job whose ticket was judged."""
        job = self._state.jobs.get(message.submission)
        if job is None:
            return
        self._state.trace.note(
            now, job.submission, _trace.Mechanism.TICKET, message.verdict
        )
        match message.verdict:
            case wire.VerdictTag.GRANTED:
                if job.ticket_use is _jobs.TicketUse.ASKED:
                    job.ticket_use = _jobs.TicketUse.GRANTED
                    self._state.queue.add(job.waiting)
            case wire.VerdictTag.SETTLED if message.outcome is not None:
                answer = _convert.answer_of(message.outcome)
                self._finish(now, job, answer)
            case wire.VerdictTag.IN_PROGRESS:
                answer = _requests.JobAnswer(outcomes.InProgress(0.5))
                self._finish(now, job, answer)
            case wire.VerdictTag.MISMATCH:
                refused = self._admission.refuse(
                    outcomes.Reason.TICKET_USED, 0.0, "another request"
                )
                self._finish(now, job, _requests.JobAnswer(refused))
            case _:
                self._fail(
                    now,
                    job,
                    outcomes.Reason.TICKET_LOST,
                    outcomes.Step.AUTHORISE,
                )

    def cancel(self, now: float, front: str, submission: str) -> None:
        """End a job that its front no longer wants."""
        job = self._state.jobs.get(submission)
        if job is None or job.front != front:
            return
        self._fail(now, job, outcomes.Reason.CANCELLED, outcomes.Step.CANCEL)

    def front_lost(self, now: float, front: str) -> None:
        """Drop the jobs of a front whose stream broke.

        Tasks that run go on: the front may be taking them back.
        """
        self._state.agent_sets.pop(front, None)
        for job in list(self._state.jobs.values()):
            if job.front == front:
                self._forget(job)

    def abandon(self, now: float, front: str, through: int) -> None:
        """Drop the jobs that a front has taken back.

        :param now: monotonic seconds
        :param front: the front's name
        :param through: number of its last submission that is given up
        """
        for job in list(self._state.jobs.values()):
            number = ledger.number_of(job.submission)
            if job.front == front and number <= through:
                self._forget(job)

    def share(
        self,
        favourites: frozenset[str],
        owns_pool: bool,
        pool: frozenset[str] | None,
    ) -> None:
        """Say which endpoints fall to this entry.

        :param favourites: used for jobs that it does not hand over
        :param owns_pool: whether others hand their jobs to this entry
        :param pool: those of its pools; none is all
        """
        self._state.favourites = favourites
        self._state.owns_pool = owns_pool
        for row in self._state.table:
            row.mine = (
                pool is None or row.name in pool or row.name in favourites
            )
            self._state.table.refresh(row)
        share = 1.0
        if pool is not None and len(self._state.table):
            share = len(pool) / len(self._state.table)
        self._state.quotas.set_share(share)

    def can_place(self, tasks: int, margin: float) -> bool:
        """Return whether the preferred endpoints have room for a job.

        :param tasks: its number of tasks
        :param margin: share of their slots that must stay free
        """
        if self._state.queue.tasks:
            return False
        free = slots = 0
        for name in self._state.favourites:
            row = self._state.table.find(name)
            if row is not None and row.usable:
                slots += min(row.slots, row.connections)
                free += row.free
        return free - tasks >= margin * slots

    def allow_agents(self, front: str, processes: frozenset[str]) -> None:
        """Restrict a front's jobs to agents that it can reach."""
        self._state.agent_sets[front] = processes

    def take_handed_back(self) -> list[_jobs.HandedBack]:
        """Return the tasks that other schedulers shall place."""
        handed_back = self._handed_back
        self._handed_back = []
        return handed_back

    def run_systems(self, now: float) -> None:
        """Run all systems over the tables."""
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_S
            self._sweep(now)
        self._placing.send_probes(now)
        self._placing.place_waiting(now)

    def wake_at(self) -> float:
        """Return when to run the systems at the latest."""
        if not self._state.jobs:
            return float("inf")
        return self._next_sweep

    def on_finished(
        self, now: float, agent: str, message: wire.TasksFinished
    ) -> None:
        """Take in the ends of tasks."""
        job = self._state.jobs.get(message.submission)
        failed: wire.FinishedTask | None = None
        for task in message.tasks:
            binding = self._unbind(now, agent, task.seq)
            if binding is None or binding.submission != message.submission:
                continue
            self._learn(now, agent, binding, task)
            if job is None or task.seq not in job.bound:
                continue
            del job.bound[task.seq]
            if task.ok:
                job.results[binding.index] = task.body
            else:
                failed = task
        self._note_busy(now, agent, message.busy)
        if job is None:
            return
        if failed is not None:
            self._fail(
                now,
                job,
                outcomes.Reason.TASK_FAILED,
                outcomes.Step.RUN,
                agent,
                failed.body.decode(errors="replace")[:200],
            )
        elif len(job.results) == job.size:
            self._complete(now, job)
        else:
            self._check_arbiter(now, job)

    def _note_busy(self, now: float, agent: str, busy: int) -> None:
        row = self._state.table.find(agent)
        if row is not None:
            until = now + self._state.options.foreign_s
            self._state.table.note_busy(row, busy, until)

    def _unbind(
        self, now: float, agent: str, seq: int
    ) -> placement.Binding | None:
        binding = self._state.table.unbind(agent, seq)
        row = self._state.table.find(agent)
        if row is not None:
            row.progress_at = now
            if row.doubted:
                row.doubted = False
                self._state.table.refresh(row)
        if binding is not None:
            job = self._state.jobs.get(binding.submission)
            if job is not None:
                self._state.quotas.give_back(job.message.team, 1)
        return binding

    def _learn(
        self,
        now: float,
        agent: str,
        binding: placement.Binding,
        task: wire.FinishedTask,
    ) -> None:
        row = self._state.table.find(agent)
        job = self._state.jobs.get(binding.submission)
        if row is None or job is None:
            return
        self._judge_end(now, row, binding.submission, task.ok)
        if task.ok:
            self._state.run_times.learn(
                job.message.service, agent, task.run_s, binding.declared_s
            )

    def _judge_end(
        self,
        now: float,
        row: placement.EndpointRow,
        submission: str,
        ok: bool,
    ) -> None:
        job = self._state.jobs.get(submission)
        if job is None:
            return
        service = job.message.service
        self._state.judge.ended(row.name, service, submission, ok, now)
        state = self._state.judge.state(row.name)
        row.ejected = not isinstance(state, health.Healthy)
        self._state.table.refresh(row)

    def on_released(
        self, now: float, agent: str, message: wire.TasksReleased
    ) -> None:
        """Let released tasks wait again, or end their job."""
        job = self._state.jobs.get(message.submission)
        row = self._state.table.find(agent)
        moved: list[int] = []
        for seq in message.seqs:
            binding = self._unbind(now, agent, seq)
            if binding is None or job is None or seq not in job.bound:
                continue
            del job.bound[seq]
            job.releases += 1
            if job.ticket_use is _jobs.TicketUse.AT_ARBITER:
                job.waiting.tasks.append(binding.index)
            elif self._hands_back(job, message.reason):
                job.moved.add(binding.index)
                moved.append(binding.index)
            else:
                self._state.queue.give_back(job.waiting, binding.index)
        if job is not None:
            self._state.trace.note(
                now,
                job.submission,
                _trace.Mechanism.RELEASE,
                f"{len(message.seqs)} tasks released by {agent}: "
                f"{message.reason}",
            )
        if job is not None and moved:
            self._move(now, job, tuple(moved))
        if row is not None:
            self._note_busy(now, agent, message.busy)
            self._after_release(now, row, message)
        if job is not None and job.submission in self._state.jobs:
            self._after_job_release(now, job, message.reason)

    def _hands_back(self, job: _jobs.Job, reason: wire.ReleaseReason) -> bool:
        """Return whether a released task goes to the pool's scheduler.

        Another scheduler fills the endpoints, so the task had better wait
        where it can see the whole pool.
        """
        busy = reason is wire.ReleaseReason.BUSY
        plain = not job.front and job.ticket_use is _jobs.TicketUse.NONE
        return busy and plain and not self._state.owns_pool

    def _move(
        self, now: float, job: _jobs.Job, indices: tuple[int, ...]
    ) -> None:
        self._handed_back.append(_jobs.HandedBack(job.submission, indices))
        if not job.size:
            self._forget(job)
        elif len(job.results) == job.size:
            self._complete(now, job)

    def _after_release(
        self,
        now: float,
        row: placement.EndpointRow,
        message: wire.TasksReleased,
    ) -> None:
        self._state.judge.probe_lost(row.name)
        match message.reason:
            case wire.ReleaseReason.LEAVING:
                row.leaving = True
            case wire.ReleaseReason.BUSY:
                row.blocked_until = now + _BLOCK_S
            case wire.ReleaseReason.UNREACHABLE:
                row.blocked_until = now + _BLOCK_S
                self._judge_end(now, row, message.submission, ok=False)
            case _:
                pass
        self._state.table.refresh(row)

    def _after_job_release(
        self, now: float, job: _jobs.Job, reason: wire.ReleaseReason
    ) -> None:
        fenced = reason is wire.ReleaseReason.FENCED
        if fenced or job.releases > _MAX_RELEASES * job.size:
            self._fail(now, job, outcomes.Reason.CAPACITY, outcomes.Step.START)
        elif reason is not wire.ReleaseReason.TICKET:
            self._check_arbiter(now, job)

    def _check_arbiter(self, now: float, job: _jobs.Job) -> None:
        """Go on with a job that its ticket's arbiter did not run whole."""
        if job.ticket_use is not _jobs.TicketUse.AT_ARBITER or job.bound:
            return
        if job.results:
            self._fail(
                now, job, outcomes.Reason.AGENT_LOST, outcomes.Step.START
            )
            return
        # Nothing ran, and the arbiter gave the ticket back.
        job.waiting.tasks = collections.deque(sorted(job.waiting.tasks))
        arbiter = self._arbiter(now, job)
        if arbiter is not None:
            self._authorise(now, job, arbiter)

    def agent_up(self, now: float, hello: wire.Hello) -> None:
        """Add an endpoint, or take back one whose stream broke."""
        row = self._state.table.find(hello.name)
        if row is not None and row.incarnation == hello.incarnation:
            row.connected = True
            row.leaving = row.leaving or hello.leaving
            row.progress_at = now
            self._state.table.refresh(row)
            self._reconcile(now, row)
            return
        if row is not None:
            self._agent_gone(now, row)
        self._state.judge.join(hello.name)
        self._state.run_times.forget_endpoint(hello.name)
        self._state.table.put(
            placement.EndpointRow(
                hello.name,
                hello.incarnation,
                hello.hall,
                hello.slots,
                hello.connections,
                hello.memory_mb,
                wire.process_key(hello.name, hello.incarnation),
                leaving=hello.leaving,
                progress_at=now,
            )
        )

    def agent_down(self, now: float, name: str) -> None:
        """Note a broken stream; it may come back for a while."""
        row = self._state.table.find(name)
        if row is None:
            return
        row.connected = False
        row.lost_at = now
        self._state.table.refresh(row)

    def agent_leaving(self, name: str) -> None:
        """Send no new work to an endpoint."""
        row = self._state.table.find(name)
        if row is not None and not row.leaving:
            row.leaving = True
            self._state.table.refresh(row)

    def _reconcile(self, now: float, row: placement.EndpointRow) -> None:
        for job in list(self._state.jobs.values()):
            asked = job.ticket_use is _jobs.TicketUse.ASKED
            if asked and ledger.minter_of(job.message.ticket) == row.name:
                self._authorise(now, job, row)
        if not row.bound:
            return
        bound = list(row.bound.values())
        message = wire.Reconcile(
            tuple(one.seq for one in bound),
            tuple(one.submission for one in bound),
        )
        self._state.peers.send(now, row.name, message)

    def _agent_gone(self, now: float, row: placement.EndpointRow) -> None:
        """Fail the jobs with tasks at an endpoint that is lost."""
        submissions = {one.submission for one in row.bound.values()}
        for job in self._state.jobs.values():
            asked = job.ticket_use is _jobs.TicketUse.ASKED
            if asked and ledger.minter_of(job.message.ticket) == row.name:
                submissions.add(job.submission)
        self._state.table.drop(row.name)
        self._state.judge.leave(row.name)
        for submission in submissions:
            held = self._state.jobs.get(submission)
            if held is not None:
                self._fail(
                    now,
                    held,
                    outcomes.Reason.AGENT_LOST,
                    outcomes.Step.RUN,
                    row.name,
                )

    def _sweep(self, now: float) -> None:
        for row in self._monitoring.lost_endpoints(now):
            self._agent_gone(now, row)
        self._monitoring.sweep(now)
        for job in list(self._state.jobs.values()):
            if now >= job.deadline_at:
                self._fail(
                    now, job, outcomes.Reason.DEADLINE, outcomes.Step.PLACE
                )
        self._sweep_timeouts(now)

    def _sweep_timeouts(self, now: float) -> None:
        for job, name in self._monitoring.late_jobs(now):
            self._fail(
                now,
                job,
                outcomes.Reason.TIMEOUT,
                outcomes.Step.RUN,
                name,
            )

    def _complete(self, now: float, job: _jobs.Job) -> None:
        ordered = tuple(job.results[index] for index in sorted(job.results))
        answer = _requests.JobAnswer(
            outcomes.Complete(ordered), ("complete",) * job.size
        )
        self._finish(now, job, answer)

    def _fail(
        self,
        now: float,
        job: _jobs.Job,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Answer a job as failed, truthfully as to whether any of it ran."""
        origin = outcomes.Origin(step, peer or self._state.identity.name)
        tags = job.task_tags()
        outcome: outcomes.JobOutcome
        # An earlier submission may have run under a ticket not granted.
        unsure = bool(job.message.ticket) and (
            job.ticket_use in (_jobs.TicketUse.NONE, _jobs.TicketUse.ASKED)
        )
        if unsure or any(tag != "failed_not_run" for tag in tags):
            outcome = outcomes.FailedMayHaveRun(reason, origin, detail)
        else:
            outcome = outcomes.FailedNotRun(
                reason, origin, self._state.drain_s(), detail
            )
        self._stop_tasks(now, job)
        self._finish(now, job, _requests.JobAnswer(outcome, tags))

    def _stop_tasks(self, now: float, job: _jobs.Job) -> None:
        """End what still runs of a job that is answered."""
        by_agent: dict[str, list[int]] = {}
        for seq, name in job.bound.items():
            by_agent.setdefault(name, []).append(seq)
        for name, seqs in by_agent.items():
            cancel = wire.CancelTasks(job.submission, tuple(seqs))
            self._state.peers.send(now, name, cancel)

    def _finish(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        self._settle(now, job, answer)
        self._forget(job)
        self._answer(now, job.front, job.submission, answer)

    def _settle(
        self, now: float, job: _jobs.Job, answer: _requests.JobAnswer
    ) -> None:
        if job.ticket_use is not _jobs.TicketUse.GRANTED:
            return
        ticket = job.message.ticket
        settle = wire.Settle(
            ticket, job.submission, _convert.record_of(answer)
        )
        self._state.peers.send(now, ledger.minter_of(ticket), settle)

    def _forget(self, job: _jobs.Job) -> None:
        self._state.queue.remove(job.submission)
        self._state.quotas.give_back(job.message.team, len(job.bound))
        self._state.jobs.pop(job.submission, None)

    def _answer(
        self,
        now: float,
        front: str,
        submission: str,
        answer: _requests.JobAnswer,
    ) -> None:
        self._state.trace.note(
            now,
            submission,
            _trace.Mechanism.ANSWER,
            outcomes.tag_of(answer.outcome),
        )
        if not front:
            self._answers.append(_jobs.LocalAnswer(submission, answer))
            return
        message = wire.JobAnswered(
            submission,
            _convert.record_of(answer),
            self._state.queue.tasks,
            round(self._state.table.load, 3),
        )
        self._state.peers.send(now, front, message)
