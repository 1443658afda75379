"""Clients that submit one job after another over open connections."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random

from ferryledge import net
from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _deployment
from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge.soak import _workload

QUEUES = ("hold", "quote")
_JOBS_PER_S = 8.0
_DEADLINE_S = 5.0
#: A client repeats a job this long after its try broke off.
_REPEAT_S = 1.3
#: Seconds between tries to be served after the faults.
_TRY_S = 0.5
#: Bounds of the seconds by which a late request arrives after its repetition.
_LATE_S = (0.05, 0.8)
#: Seconds from a late request to the end of its connection.
_END_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class _Submission:
    """A job as its client submits it."""

    job: str
    spec: str
    tasks: int
    #: CPU of one task, in thousandths of a core.
    cpu: int
    work_s: float


class Clients:
    """All clients of a soak.

    :param plan: how long they submit
    :param workload: what the tasks of their jobs need and take
    :param judge: hears of tries and answers
    :param now: tells seconds from the start of the load
    """

    def __init__(
        self,
        plan: _plan.Plan,
        workload: _workload.Workload,
        judge: _judge.Judge,
        now: abc.Callable[[], float],
    ) -> None:
        self._plan = plan
        self._workload = workload
        self._judge = judge
        self._now = now
        #: Whether the next job is to be a deadly one.
        self.deadly_next = False
        #: The entry that all turn to first for now; none is any.
        self.crowded: int | None = None

    async def submit_many(self, number: int) -> None:
        """Submit one job after another while the load lasts."""
        rng = random.Random(self._plan.seed * 100 + number)
        callers = self._callers()
        count = 0
        while self._now() < self._plan.seconds:
            count += 1
            job = f"{self._plan.seed:06x}{number:02x}{count:08x}"
            await self._submit(rng, callers, job)
            await asyncio.sleep(rng.expovariate(_JOBS_PER_S))

    async def is_served_again(self) -> bool:
        """Return whether a job is served after the faults."""
        rng = random.Random(self._plan.seed)
        callers = self._callers()
        until = self._now() + _judge.RECOVERY_S
        succeeded = platform_standin.ClientState.SUCCEEDED
        before = self._judge.count(succeeded)
        count = 0
        while self._now() < until:
            count += 1
            await self._submit(rng, callers, f"{count:016x}")
            if self._judge.count(succeeded) > before:
                return True
            await asyncio.sleep(_TRY_S)
        return False

    def _callers(self) -> list[net.HttpClient]:
        return [entry_caller(n) for n in range(self._plan.entries)]

    async def _submit(
        self, rng: random.Random, callers: list[net.HttpClient], job: str
    ) -> None:
        tasks = rng.randint(1, 6)
        work_s = rng.choice(self._plan.work_s)
        cpu = rng.choice((800, 1600, 2300))
        spec = self._workload.add(job, cpu, work_s)
        if self.deadly_next:
            self.deadly_next = False
            self._judge.deadly(job)
        submission = _Submission(job, spec, tasks, cpu, work_s)
        entries = self._entries_to_try(rng, len(callers))
        # Drawn by the job, so that the others stay as they are without it.
        job_rng = random.Random(job)
        if job_rng.random() < self._plan.late_requests:
            late_s = job_rng.uniform(*_LATE_S)
            await asyncio.gather(
                self._try_each(rng, callers, entries, submission, _REPEAT_S),
                self._send_late(callers, entries[-1], submission, late_s),
            )
        elif job_rng.random() < self._plan.silent_clients:
            await asyncio.gather(
                self._send_unheard(callers, entries[-1], submission),
                self._repeat_silently(rng, callers, entries, submission),
            )
        else:
            await self._try_each(rng, callers, entries, submission, 0.0)

    async def _try_each(
        self,
        rng: random.Random,
        callers: list[net.HttpClient],
        entries: list[int],
        submission: _Submission,
        waited_s: float,
    ) -> None:
        """Submit a job to one entry after the other until one answers.

        :param rng: selects the queue and how far the estimate is off
        :param callers: calls entries
        :param entries: numbers of the entries to try, in order
        :param submission: the job
        :param waited_s: how long the client has waited already, in seconds
        """
        job = submission.job
        for entry in entries:
            self._judge.now = self._now()
            self._judge.submitted(job, submission.tasks, entry)
            answer = await platform_standin.submit(
                callers[entry],
                rng.choice(QUEUES),
                job,
                submission.spec,
                submission.tasks,
                submission.cpu,
                int(submission.work_s * 1000 * rng.uniform(0.6, 1.5)),
                _DEADLINE_S - waited_s,
            )
            self._judge.now = self._now()
            self._judge.answered(job, answer.state)
            if answer.state is not platform_standin.ClientState.UNKNOWN:
                return
            await asyncio.sleep(_REPEAT_S)

    async def _send_late(
        self,
        callers: list[net.HttpClient],
        entry: int,
        submission: _Submission,
        late_s: float,
    ) -> None:
        """Send the first request of a job late, and close the connection."""
        await asyncio.sleep(late_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_END_S):
                await self._send_unheard(callers, entry, submission)
        unknown = platform_standin.ClientState.UNKNOWN
        self._judge.answered(submission.job, unknown)

    async def _send_unheard(
        self,
        callers: list[net.HttpClient],
        entry: int,
        submission: _Submission,
    ) -> None:
        """Submit a job whose client does not read the answer.

        The connection stays open for as long as this waits.
        """
        self._judge.now = self._now()
        self._judge.submitted(submission.job, submission.tasks, entry)
        await platform_standin.submit(
            callers[entry],
            QUEUES[0],
            submission.job,
            submission.spec,
            submission.tasks,
            submission.cpu,
            int(submission.work_s * 1000),
            _DEADLINE_S,
        )

    async def _repeat_silently(
        self,
        rng: random.Random,
        callers: list[net.HttpClient],
        entries: list[int],
        submission: _Submission,
    ) -> None:
        """Submit a job again whose first entry can't know that."""
        await asyncio.sleep(_REPEAT_S)
        unknown = platform_standin.ClientState.UNKNOWN
        self._judge.answered(submission.job, unknown)
        await self._try_each(rng, callers, entries, submission, _REPEAT_S)

    def _entries_to_try(self, rng: random.Random, count: int) -> list[int]:
        """Return the numbers of the entries to try, in order.

        :param rng: selects the entries
        :param count: number of all entries
        """
        chosen = rng.sample(range(count), min(2, count))
        if self.crowded is not None:
            chosen[0] = self.crowded
        return chosen


def entry_caller(number: int) -> net.HttpClient:
    """Return a caller of an entry, as clients are."""
    host = _deployment.entry_host(number)
    return net.HttpClient(f"http://{host}:{_deployment.FRONTEND_PORT}", 4)
