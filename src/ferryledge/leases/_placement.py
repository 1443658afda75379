"""Assigns waiting tasks to endpoints.

Endpoints are tried in order of preference: trusted before suspect ones, warm
before cold ones, those whose agents keep this entry up to date before others,
and fast before slow ones. Each entry breaks ties differently. The tasks of a
step go to endpoints near its data first. A slow endpoint gets one run at a
time, and a task does not return to an endpoint where it failed while there
are others.
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

#: Width of the steps to which slowness is rounded down for the order; smaller
#: differences are noise.
_SLOWNESS_STEP = 0.1
_WAITING = _jobs.TaskState.WAITING


class Placement(msgspec.Struct, frozen=True):
    """Tasks of one step of a job that go to one agent."""

    job: _jobs.Job
    step: int
    row: _pool.AgentRow
    tasks: tuple[_jobs.Task, ...]

    @property
    def work(self) -> float:
        """The expected run time of the tasks in core-seconds."""
        need = self.job.request.steps[self.step].need
        return self.job.expected_s * need.cpu_millis / 1e3 * len(self.tasks)


def _tie_break(name: str, row: _pool.AgentRow) -> int:
    """Return a pseudorandom rank, so that entries prefer other endpoints."""
    text = f"{name}|{row.name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=2).digest())


class Placer:
    """Chooses endpoints for waiting tasks.

    :param name: the name of this entry
    :param pool: the agents that this entry knows
    :param run_times: the learned run times and speeds
    :param remote_factor: factor by which a task takes longer on an endpoint
        that is not near its data
    :param ranking: the order of waiting jobs
    :param retry_budget: limits how many failed tasks are started again
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
        #: Shares of the capacity to use, for endpoints with repeated outages.
        self._usable_shares: dict[str, float] = {}
        self._ranks: dict[str, int] = {}

    def place(
        self,
        now: float,
        jobs: abc.Iterable[_jobs.Job],
        start_interval_s: float = 0.0,
    ) -> abc.Iterator[Placement]:
        """Yield placements.

        The caller orders each placement before it takes the next one, since
        the next one depends on the remaining capacity.

        :param now: monotonic seconds
        :param jobs: the jobs with waiting tasks
        :param start_interval_s: expected seconds between two starts of waiting
            tasks
        """
        waiting = self._job_ranking.sort(now, jobs, start_interval_s)
        if not waiting:
            return
        available_rows = [
            row
            for row in self._pool
            if row.usable(now) and (not row.slow or row.may_run_trial(now))
        ]
        if self._job_ranking.rules.damped_flaps:
            usable_shares = _quarantine.usable_shares(self._pool)
        else:
            usable_shares = {}
        min_cpu = min(_smallest_cpu(job) for job in waiting)
        rows = _with_free_cpu(available_rows, min_cpu)
        self._usable_shares = usable_shares
        rows.sort(key=self._order)
        for job in waiting:
            if not rows:
                return
            _reset_avoided(job, available_rows)
            placed = False
            # A job that has waited long may use these endpoints fully: late
            # for want of better capacity is no better than lost.
            self._usable_shares = (
                {} if _has_waited(now, job) else usable_shares
            )
            for chosen in self._place_job(now, job, rows):
                placed = True
                yield chosen
            if placed:
                rows = _with_free_cpu(rows, min_cpu)

    def _order(self, row: _pool.AgentRow) -> tuple[bool, bool, bool, int, int]:
        slowness = 0.0
        if self._job_ranking.rules.fast_first:
            learned = self._run_times.slowness(row.name)
            slowness = max(learned, row.state.slowness)
        rank = self._ranks.get(row.name)
        if rank is None:
            rank = self._ranks[row.name] = _tie_break(self._name, row)
        steps = int(slowness / _SLOWNESS_STEP)
        untrusted = row.is_suspect or row.name in self._usable_shares
        return (
            untrusted,
            row.state.cold,
            not row.state.is_primary,
            steps,
            rank,
        )

    def _place_job(
        self, now: float, job: _jobs.Job, rows: list[_pool.AgentRow]
    ) -> abc.Iterator[Placement]:
        by_step: dict[int, list[_jobs.Task]] = {}
        for task in job.startable():
            by_step.setdefault(task.step, []).append(task)
        for step_number, tasks in by_step.items():
            step = job.request.steps[step_number]
            candidates = self._by_nearness(now, job, step, rows)
            if any(task.crashes for task in tasks):
                # Prefer idle endpoints: if the task crashes another one, no
                # other run is lost, and the cause is unambiguous.
                candidates = sorted(candidates, key=_is_busy)
            if any(task.failures for task in tasks):
                suspect_zones = _quarantine.suspect_zones(self._pool)
                candidates = sorted(
                    candidates, key=lambda row: row.zone in suspect_zones
                )
            for row in candidates:
                if not tasks:
                    break
                max_retries = self._retries_left(now)
                chosen = self._choose(
                    job, step, step_number, row, tasks, max_retries
                )
                if chosen:
                    tasks = [other for other in tasks if other not in chosen]
                    yield Placement(job, step_number, row, tuple(chosen))

    def _retries_left(self, now: float) -> int:
        """Return how many failed tasks may be started again now."""
        if not self._job_ranking.rules.retry_budget:
            return sys.maxsize
        return self._retries.available(now)

    def _by_nearness(
        self,
        now: float,
        job: _jobs.Job,
        step: _jobs.JobStep,
        rows: list[_pool.AgentRow],
    ) -> list[_pool.AgentRow]:
        """Return the endpoints for a step, those near its data first.

        Other endpoints are left out while the job would miss its objective
        there but could still meet it near its data.
        """
        if not step.near:
            return rows
        near = [row for row in rows if step.near in row.state.labels]
        far = [row for row in rows if step.near not in row.state.labels]
        far_on_time = (
            now + job.expected_s * self._remote_factor < job.objective_at
        )
        if far_on_time or now > job.start_by:
            return near + far
        return near

    def _choose(
        self,
        job: _jobs.Job,
        step: _jobs.JobStep,
        step_number: int,
        row: _pool.AgentRow,
        tasks: list[_jobs.Task],
        max_retries: int,
    ) -> list[_jobs.Task]:
        """Return the tasks of a step that can start on an endpoint now.

        :param job: the job
        :param step: the step
        :param step_number: the number of the step
        :param row: the endpoint's agent
        :param tasks: the waiting tasks of the step
        :param max_retries: the most tasks to return that have failed before
        """
        if row.state.service != job.request.job_class.service:
            return []
        if step.label and step.label not in row.state.labels:
            return []
        left_s = row.state.remaining_s
        if left_s and job.expected_s * _timing.RUN_MARGIN > left_s:
            return []
        limit = step.max_per_endpoint or len(tasks)
        room = _quarantine.usable_room(
            row, self._usable_shares.get(row.name, 1.0), limit
        )
        free = room.free
        limit = room.tasks
        if row.slow:
            limit = 1 if row.free == row.state.capacity else 0
        if step.max_per_endpoint:
            limit -= sum(
                task.agent == row.name and task.state is not _WAITING
                for task in job.tasks[step_number]
            )
        chosen: list[_jobs.Task] = []
        for task in _allowed(row, tasks, max_retries):
            if len(chosen) >= limit or not step.need.fits_in(free):
                break
            chosen.append(task)
            free = free.minus(step.need)
        return chosen


