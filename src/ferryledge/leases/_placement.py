"""Which waiting task goes to which endpoint.

It answers endpoints of unequal speed, data, labels and trust: those with
evidence against them come last, fast ones near the data first, those that
started lately and are cold late, a slow one gets one run at a time, and no
task goes back to where it failed while others are left.
"""

from collections import abc
import hashlib
import sys

import msgspec

from ferryledge.leases import _job_ranking
from ferryledge.leases import _jobs
from ferryledge.leases import _pool
from ferryledge.leases import _quarantine
from ferryledge.leases import _retry_budget
from ferryledge.leases import _timing
from ferryledge import placement
from ferryledge import wire

#: Slowness differences below this share are taken as noise.
_SLOWNESS_GRAIN = 0.1
_WAITING = _jobs.TaskState.WAITING


class Placement(msgspec.Struct, frozen=True):
    """Tasks of one step of a job for one agent."""

    job: _jobs.Job
    step: int
    row: _pool.AgentRow
    tasks: tuple[_jobs.Task, ...]

    @property
    def work(self) -> float:
        """Core-seconds that they are expected to take."""
        need = self.job.request.steps[self.step].need
        return self.job.expected_s * need.cpu_millis / 1e3 * len(self.tasks)


def _preference(name: str, row: _pool.AgentRow) -> int:
    """Return a rank that differs between entries, to spread their orders."""
    text = f"{name}|{row.name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=2).digest())


class Placer:
    """Chooses endpoints for waiting tasks.

    :param name: this entry
    :param pool: the agents
    :param run_times: what was learned of run times and speeds
    :param remote_factor: how many times as long a task takes away from its data
    :param ranking: the order of waiting jobs
    :param retry_budget: how many tasks may be tried again
    """

    def __init__(
        self,
        name: str,
        pool: _pool.Pool,
        run_times: placement.RunTimes,
        remote_factor: float,
        ranking: _job_ranking.JobRanking,
        retry_budget: _retry_budget.RetryBudget,
    ) -> None:
        self._name = name
        self._pool = pool
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._job_ranking = ranking
        self._retries = retry_budget
        #: Endpoints that are used in part, with the share to use.
        self._shares: dict[str, float] = {}
        self._ranks: dict[str, int] = {}

    def place(
        self,
        now: float,
        jobs: abc.Iterable[_jobs.Job],
        start_interval_s: float = 0.0,
    ) -> abc.Iterator[Placement]:
        """Yield placements; each is to be ordered before the next is asked.

        :param now: monotonic seconds
        :param jobs: those with waiting tasks
        :param start_interval_s: seconds between two starts while the pool is full
        """
        waiting = self._job_ranking.sort(now, jobs, start_interval_s)
        if not waiting:
            return
        open_rows = [
            row
            for row in self._pool
            if row.usable(now) and (not row.slow or row.may_try(now))
        ]
        if self._job_ranking.rules.damped_flaps:
            usable_shares = _quarantine.usable_shares(self._pool)
        else:
            usable_shares = {}
        least = min(_smallest_cpu(job) for job in waiting)
        rows = _with_room(open_rows, least)
        self._shares = usable_shares
        rows.sort(key=self._order)
        for job in waiting:
            if not rows:
                return
            _forget_avoided(job, open_rows)
            placed = False
            # Late for want of better room is no better than lost.
            self._shares = {} if _has_waited(now, job) else usable_shares
            for chosen in self._place_job(now, job, rows):
                placed = True
                yield chosen
            if placed:
                rows = _with_room(rows, least)

    def _order(self, row: _pool.AgentRow) -> tuple[bool, bool, bool, int, int]:
        slowness = 0.0
        if self._job_ranking.rules.fast_first:
            seen = self._run_times.slowness(row.name)
            slowness = max(seen, row.state.slowness)
        rank = self._ranks.get(row.name)
        if rank is None:
            rank = self._ranks[row.name] = _preference(self._name, row)
        steps = int(slowness / _SLOWNESS_GRAIN)
        shaky = row.is_suspect or row.name in self._shares
        return (shaky, row.state.cold, not row.state.is_primary, steps, rank)

    def _place_job(
        self, now: float, job: _jobs.Job, rows: list[_pool.AgentRow]
    ) -> abc.Iterator[Placement]:
        by_step: dict[int, list[_jobs.Task]] = {}
        for task in job.startable():
            by_step.setdefault(task.step, []).append(task)
        for number, tasks in by_step.items():
            step = job.request.steps[number]
            near = self._by_nearness(now, job, step, rows)
            if any(task.crashes for task in tasks):
                # If it takes this one down as well, nobody else is there to
                # lose a run or to be blamed.
                near = sorted(near, key=_is_in_use)
            if any(task.failures for task in tasks):
                bad = _quarantine.suspect_zones(self._pool)
                near = sorted(near, key=lambda row: row.zone in bad)
            for row in near:
                if not tasks:
                    break
                again = self._may_retry(now)
                chosen = self._choose(job, step, number, row, tasks, again)
                if chosen:
                    tasks = [one for one in tasks if one not in chosen]
                    yield Placement(job, number, row, tuple(chosen))

    def _may_retry(self, now: float) -> int:
        """Return how many tasks may be tried again now."""
        if not self._job_ranking.rules.retry_budget:
            return sys.maxsize
        return self._retries.left(now)

    def _by_nearness(
        self,
        now: float,
        job: _jobs.Job,
        step: _jobs.JobStep,
        rows: list[_pool.AgentRow],
    ) -> list[_pool.AgentRow]:
        """Return the endpoints near a step's data, then others if need be.

        Away from its data a task waits for room near them as long as it
        would be late elsewhere anyway.
        """
        if not step.near:
            return rows
        near = [row for row in rows if step.near in row.state.labels]
        far = [row for row in rows if step.near not in row.state.labels]
        in_time = now + job.expected_s * self._remote_factor < job.objective_at
        if in_time or now > job.start_by:
            return near + far
        return near

    def _choose(
        self,
        job: _jobs.Job,
        step: _jobs.JobStep,
        number: int,
        row: _pool.AgentRow,
        tasks: list[_jobs.Task],
        again: int,
    ) -> list[_jobs.Task]:
        """Return the tasks of a step that an endpoint takes now.

        :param again: how many of them may have failed before
        """
        if row.state.service != job.request.job_class.service:
            return []
        if step.label and step.label not in row.state.labels:
            return []
        left_s = row.state.remaining_s
        if left_s and job.expected_s * _timing.RUN_MARGIN > left_s:
            return []
        most = step.max_per_endpoint or len(tasks)
        room = _quarantine.usable_room(
            row, self._shares.get(row.name, 1.0), most
        )
        free = room.free
        most = room.tasks
        if row.slow:
            most = 1 if row.free == row.state.capacity else 0
        if step.max_per_endpoint:
            most -= sum(
                task.agent == row.name and task.state is not _WAITING
                for task in job.tasks[number]
            )
        chosen: list[_jobs.Task] = []
        for task in _allowed(row, tasks, again):
            if len(chosen) >= most or not step.need.fits_in(free):
                break
            chosen.append(task)
            free = free.minus(step.need)
        return chosen


