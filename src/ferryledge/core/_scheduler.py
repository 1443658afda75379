"""The scheduler of a pool: admits, orders, places and answers jobs.

A task is bound to one endpoint. It is bound again only after the agent
said that it has not started and never will.
"""

import collections
import dataclasses
import enum
import random
import statistics

from ferryledge import configlog
from ferryledge.core import _convert
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _requests
from ferryledge.core import _rulebook
from ferryledge.core import _trace
from ferryledge import health
from ferryledge import ledger
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import policy
from ferryledge import wire

#: Seconds for which an endpoint that said it is full is left alone.
_BLOCK_S = 0.05
#: Seconds between checks for silence, deadlines and overdue tasks.
_SWEEP_S = 0.1
#: A task is overdue after this many times its expected run time.
_OVERDUE_FACTOR = 8.0
#: No task is overdue before that many seconds.
_OVERDUE_MIN_S = 2.0
#: Seconds beyond a task's timeout after which its agent is given up.
_TIMEOUT_MARGIN_S = 1.0
#: Most releases of one task before its job is given up.
_MAX_RELEASES = 400


class TicketUse(enum.Enum):
    """How far a job's ticket is used."""

    #: The job has no ticket.
    NONE = "none"
    #: The whole job was sent to the agent that minted the ticket.
    AT_ARBITER = "at_arbiter"
    #: The minting agent was asked and has not answered.
    ASKED = "asked"
    #: The minting agent let the job run anywhere.
    GRANTED = "granted"


