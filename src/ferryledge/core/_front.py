"""The front of an entry: keeps clients' jobs until they are answered.

A job is assigned to a scheduler as one part. If that scheduler is lost, the
front fences it at every agent that it may have used, and the agents report
which tasks they started. Only tasks that certainly never started are assigned
again, as a new part.
"""

import collections
import dataclasses
import random

from ferryledge.core import _actions
from ferryledge.core import _front_jobs
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _reachable_agents
from ferryledge.core import _recovery
from ferryledge.core import _requests
from ferryledge.core import _rulebook
from ferryledge.core import _trace
from ferryledge import ledger
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import wire

#: Number of recent answers kept for look-ups.
_ANSWERS_KEPT = 2000
#: Maximum number of tickets in stock.
_MAX_TICKETS = 2048


class Front:
    """Accepts jobs from clients and answers each job once.

    :param identity: name, incarnation and zone of this process
    :param options: settings of the entry
    :param peers: the connected peers, used to send messages
    :param rng: the only source of randomness
    :param trace: records decisions about jobs
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
        self._rulebook: _rulebook.Rulebook | None = None
        self._table = _front_jobs.JobTable()
        self._recovery = _recovery.Recovery(
            self._table, peers, trace, self.fail, self.complete_if_finished
        )
        self._answered: collections.OrderedDict[
            tuple[str, str], _requests.JobAnswer
        ] = collections.OrderedDict()
        self._tickets: collections.deque[str] = collections.deque()
        self._draining = False

    @property
    def jobs(self) -> int:
        """Number of jobs that are not answered yet."""
        return len(self._table.jobs)

    @property
    def tickets(self) -> int:
        """Number of tickets in stock."""
        return len(self._tickets)

    @property
    def last_number(self) -> int:
        """Number of the most recent submission."""
        return self._table.counter

    def outstanding(self, scheduler: str) -> int:
        """Return the number of this front's parts that a scheduler holds."""
        return len(self._table.parts_at(scheduler))

    def configure(self, rulebook: _rulebook.Rulebook) -> None:
        """Use a newer configuration from now on."""
        self._rulebook = rulebook

    def drain(self) -> None:
        """Refuse new jobs from now on."""
        self._draining = True

    def add_tickets(self, tickets: tuple[str, ...]) -> None:
        """Add tickets to the stock; those above its maximum are dropped."""
        free = _MAX_TICKETS - len(self._tickets)
        self._tickets.extend(tickets[: max(0, free)])

    def drop_tickets(self, issuer: str) -> None:
        """Remove the tickets issued by an agent that is gone or leaving."""
        kept = [t for t in self._tickets if ledger.issuer_of(t) != issuer]
        self._tickets = collections.deque(kept)

    def find(
        self, workspace: str, request_id: str
    ) -> _front_jobs.FrontJob | _requests.JobAnswer | None:
        """Return the open job, else the answer kept for it, else ``None``."""
        key = (workspace, request_id)
        return self._table.jobs.get(key) or self._answered.get(key)

    # Jobs.

    def submit(
        self, now: float, token: int, request: _requests.JobRequest
    ) -> _front_jobs.FrontJob | None:
        """Check a request and add its job.

        :param now: current time in monotonic seconds
        :param token: identifies the client's call in the answer
        :param request: the client's request
        :return: the job if it must be assigned to a scheduler; ``None`` if
            the request was answered at once or joined a running job
        """
        refusal = self._check(request)
        if refusal is not None:
            self._trace.note(
                now,
                f"{request.workspace}/{request.request_id}",
                _trace.Mechanism.FRONT,
                f"{outcomes.tag_of(refusal)}: {refusal}",
            )
            self._reply(token, _requests.JobAnswer(refusal))
            return None
        key = (request.workspace, request.request_id)
        digest = _front_jobs.digest_of(request)
        running = self._table.jobs.get(key)
        if running is not None:
            self._join(token, running, digest)
            return None
        job = _front_jobs.FrontJob(request, digest, [token], now)
        self._table.jobs[key] = job
        return job

    def _check(
        self, request: _requests.JobRequest
    ) -> outcomes.Refused | outcomes.TicketRequired | None:
        if self._draining:
            return self._refuse(outcomes.Reason.DRAINING, 0.1)
        rulebook = self._rulebook
        if rulebook is None or not rulebook.version:
            return self._refuse(
                outcomes.Reason.NO_CONFIGURATION,
                1.0,
                "no configuration has been received yet",
            )
        service = rulebook.service(request.service)
        if service is None:
            return self._refuse(
                outcomes.Reason.UNKNOWN_SERVICE, 0.0, request.service
            )
        if rulebook.workspace(request.workspace) is None:
            return self._refuse(
                outcomes.Reason.UNKNOWN_WORKSPACE, 0.0, request.workspace
            )
        for place in request.places:
            if rulebook.place(place) is None:
                return self._refuse(
                    outcomes.Reason.IMPOSSIBLE,
                    0.0,
                    f"place {place!r} does not exist",
                )
        repeatable = request.repeatable and service.repeatable
        if repeatable or request.ticket:
            return None
        if self._tickets:
            return outcomes.TicketRequired(self._tickets.popleft())
        return self._refuse(
            outcomes.Reason.CAPACITY, 0.2, "no ticket is available"
        )

    def _join(
        self, token: int, job: _front_jobs.FrontJob, digest: str
    ) -> None:
        if job.digest == digest:
            job.tokens.append(token)
            return
        refusal = self._refuse(
            outcomes.Reason.TICKET_USED,
            0.0,
            "another request with this request_id is running",
        )
        self._reply(token, _requests.JobAnswer(refusal))

    def _refuse(
        self,
        reason: outcomes.Reason,
        base_s: float,
        detail: str = "",
    ) -> outcomes.Refused:
        delay = limits.jittered_delay(
            base_s, self._options.max_retry_after_s, self._rng
        )
        origin = outcomes.Origin(outcomes.Step.SUBMIT, self._identity.name)
        return outcomes.Refused(reason, origin, delay, detail)

    def make_part(
        self,
        now: float,
        job: _front_jobs.FrontJob,
        scheduler: _peers.Peer | None,
        indices: tuple[int, ...],
        group: _reachable_agents.Group,
    ) -> wire.PlaceJob:
        """Add a part to a job and return the message for its scheduler.

        :param now: current time in monotonic seconds
        :param job: the job
        :param scheduler: the peer that schedules the part; ``None`` for
            this entry
        :param indices: indices in the job of the part's tasks
        :param group: the agents that the scheduler may use
        """
        self._table.counter += 1
        incarnation = self._identity.incarnation
        submission = (
            f"{incarnation}{ledger.SUBMISSION_SEPARATOR}{self._table.counter}"
        )
        part = _front_jobs.Part(
            submission,
            scheduler.name if scheduler else "",
            scheduler.incarnation if scheduler else "",
            indices,
            group,
        )
        job.parts[submission] = part
        self._table.by_part[submission] = job
        request = job.request
        remaining_s = request.deadline_s
        if remaining_s:
            # In the message, zero means that there is no deadline.
            remaining_s = max(0.001, job.arrived_at + remaining_s - now)
        return wire.PlaceJob(
            submission,
            request.workspace,
            request.service,
            tuple(
                wire.PlacedTask(
                    request.tasks[i].payload, request.tasks[i].declared_s
                )
                for i in indices
            ),
            remaining_s,
            request.urgency,
            request.places,
            request.ticket,
            request.request_id if not request.ticket else job.digest,
            request.repeatable,
        )

    def take_back(
        self, submission: str, positions: tuple[int, ...]
    ) -> tuple[_front_jobs.FrontJob, tuple[int, ...]] | None:
        """Remove tasks that have not started from a part.

        :param submission: the part's submission
        :param positions: the tasks' positions in the part
        :return: the job and the tasks' indices in it; ``None`` if the part
            no longer exists
        """
        job = self._table.by_part.get(submission)
        if job is None:
            return None
        part = job.parts[submission]
        part.removed.update(positions)
        if len(part.removed) == len(part.indices):
            self._table.drop_part(submission)
        return job, tuple(part.indices[position] for position in positions)

    def fail(
        self,
        job: _front_jobs.FrontJob,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str,
        may_have_run: bool,
    ) -> None:
        """Answer a job as failed.

        :param job: the job
        :param reason: why it failed
        :param step: the step at which it failed
        :param peer: the process that caused the failure
        :param may_have_run: whether some of its tasks may have run
        """
        origin = outcomes.Origin(step, peer)
        outcome: outcomes.JobOutcome
        if may_have_run:
            outcome = outcomes.FailedMayHaveRun(reason, origin)
        else:
            outcome = outcomes.FailedNotRun(reason, origin, 0.1)
        tag = outcomes.tag_of(outcome)
        tags = tuple(
            "complete" if index in job.results else tag
            for index in range(len(job.request.tasks))
        )
        self._answer(job, _requests.JobAnswer(outcome, tags))

    def cancel(self, now: float, workspace: str, request_id: str) -> bool:
        """Send a cancellation to each other entry that holds a job's parts.

        :return: whether this front holds the job
        """
        job = self._table.jobs.get((workspace, request_id))
        if job is None:
            return False
        for part in job.parts.values():
            if part.scheduler:
                message = wire.CancelJob(part.submission)
                self._peers.send(now, part.scheduler, message)
        return True

    def local_parts(self, workspace: str, request_id: str) -> list[str]:
        """Return the submissions of a job that this entry schedules."""
        job = self._table.jobs.get((workspace, request_id))
        if job is None:
            return []
        return [
            part.submission
            for part in job.parts.values()
            if not part.scheduler
        ]

    # Answers.

    def on_answer(
        self, submission: str, scheduler: str, answer: _requests.JobAnswer
    ) -> None:
        """Process a scheduler's answer to one part.

        An answer is ignored if the part no longer exists or was not
        assigned to that scheduler.
        """
        job = self._table.by_part.get(submission)
        if job is None:
            return
        part = job.parts[submission]
        if part.scheduler != scheduler:
            return
        match answer.outcome:
            case outcomes.Complete(results):
                self._add_results(job, part, results)
            case _ if len(part.remaining()) == len(job.request.tasks):
                self._answer(job, answer)
            case _:
                self._fail_partial_job(job, part, answer)

    def _add_results(
        self,
        job: _front_jobs.FrontJob,
        part: _front_jobs.Part,
        results: tuple[bytes, ...],
    ) -> None:
        self._table.drop_part(part.submission)
        job.results.update(zip(part.remaining(), results, strict=True))
        self.complete_if_finished(job)

    def complete_if_finished(self, job: _front_jobs.FrontJob) -> None:
        """Answer a job if the results of all its tasks are present."""
        size = len(job.request.tasks)
        if len(job.results) != size:
            return
        ordered = tuple(job.results[index] for index in range(size))
        self._answer(
            job,
            _requests.JobAnswer(
                outcomes.Complete(ordered), ("complete",) * size
            ),
        )

    def _fail_partial_job(
        self,
        job: _front_jobs.FrontJob,
        part: _front_jobs.Part,
        answer: _requests.JobAnswer,
    ) -> None:
        """Fail a job if one part failed and other tasks may have run."""
        match answer.outcome:
            case outcomes.Refused(reason, origin) | outcomes.FailedNotRun(
                reason, origin
            ):
                self.fail(job, reason, origin.step, origin.peer, True)
            case outcomes.FailedMayHaveRun(reason, origin):
                self.fail(job, reason, origin.step, origin.peer, True)
            case _:
                self.fail(
                    job,
                    outcomes.Reason.ENTRY_LOST,
                    outcomes.Step.ANSWER,
                    part.scheduler,
                    True,
                )

    def _answer(
        self, job: _front_jobs.FrontJob, answer: _requests.JobAnswer
    ) -> None:
        key = (job.request.workspace, job.request.request_id)
        del self._table.jobs[key]
        for submission in job.parts:
            self._table.by_part.pop(submission, None)
        self._answered[key] = answer
        while len(self._answered) > _ANSWERS_KEPT:
            self._answered.popitem(last=False)
        for token in job.tokens:
            self._reply(token, self._add_spare_ticket(job, answer))

    def _add_spare_ticket(
        self, job: _front_jobs.FrontJob, answer: _requests.JobAnswer
    ) -> _requests.JobAnswer:
        """Add a ticket for the client's next unrepeatable job, if in stock."""
        if not job.request.ticket or not self._tickets:
            return answer
        return dataclasses.replace(
            answer, spare_ticket=self._tickets.popleft()
        )

    def _reply(self, token: int, answer: _requests.JobAnswer) -> None:
        self._peers.do(_actions.AnswerClient(token, answer))

    # Lost schedulers and deadlines.

    @property
    def recovery(self) -> _recovery.Recovery:
        """Recovers the tasks of lost schedulers."""
        return self._recovery

    def groups_at(self, scheduler: str) -> list[_reachable_agents.Group]:
        """Return the agent group of each part that a scheduler holds."""
        return [part.group for part in self._table.parts_at(scheduler)]

    def sweep(self, now: float) -> None:
        """Expire fences, and fail jobs that are past their deadline."""
        self._recovery.sweep(now)
        for job in list(self._table.jobs.values()):
            if now >= job.deadline_at:
                self.fail(
                    job,
                    outcomes.Reason.DEADLINE,
                    outcomes.Step.ANSWER,
                    self._identity.name,
                    True,
                )