def _allowed(
    row: _pool.AgentRow, tasks: list[_jobs.Task], again: int
) -> abc.Iterator[_jobs.Task]:
    """Yield the tasks that may go to an endpoint.

    :param row: the agent beside it
    :param tasks: those that wait
    :param again: how many of them may have failed before
    """
    for task in tasks:
        if row.name in task.avoided_agents:
            continue
        if task.failures:
            if not again:
                continue
            again -= 1
        yield task


def _has_waited(now: float, job: _jobs.Job) -> bool:
    """Return whether half of the time is over for which a job may wait."""
    return now > (job.arrived_at + job.start_by) / 2.0


def _is_in_use(row: _pool.AgentRow) -> bool:
    return row.free != row.state.capacity


def _smallest_cpu(job: _jobs.Job) -> int:
    return min(step.need.cpu_millis for step in job.request.steps)


def _with_room(
    rows: list[_pool.AgentRow], cpu_millis: int
) -> list[_pool.AgentRow]:
    """Return the rows that have at least so much of a processor free.

    One that has none at all is left out even for tasks that ask for none.
    """
    least = max(1, cpu_millis)
    return [row for row in rows if row.free.cpu_millis >= least]


def _forget_avoided(job: _jobs.Job, rows: list[_pool.AgentRow]) -> None:
    """Let tasks run anywhere again that have been everywhere already."""
    avoiding = [task for task in job.startable() if task.avoided_agents]
    if not avoiding:
        return
    names = {row.name for row in rows}
    for task in avoiding:
        if names and names <= task.avoided_agents:
            task.avoided_agents.clear()


def unfit_steps(
    pool: _pool.Pool, job: _jobs.Job
) -> abc.Iterator[_jobs.JobStep]:
    """Yield the steps of a job that no endpoint that is known could run."""
    service = job.request.job_class.service
    for step in job.request.steps:
        if not fits_somewhere(pool, step, service):
            yield step


def is_infeasible(pool: _pool.Pool, job: _jobs.Job) -> bool:
    """Return whether no endpoint that is known could run some step."""
    return next(unfit_steps(pool, job), None) is not None


def fits_somewhere(
    pool: _pool.Pool, step: _jobs.JobStep, service: str
) -> bool:
    """Return whether some endpoint that is known could run a task.

    An endpoint whose capacity is unknown speaks neither way, and one in a
    cordoned availability zone takes nothing.
    """
    nothing = wire.Resources()
    return any(
        row.state.service == service
        and not row.cordoned
        and row.state.capacity != nothing
        and fits(row, step)
        for row in pool
    )


def fits(row: _pool.AgentRow, step: _jobs.JobStep) -> bool:
    """Return whether an endpoint where nothing runs could run a task."""
    labelled = not step.label or step.label in row.state.labels
    return labelled and step.need.fits_in(row.state.capacity)