@dataclasses.dataclass(slots=True)
class Job:
    """A job that this scheduler holds."""

    submission: str
    #: Name of the front that waits for the answer; empty is this entry.
    front: str
    message: wire.PlaceJob
    service: configlog.Service
    arrived_at: float
    waiting: placement.WaitingJob
    halls: frozenset[str] | None
    config_version: int
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)
    #: Sequence numbers of bound tasks, with their endpoints.
    bound: dict[int, str] = dataclasses.field(default_factory=dict)
    releases: int = 0
    #: Indices of tasks that were handed back to this entry's front.
    moved: set[int] = dataclasses.field(default_factory=set)
    ticket_use: TicketUse = TicketUse.NONE

    @property
    def size(self) -> int:
        """The number of tasks that are to run from here."""
        return len(self.message.tasks) - len(self.moved)

    @property
    def deadline_at(self) -> float:
        """When the client no longer needs it."""
        if not self.message.deadline_s:
            return float("inf")
        return self.arrived_at + self.message.deadline_s

    def task_tags(self) -> tuple[str, ...]:
        """Return what may be said of each task when the job fails."""
        unstarted = set(self.waiting.tasks)
        tags = []
        for index in range(len(self.message.tasks)):
            if index in self.results:
                tags.append("complete")
            elif index in unstarted or index in self.moved:
                tags.append("failed_not_run")
            else:
                tags.append("failed_may_have_run")
        return tuple(tags)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """An answer for a job of this entry's own clients."""

    submission: str
    answer: _requests.JobAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class HandedBack:
    """Tasks that never started here, for another scheduler."""

    submission: str
    #: Their indices in the submission.
    indices: tuple[int, ...]


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
        self._identity = identity
        self._options = options
        self._peers = peers
        self._rng = rng
        self._trace = trace
        self._rulebook = _rulebook.Rulebook(configlog.EMPTY)
        self._table = placement.EndpointTable()
        self._queue = placement.WaitingQueue(options.age_bound_s)
        self._run_times = placement.RunTimes()
        self._judge = health.HealthJudge()
        self._quotas = limits.QuotaShares()
        self._jobs: dict[str, Job] = {}
        self._agent_sets: dict[str, frozenset[str]] = {}
        self._answers: list[LocalAnswer] = []
        self._favourites: frozenset[str] = frozenset()
        self._owns_pool = True
        #: Whether some results may be reported only with others.
        self._held_back = False
        self._handed_back: list[HandedBack] = []
        self._seen: dict[str, ledger.SeenNumbers] = {}
        self._next_seq = 0
        self._next_sweep = 0.0
        #: Slowness of the usable endpoint in the middle.
        self._normal_slowness = 1.0

    @property
    def waiting(self) -> int:
        """Tasks that wait for a slot."""
        return self._queue.tasks

    @property
    def jobs(self) -> int:
        """Jobs that are not answered yet."""
        return len(self._jobs)

    @property
    def placed(self) -> int:
        """Tasks bound so far, over all jobs."""
        return self._next_seq

    @property
    def table(self) -> placement.EndpointTable:
        """The endpoints."""
        return self._table

    @property
    def run_times(self) -> placement.RunTimes:
        """What was learned of run times."""
        return self._run_times

    @property
    def judge(self) -> health.HealthJudge:
        """The judge of the endpoints' health."""
        return self._judge

    def configure(self, rulebook: _rulebook.Rulebook) -> None:
        """Put a newer configuration in force."""
        self._rulebook = rulebook
        self._quotas.set_quotas(rulebook.quotas())

    def take_answers(self) -> list[LocalAnswer]:
        """Return the answers to this entry's own jobs."""
        answers = self._answers
        self._answers = []
        return answers

    # Jobs.

    def place(self, now: float, front: str, message: wire.PlaceJob) -> None:
        """Admit a job, or refuse it at once.

        :param now: monotonic seconds
        :param front: the peer that sent it; empty is this entry
        :param message: the job
        """
        if not self._is_new(message.submission):
            return
        refusal = self._admit(now, front, message)
        if refusal is not None:
            self._answer(
                now, front, message.submission, _requests.JobAnswer(refusal)
            )

    def _is_new(self, submission: str) -> bool:
        """Return whether a submission was never seen, and note it.

        A repeat must not run again, not even after its job has ended.
        """
        front = ledger.front_of(submission)
        seen = self._seen.get(front)
        if seen is None:
            seen = self._seen[front] = ledger.SeenNumbers()
        return seen.add(ledger.number_of(submission))

    def _admit(
        self, now: float, front: str, message: wire.PlaceJob
    ) -> outcomes.Refused | None:
        service = self._rulebook.service(message.service)
        if service is None:
            return self._refuse(
                outcomes.Reason.UNKNOWN_SERVICE, 0.0, message.service
            )
        declared = max((t.declared_s for t in message.tasks), default=0.0)
        expected = self._run_times.expect(message.service, declared)
        facts = self._facts(message, expected, declared)
        ruling = self._rulebook.judge(service, facts)
        if ruling.refused:
            return self._refuse(
                outcomes.Reason.POLICY, self._drain_s(), ruling.detail
            )
        halls = self._rulebook.halls(
            service, facts, message.places, self._table.halls
        )
        refusal = self._impossible(service, halls)
        if refusal is not None:
            return refusal
        ideal = expected * _longest_factor(len(message.tasks))
        waiting = placement.WaitingJob(
            message.submission,
            message.team,
            expected,
            ideal,
            ruling.urgency,
            now,
            collections.deque(range(len(message.tasks))),
        )
        refusal = self._limit(message, waiting)
        if refusal is not None:
            return refusal
        job = Job(
            message.submission,
            front,
            message,
            service,
            now,
            waiting,
            halls,
            self._rulebook.version,
        )
        self._jobs[message.submission] = job
        self._trace.note(
            now,
            job.submission,
            _trace.Mechanism.ADMISSION,
            f"admitted: {expected:.3f} s a task expected, urgency "
            f"{ruling.urgency:g}, {self._queue.tasks} tasks waiting, load "
            f"{self._table.load:.2f}",
        )
        for failure in ruling.failures:
            self._trace.note(
                now, job.submission, _trace.Mechanism.POLICY, failure
            )
        self._enqueue(now, job)
        return None

    def _enqueue(self, now: float, job: Job) -> None:
        if not job.message.ticket:
            self._queue.add(job.waiting)
            return
        arbiter = self._arbiter(now, job)
        if arbiter is None:
            return
        if self._fits_arbiter(job, arbiter):
            job.ticket_use = TicketUse.AT_ARBITER
            self._send_start(now, job, arbiter, job.size)
            return
        self._authorise(now, job, arbiter)

    def _arbiter(self, now: float, job: Job) -> placement.EndpointRow | None:
        """Return the agent that minted the job's ticket, or fail the job."""
        row = self._table.find(ledger.minter_of(job.message.ticket))
        if row is not None and row.connected:
            return row
        self._fail(
            now, job, outcomes.Reason.TICKET_LOST, outcomes.Step.AUTHORISE
        )
        return None

    def _authorise(
        self, now: float, job: Job, arbiter: placement.EndpointRow
    ) -> None:
        job.ticket_use = TicketUse.ASKED
        message = wire.Authorise(
            job.message.ticket, job.submission, job.message.label
        )
        self._peers.send(now, arbiter.name, message)

    def _fits_arbiter(self, job: Job, arbiter: placement.EndpointRow) -> bool:
        if not self._options.run_at_arbiter:
            return False
        if job.halls is not None and arbiter.hall not in job.halls:
            return False
        processes = self._agent_sets.get(job.front)
        if processes is not None and arbiter.process not in processes:
            return False
        slow = self._run_times.slowness(arbiter.name)
        room = arbiter.fits(job.service.memory_mb)
        return room >= job.size and slow < 1.5

    def on_verdict(self, now: float, message: wire.Verdict) -> None:
        """Go on with a job whose ticket was judged."""
        job = self._jobs.get(message.submission)
        if job is None:
            return
        self._trace.note(
            now, job.submission, _trace.Mechanism.TICKET, message.verdict
        )
        match message.verdict:
            case wire.VerdictTag.GRANTED:
                if job.ticket_use is TicketUse.ASKED:
                    job.ticket_use = TicketUse.GRANTED
                    self._queue.add(job.waiting)
            case wire.VerdictTag.SETTLED if message.outcome is not None:
                answer = _convert.answer_of(message.outcome)
                self._finish(now, job, answer)
            case wire.VerdictTag.IN_PROGRESS:
                answer = _requests.JobAnswer(outcomes.InProgress(0.5))
                self._finish(now, job, answer)
            case wire.VerdictTag.MISMATCH:
                refused = self._refuse(
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
        job = self._jobs.get(submission)
        if job is None or job.front != front:
            return
        self._fail(now, job, outcomes.Reason.CANCELLED, outcomes.Step.CANCEL)

    def front_lost(self, now: float, front: str) -> None:
        """Drop the jobs of a front whose stream broke.

        Tasks that run go on: the front may be taking them back.
        """
        self._agent_sets.pop(front, None)
        for job in list(self._jobs.values()):
            if job.front == front:
                self._forget(job)

    def abandon(self, now: float, front: str, through: int) -> None:
        """Drop the jobs that a front has taken back.

        :param now: monotonic seconds
        :param front: the front's name
        :param through: number of its last submission that is given up
        """
        for job in list(self._jobs.values()):
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
        self._favourites = favourites
        self._owns_pool = owns_pool
        for row in self._table:
            row.mine = (
                pool is None or row.name in pool or row.name in favourites
            )
            self._table.refresh(row)
        share = 1.0
        if pool is not None and len(self._table):
            share = len(pool) / len(self._table)
        self._quotas.set_share(share)

    def can_place(self, tasks: int, margin: float) -> bool:
        """Return whether the preferred endpoints have room for a job.

        :param tasks: its number of tasks
        :param margin: share of their slots that must stay free
        """
        if self._queue.tasks:
            return False
        free = slots = 0
        for name in self._favourites:
            row = self._table.find(name)
            if row is not None and row.usable:
                slots += min(row.slots, row.connections)
                free += row.free
        return free - tasks >= margin * slots

    def allow_agents(self, front: str, processes: frozenset[str]) -> None:
        """Restrict a front's jobs to agents that it can reach."""
        self._agent_sets[front] = processes

    def _facts(
        self, message: wire.PlaceJob, expected: float, declared: float
    ) -> policy.Facts:
        return policy.Facts(
            team=message.team,
            service=message.service,
            tasks=len(message.tasks),
            expected_s=expected,
            declared_s=declared,
            deadline_s=message.deadline_s,
            urgency=message.urgency,
            repeatable=message.repeatable,
            waiting=self._queue.tasks,
            load=self._table.load,
            home=self._identity.hall,
        )

    def _impossible(
        self, service: configlog.Service, halls: frozenset[str] | None
    ) -> outcomes.Refused | None:
        if not any(row.usable for row in self._table):
            return self._refuse(
                outcomes.Reason.NO_ENDPOINT,
                self._spread(0.5),
                "no endpoint is connected",
            )
        for row in self._table:
            if halls is not None and row.hall not in halls:
                continue
            if not row.memory_mb or service.memory_mb <= row.memory_mb:
                return None
        return self._refuse(
            outcomes.Reason.IMPOSSIBLE,
            0.0,
            "no endpoint in the allowed halls is large enough",
        )

    def _limit(
        self, message: wire.PlaceJob, waiting: placement.WaitingJob
    ) -> outcomes.Refused | None:
        guarded = self._options.guards and message.deadline_s > 0
        before = (
            self._queue.work_before(waiting.key)
            if guarded
            else self._queue.work_s
        )
        load = limits.Load(
            self._table.slots, self._queue.tasks, before, waiting.ideal_s
        )
        verdict = limits.admit(
            load,
            len(message.tasks),
            message.deadline_s,
            self._options.max_waiting_tasks,
            self._options.guards,
        )
        match verdict:
            case limits.Refuse(reason, retry_after_s):
                return self._refuse(reason, self._spread(retry_after_s))
            case limits.Admit():
                return None

    def _refuse(
        self,
        reason: outcomes.Reason,
        retry_after_s: float,
        detail: str = "",
    ) -> outcomes.Refused:
        origin = outcomes.Origin(outcomes.Step.ADMIT, self._identity.name)
        return outcomes.Refused(reason, origin, retry_after_s, detail)

    def _spread(self, base_s: float) -> float:
        return limits.spread_delay(
            base_s, self._options.max_retry_after_s, self._rng
        )

    def _drain_s(self) -> float:
        slots = max(1, self._table.slots)
        return self._spread(max(0.2, self._queue.work_s / slots))

    def take_handed_back(self) -> list[HandedBack]:
        """Return the tasks that other schedulers shall place."""
        handed_back = self._handed_back
        self._handed_back = []
        return handed_back

    # Placement.

    def run_systems(self, now: float) -> None:
        """Run all systems over the tables."""
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_S
            self._sweep(now)
        self._send_probes(now)
        self._place_waiting(now)

    def wake_at(self) -> float:
        """Return when to run the systems at the latest."""
        if not self._jobs:
            return float("inf")
        return self._next_sweep

    def _place_waiting(self, now: float) -> None:
        if not self._queue.tasks:
            return
        rows = self._table.open_rows(now)
        if not rows:
            self._call_reports(now)
            return
        for waiting in self._queue.picks(now):
            job = self._jobs[waiting.submission]
            self._place_job(now, job)
            rows = self._table.open_rows(now)
            if not rows:
                break
        if self._queue.tasks:
            self._call_reports(now)

    def _place_job(self, now: float, job: Job) -> None:
        waiting = job.waiting
        while waiting.tasks:
            room = self._quotas.room(waiting.team)
            if room < 1:
                return
            row = self._choose(now, job)
            if row is None:
                return
            count = min(len(waiting.tasks), row.fits(job.service.memory_mb))
            count = int(min(count, room))
            self._send_start(now, job, row, count)

    def _choose(self, now: float, job: Job) -> placement.EndpointRow | None:
        slots = max(1, self._table.slots)
        wish = placement.Wish(
            job.waiting.expected_s,
            self._normal_slowness,
            self._queue.work_s / slots,
            job.halls,
            job.service.memory_mb,
            self._identity.hall,
            self._favourites if not job.front else frozenset(),
            self._agent_sets.get(job.front),
        )
        rows = self._table.open_rows(now)
        return placement.choose_endpoint(rows, self._run_times, wish)

    def _send_start(
        self,
        now: float,
        job: Job,
        row: placement.EndpointRow,
        count: int,
    ) -> None:
        at_arbiter = job.ticket_use is TicketUse.AT_ARBITER
        if at_arbiter:
            indices = [job.waiting.tasks.popleft() for _ in range(count)]
        else:
            indices = self._queue.take(job.waiting, count)
        first_seq = self._next_seq
        self._next_seq += count
        tasks = job.message.tasks
        each = self._report_each(count)
        self._held_back = self._held_back or not each
        for offset, index in enumerate(indices):
            binding = placement.Binding(
                first_seq + offset,
                job.submission,
                index,
                row.name,
                now,
                job.waiting.expected_s,
                tasks[index].declared_s,
                job.service.memory_mb,
                each,
            )
            self._table.bind(binding)
            job.bound[binding.seq] = row.name
        self._quotas.take(job.message.team, count)
        self._trace.note(
            now,
            job.submission,
            _trace.Mechanism.PLACEMENT,
            f"{count} tasks to {row.name} in {row.hall}, free {row.free} "
            f"of {row.slots} after, slowness "
            f"{self._run_times.slowness(row.name):.2f}",
        )
        message = wire.StartTasks(
            row.incarnation,
            job.submission,
            job.message.service,
            job.service.timeout_s,
            first_seq,
            tuple(indices),
            tuple(tasks[index].payload for index in indices),
            each,
            job.service.memory_mb,
            job.message.label,
            job.message.ticket if at_arbiter else "",
        )
        self._peers.send(now, row.name, message)

    def _report_each(self, count: int) -> bool:
        """Return whether results are wanted one by one.

        While many slots are free nobody waits for the news of a free one,
        and the job can't be answered before its last task anyway.
        """
        if count == 1:
            return True
        slots = self._table.slots
        free = slots - self._table.bound
        return free < self._options.report_together_free * slots

    def _call_reports(self, now: float) -> None:
        """Ask for results that are held back, now that tasks wait."""
        if not self._held_back:
            return
        self._held_back = False
        for row in self._table:
            held = [one for one in row.bound.values() if not one.report_each]
            if not held:
                continue
            for binding in held:
                binding.report_each = True
            self._peers.send(now, row.name, wire.ReportNow())

    def _send_probes(self, now: float) -> None:
        if not self._judge.held:
            return
        self._judge.probes_due(now)
        for row in self._table:
            if not row.ejected or not row.connected or row.leaving:
                continue
            match self._judge.state(row.name):
                case health.Healthy():
                    row.ejected = False
                    self._table.refresh(row)
                case health.Probing(sent=False):
                    self._probe(now, row)
                case _:
                    pass

    def _probe(self, now: float, row: placement.EndpointRow) -> None:
        """Send one repeatable waiting task to an endpoint on trial."""
        for waiting in self._queue.picks(now):
            job = self._jobs[waiting.submission]
            allowed = job.halls is None or row.hall in job.halls
            if job.message.repeatable and allowed and not row.bound:
                self._judge.probe_sent(row.name)
                self._send_start(now, job, row, 1)
                return

    # What agents say.

    def on_finished(
        self, now: float, agent: str, message: wire.TasksFinished
    ) -> None:
        """Take in the ends of tasks."""
        job = self._jobs.get(message.submission)
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
        row = self._table.find(agent)
        if row is not None:
            until = now + self._options.foreign_s
            self._table.note_busy(row, busy, until)

    def _unbind(
        self, now: float, agent: str, seq: int
    ) -> placement.Binding | None:
        binding = self._table.unbind(agent, seq)
        row = self._table.find(agent)
        if row is not None:
            row.progress_at = now
            if row.doubted:
                row.doubted = False
                self._table.refresh(row)
        if binding is not None:
            job = self._jobs.get(binding.submission)
            if job is not None:
                self._quotas.give_back(job.message.team, 1)
        return binding

    def _learn(
        self,
        now: float,
        agent: str,
        binding: placement.Binding,
        task: wire.FinishedTask,
    ) -> None:
        row = self._table.find(agent)
        job = self._jobs.get(binding.submission)
        if row is None or job is None:
            return
        self._judge_end(now, row, binding.submission, task.ok)
        if task.ok:
            self._run_times.learn(
                job.message.service, agent, task.run_s, binding.declared_s
            )

    def _judge_end(
        self,
        now: float,
        row: placement.EndpointRow,
        submission: str,
        ok: bool,
    ) -> None:
        job = self._jobs.get(submission)
        if job is None:
            return
        service = job.message.service
        self._judge.ended(row.name, service, submission, ok, now)
        state = self._judge.state(row.name)
        row.ejected = not isinstance(state, health.Healthy)
        self._table.refresh(row)

    def on_released(
        self, now: float, agent: str, message: wire.TasksReleased
    ) -> None:
        """Let released tasks wait again, or end their job."""
        job = self._jobs.get(message.submission)
        row = self._table.find(agent)
        moved: list[int] = []
        for seq in message.seqs:
            binding = self._unbind(now, agent, seq)
            if binding is None or job is None or seq not in job.bound:
                continue
            del job.bound[seq]
            job.releases += 1
            if job.ticket_use is TicketUse.AT_ARBITER:
                job.waiting.tasks.append(binding.index)
            elif self._hands_back(job, message.reason):
                job.moved.add(binding.index)
                moved.append(binding.index)
            else:
                self._queue.give_back(job.waiting, binding.index)
        if job is not None:
            self._trace.note(
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
        if job is not None and job.submission in self._jobs:
            self._after_job_release(now, job, message.reason)

    def _hands_back(self, job: Job, reason: wire.ReleaseReason) -> bool:
        """Return whether a released task goes to the pool's scheduler.

        Another scheduler fills the endpoints, so the task had better wait
        where it can see the whole pool.
        """
        busy = reason is wire.ReleaseReason.BUSY
        plain = not job.front and job.ticket_use is TicketUse.NONE
        return busy and plain and not self._owns_pool

    def _move(self, now: float, job: Job, indices: tuple[int, ...]) -> None:
        self._handed_back.append(HandedBack(job.submission, indices))
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
        self._judge.probe_lost(row.name)
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
        self._table.refresh(row)

    def _after_job_release(
        self, now: float, job: Job, reason: wire.ReleaseReason
    ) -> None:
        fenced = reason is wire.ReleaseReason.FENCED
        if fenced or job.releases > _MAX_RELEASES * job.size:
            self._fail(now, job, outcomes.Reason.CAPACITY, outcomes.Step.START)
        elif reason is not wire.ReleaseReason.TICKET:
            self._check_arbiter(now, job)

    def _check_arbiter(self, now: float, job: Job) -> None:
        """Go on with a job that its ticket's arbiter did not run whole."""
        if job.ticket_use is not TicketUse.AT_ARBITER or job.bound:
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

    # Endpoints come and go.

    def agent_up(self, now: float, hello: wire.Hello) -> None:
        """Add an endpoint, or take back one whose stream broke."""
        row = self._table.find(hello.name)
        if row is not None and row.incarnation == hello.incarnation:
            row.connected = True
            row.leaving = row.leaving or hello.leaving
            row.progress_at = now
            self._table.refresh(row)
            self._reconcile(now, row)
            return
        if row is not None:
            self._agent_gone(now, row)
        self._judge.join(hello.name)
        self._run_times.forget_endpoint(hello.name)
        self._table.put(
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
        row = self._table.find(name)
        if row is None:
            return
        row.connected = False
        row.lost_at = now
        self._table.refresh(row)

    def agent_leaving(self, name: str) -> None:
        """Send no new work to an endpoint."""
        row = self._table.find(name)
        if row is not None and not row.leaving:
            row.leaving = True
            self._table.refresh(row)

    def _reconcile(self, now: float, row: placement.EndpointRow) -> None:
        for job in list(self._jobs.values()):
            asked = job.ticket_use is TicketUse.ASKED
            if asked and ledger.minter_of(job.message.ticket) == row.name:
                self._authorise(now, job, row)
        if not row.bound:
            return
        bound = list(row.bound.values())
        message = wire.Reconcile(
            tuple(one.seq for one in bound),
            tuple(one.submission for one in bound),
        )
        self._peers.send(now, row.name, message)

    def _agent_gone(self, now: float, row: placement.EndpointRow) -> None:
        """Fail the jobs with tasks at an endpoint that is lost."""
        submissions = {one.submission for one in row.bound.values()}
        for job in self._jobs.values():
            asked = job.ticket_use is TicketUse.ASKED
            if asked and ledger.minter_of(job.message.ticket) == row.name:
                submissions.add(job.submission)
        self._table.drop(row.name)
        self._judge.leave(row.name)
        for submission in submissions:
            held = self._jobs.get(submission)
            if held is not None:
                self._fail(
                    now,
                    held,
                    outcomes.Reason.AGENT_LOST,
                    outcomes.Step.RUN,
                    row.name,
                )

    def _sweep(self, now: float) -> None:
        self._table.forget_foreign(now)
        self._normal_slowness = statistics.median_low(
            [
                self._run_times.slowness(row.name)
                for row in self._table
                if row.usable
            ]
            or [1.0]
        )
        for row in list(self._table):
            if not row.connected:
                grace = self._options.reconnect_grace_s
                if now - row.lost_at >= grace:
                    self._agent_gone(now, row)
                continue
            self._doubt(now, row)
        for job in list(self._jobs.values()):
            if now >= job.deadline_at:
                self._fail(
                    now, job, outcomes.Reason.DEADLINE, outcomes.Step.PLACE
                )
        self._sweep_timeouts(now)

    def _doubt(self, now: float, row: placement.EndpointRow) -> None:
        """Doubt an endpoint that is silent, or overdue with all it has."""
        peer = self._peers.find(row.name)
        silent = (
            peer is not None
            and bool(row.bound)
            and now - peer.last_heard > self._options.silence_s
        )
        doubted = silent or self._overdue(now, row)
        if doubted != row.doubted:
            row.doubted = doubted
            self._table.refresh(row)

    def _overdue(self, now: float, row: placement.EndpointRow) -> bool:
        if not row.bound:
            return False
        slowness = self._run_times.slowness(row.name)
        for one in row.bound.values():
            limit = max(
                _OVERDUE_MIN_S, _OVERDUE_FACTOR * one.expected_s * slowness
            )
            if now - max(one.sent_at, row.progress_at) <= limit:
                return False
        return True

    def _sweep_timeouts(self, now: float) -> None:
        """Give up tasks whose agent has not even reported a timeout."""
        late: list[tuple[Job, str]] = []
        for job in self._jobs.values():
            limit = job.service.timeout_s + _TIMEOUT_MARGIN_S
            for seq, name in job.bound.items():
                row = self._table.find(name)
                binding = row.bound.get(seq) if row else None
                if binding is None or now - binding.sent_at > limit:
                    late.append((job, name))
                    break
        for job, name in late:
            self._fail(
                now,
                job,
                outcomes.Reason.TIMEOUT,
                outcomes.Step.RUN,
                name,
            )

    # Answers.

    def _complete(self, now: float, job: Job) -> None:
        ordered = tuple(job.results[index] for index in sorted(job.results))
        answer = _requests.JobAnswer(
            outcomes.Complete(ordered), ("complete",) * job.size
        )
        self._finish(now, job, answer)

    def _fail(
        self,
        now: float,
        job: Job,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Answer a job as failed, truthfully as to whether any of it ran."""
        origin = outcomes.Origin(step, peer or self._identity.name)
        tags = job.task_tags()
        outcome: outcomes.JobOutcome
        # An earlier submission may have run under a ticket not granted.
        unsure = bool(job.message.ticket) and (
            job.ticket_use in (TicketUse.NONE, TicketUse.ASKED)
        )
        if unsure or any(tag != "failed_not_run" for tag in tags):
            outcome = outcomes.FailedMayHaveRun(reason, origin, detail)
        else:
            outcome = outcomes.FailedNotRun(
                reason, origin, self._drain_s(), detail
            )
        self._stop_tasks(now, job)
        self._finish(now, job, _requests.JobAnswer(outcome, tags))

    def _stop_tasks(self, now: float, job: Job) -> None:
        """End what still runs of a job that is answered."""
        by_agent: dict[str, list[int]] = {}
        for seq, name in job.bound.items():
            by_agent.setdefault(name, []).append(seq)
        for name, seqs in by_agent.items():
            cancel = wire.CancelTasks(job.submission, tuple(seqs))
            self._peers.send(now, name, cancel)

    def _finish(
        self, now: float, job: Job, answer: _requests.JobAnswer
    ) -> None:
        self._settle(now, job, answer)
        self._forget(job)
        self._answer(now, job.front, job.submission, answer)

    def _settle(
        self, now: float, job: Job, answer: _requests.JobAnswer
    ) -> None:
        if job.ticket_use is not TicketUse.GRANTED:
            return
        ticket = job.message.ticket
        settle = wire.Settle(
            ticket, job.submission, _convert.record_of(answer)
        )
        self._peers.send(now, ledger.minter_of(ticket), settle)

    def _forget(self, job: Job) -> None:
        self._queue.remove(job.submission)
        self._quotas.give_back(job.message.team, len(job.bound))
        self._jobs.pop(job.submission, None)

    def _answer(
        self,
        now: float,
        front: str,
        submission: str,
        answer: _requests.JobAnswer,
    ) -> None:
        self._trace.note(
            now,
            submission,
            _trace.Mechanism.ANSWER,
            outcomes.tag_of(answer.outcome),
        )
        if not front:
            self._answers.append(LocalAnswer(submission, answer))
            return
        message = wire.JobAnswered(
            submission,
            _convert.record_of(answer),
            self._queue.tasks,
            round(self._table.load, 3),
        )
        self._peers.send(now, front, message)


def _longest_factor(tasks: int) -> float:
    """Return how much longer than one task a job's longest one takes.

    For run times that vary about twofold the longest of n is near one
    plus a quarter of n's binary logarithm.
    """
    return 1.0 + 0.25 * (tasks.bit_length() - 1)
