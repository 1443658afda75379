"""The front of an entry: holds clients' jobs until their whole answer.

A job is handed to its scheduler as one part. If that scheduler is lost,
the front fences it at every agent that it may have used and learns what
started there; only tasks that provably never started are handed on, as a
new part.
"""

import collections
import dataclasses
import random

from ferryledge.core import _actions
from ferryledge.core import _front_jobs
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _reach
from ferryledge.core import _recovery
from ferryledge.core import _requests
from ferryledge.core import _rulebook
from ferryledge.core import _trace
from ferryledge import ledger
from ferryledge import limits
from ferryledge import outcomes
from ferryledge import wire

#: Answers kept for look-ups.
_ANSWERS_KEPT = 2000
#: Most tickets in stock.
_MAX_TICKETS = 2048


class Front:
    """Takes clients' jobs and answers each one once.

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
        self._rulebook: _rulebook.Rulebook | None = None
        self._table = _front_jobs.JobTable()
        self._recovery = _recovery.Recovery(
            self._table, peers, trace, self.fail, self.complete_if_whole
        )
        self._answered: collections.OrderedDict[
            tuple[str, str], _requests.JobAnswer
        ] = collections.OrderedDict()
        self._tickets: collections.deque[str] = collections.deque()
        self._draining = False

    @property
    def jobs(self) -> int:
        """Jobs whose clients wait."""
        return len(self._table.jobs)

    @property
    def tickets(self) -> int:
        """Tickets in stock."""
        return len(self._tickets)

    @property
    def last_number(self) -> int:
        """Number of the last submission so far."""
        return self._table.counter

    def outstanding(self, scheduler: str) -> int:
        """Return how many parts a scheduler holds for this front."""
        return len(self._table.parts_at(scheduler))

    def configure(self, rulebook: _rulebook.Rulebook) -> None:
        """Put a newer configuration in force."""
        self._rulebook = rulebook

    def drain(self) -> None:
        """Refuse new jobs from now on."""
        self._draining = True

    def add_tickets(self, tickets: tuple[str, ...]) -> None:
        """Add tickets to the stock, up to its bound."""
        room = _MAX_TICKETS - len(self._tickets)
        self._tickets.extend(tickets[: max(0, room)])

    def drop_tickets(self, minter: str) -> None:
        """Forget the tickets of an agent that is gone."""
        kept = [t for t in self._tickets if ledger.issuer_of(t) != minter]
        self._tickets = collections.deque(kept)

    def find(
        self, workspace: str, request_id: str
    ) -> _front_jobs.FrontJob | _requests.JobAnswer | None:
        """Return a job that runs, or an answer that is kept, or none."""
        key = (workspace, request_id)
        return self._table.jobs.get(key) or self._answered.get(key)

    # Jobs.

    def submit(
        self, now: float, token: int, request: _requests.JobRequest
    ) -> _front_jobs.FrontJob | None:
        """Check a job and keep it.

        :return: the job if it is to be handed to a scheduler; none if it
            was answered at once or joined one that runs
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
        known = self._table.jobs.get(key)
        if known is not None:
            self._join(token, known, digest)
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
                "no configuration is known yet",
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
                    outcomes.Reason.IMPOSSIBLE, 0.0, f"no place {place!r}"
                )
        repeatable = request.repeatable and service.repeatable
        if repeatable or request.ticket:
            return None
        if self._tickets:
            return outcomes.TicketRequired(self._tickets.popleft())
        return self._refuse(
            outcomes.Reason.CAPACITY, 0.2, "no ticket is in stock"
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
        group: _reach.Group,
    ) -> wire.PlaceJob:
        """Name a part of a job and return the message for its scheduler.

        :param scheduler: who gets it; none is this entry itself
        :param indices: the tasks that belong to it
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
        left = request.deadline_s
        if left:
            left = max(0.001, job.arrived_at + left - now)
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
            left,
            request.urgency,
            request.places,
            request.ticket,
            request.request_id if not request.ticket else job.digest,
            request.repeatable,
        )

    def take_back(
        self, submission: str, positions: tuple[int, ...]
    ) -> tuple[_front_jobs.FrontJob, tuple[int, ...]] | None:
        """Take tasks out of a part; they have not started in it.

        :param submission: the part's submission
        :param positions: the tasks' positions in the part
        :return: the job and the tasks' places in it; none if it is gone
        """
        job = self._table.by_part.get(submission)
        if job is None:
            return None
        part = job.parts[submission]
        part.moved.update(positions)
        if len(part.moved) == len(part.indices):
            self._table.drop_part(submission)
        return job, tuple(part.indices[place] for place in positions)

    def fail(
        self,
        job: _front_jobs.FrontJob,
        reason: outcomes.Reason,
        step: outcomes.Step,
        peer: str,
        may_have_run: bool,
    ) -> None:
        """Answer a job as failed."""
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
        """Cancel a client's job.

        :return: whether it is here
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
        """Return a job's submissions that this entry schedules itself."""
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
        """Take in a scheduler's answer to one part.

        An answer to a part that is unknown, or that another scheduler
        holds, is dropped: it is late or crossed.
        """
        job = self._table.by_part.get(submission)
        if job is None:
            return
        part = job.parts[submission]
        if part.scheduler != scheduler:
            return
        match answer.outcome:
            case outcomes.Complete(results):
                self._merge(job, part, results)
            case _ if len(part.remaining()) == len(job.request.tasks):
                self._answer(job, answer)
            case _:
                self._fail_rest(job, part, answer)

    def _merge(
        self,
        job: _front_jobs.FrontJob,
        part: _front_jobs.Part,
        results: tuple[bytes, ...],
    ) -> None:
        self._table.drop_part(part.submission)
        job.results.update(zip(part.remaining(), results, strict=True))
        self.complete_if_whole(job)

    def complete_if_whole(self, job: _front_jobs.FrontJob) -> None:
        """Answer a job once all its results are here."""
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

    def _fail_rest(
        self,
        job: _front_jobs.FrontJob,
        part: _front_jobs.Part,
        answer: _requests.JobAnswer,
    ) -> None:
        """Fail a job of which other tasks have already run."""
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
            self._reply(token, self._with_spare(job, answer))

    def _with_spare(
        self, job: _front_jobs.FrontJob, answer: _requests.JobAnswer
    ) -> _requests.JobAnswer:
        """Add a ticket for the client's next unrepeatable job."""
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
        """Takes jobs back from lost schedulers."""
        return self._recovery

    def groups_at(self, scheduler: str) -> list[_reach.Group]:
        """Return the agent groups that a scheduler's parts refer to."""
        return [part.group for part in self._table.parts_at(scheduler)]

    def sweep(self, now: float) -> None:
        """Give up fences and jobs that took too long."""
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