def _allowed(
    row: _pool.AgentRow, tasks: list[_jobs.Task], max_retries: int
) -> abc.Iterator[_jobs.Task]:
    """Yield the tasks that may start on an endpoint.

    :param row: the endpoint's agent
    :param tasks: the waiting tasks
    :param max_retries: the most tasks to yield that have failed before
    """
    for task in tasks:
        if row.name in task.avoided_agents:
            continue
        if task.failures:
            if not max_retries:
                continue
            max_retries -= 1
        yield task


def _has_waited(now: float, job: _jobs.Job) -> bool:
    """Return whether a job waited for half of the time that it may wait."""
    return now > (job.arrived_at + job.start_by) / 2.0


def _is_busy(row: _pool.AgentRow) -> bool:
    return row.free != row.state.capacity


def _smallest_cpu(job: _jobs.Job) -> int:
    return min(step.need.cpu_millis for step in job.request.steps)


def _with_free_cpu(
    rows: list[_pool.AgentRow], cpu_millis: int
) -> list[_pool.AgentRow]:
    """Return the agents with at least this much free processor time.

    An agent without any is left out even if the tasks need none.
    """
    min_cpu = max(1, cpu_millis)
    return [row for row in rows if row.free.cpu_millis >= min_cpu]


def _reset_avoided(job: _jobs.Job, rows: list[_pool.AgentRow]) -> None:
    """Clear the avoided agents of tasks that avoid all of them."""
    avoiding = [task for task in job.startable() if task.avoided_agents]
    if not avoiding:
        return
    names = {row.name for row in rows}
    for task in avoiding:
        if names and names <= task.avoided_agents:
            task.avoided_agents.clear()


def infeasible_steps(
    pool: _pool.Pool, job: _jobs.Job
) -> abc.Iterator[_jobs.JobStep]:
    """Yield the steps of a job that no known endpoint could ever run."""
    service = job.request.job_class.service
    for step in job.request.steps:
        if not is_feasible(pool, step, service):
            yield step


def is_infeasible(pool: _pool.Pool, job: _jobs.Job) -> bool:
    """Return whether some step of a job fits no known endpoint."""
    return next(infeasible_steps(pool, job), None) is not None


def is_feasible(pool: _pool.Pool, step: _jobs.JobStep, service: str) -> bool:
    """Return whether a known endpoint could run a task of a step.

    Endpoints of unknown capacity or in a cordoned availability zone do not
    count.
    """
    unknown = wire.Resources()
    return any(
        row.state.service == service
        and not row.cordoned
        and row.state.capacity != unknown
        and could_run(row, step)
        for row in pool
    )


def could_run(row: _pool.AgentRow, step: _jobs.JobStep) -> bool:
    """Return whether a task of a step could run on an idle endpoint."""
    has_label = not step.label or step.label in row.state.labels
    return has_label and step.need.fits_in(row.state.capacity)
