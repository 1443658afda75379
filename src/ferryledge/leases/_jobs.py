"""Jobs as an entry holds them, with their classes, steps and tasks."""

import dataclasses
import enum
import math

import msgspec

from ferryledge.leases import _crashes
from ferryledge.leases import _forecast
from ferryledge import wire

#: Standard deviations below the expected size; one job in ten is smaller.
_LIKELY_DEVIATIONS = 1.28
#: Least objective in seconds; answer times are divided by it.
_MIN_OBJECTIVE_S = 1e-3


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Operators' settings for one queue of jobs."""

    name: str
    #: Service whose endpoints run the tasks.
    service: str
    #: Lower numbers go first; 0 is the highest priority.
    priority: int = 0
    #: Failed runs of one task after which the job fails.
    attempts: int = 1
    #: The objective is ``stretch`` times the longest task's run time, plus
    #: ``target_s``.
    stretch: float = 1.0
    #: Constant part of the objective, in seconds.
    target_s: float = 0.0
    #: How long an answer is useful, as a multiple of the objective. At 1 a job
    #: that would miss its objective is refused.
    late_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobStep:
    """A group of tasks of a job with the same requirements."""

    count: int
    need: wire.Resources
    #: Client's estimate of one task's run time in seconds; 0 if unknown.
    estimate_s: float = 0.0
    #: Numbers of the steps whose tasks must all be done first.
    depends_on: tuple[int, ...] = ()
    #: Label that an endpoint must have; empty for any endpoint.
    label: str = ""
    #: Most tasks of the step on one endpoint; 0 for no limit.
    max_per_endpoint: int = 0
    #: Label of the endpoints near the step's data; empty for none. Tasks take
    #: longer on other endpoints.
    near: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedJob:
    """A job as its client submitted it."""

    #: Name that the client gave the job, unique among jobs.
    job: str
    job_class: JobClass
    #: Specification of the tasks, passed to the endpoints as it is.
    spec: str
    steps: tuple[JobStep, ...]
    #: Seconds for which the client waits; 0 for no limit.
    deadline_s: float = 0.0


class TaskState(enum.Enum):
    """Progress of a task."""

    WAITING = "waiting"
    #: A run of the task is ordered and not known to be over.
    BOUND = "bound"
    DONE = "done"


class Task(msgspec.Struct):
    """A task of a job, with its latest run."""

    step: int
    index: int
    state: TaskState = TaskState.WAITING
    #: Number of the latest run; 0 before the first.
    run: int = 0
    #: Number of failed runs.
    failures: int = 0
    #: Crashes of endpoints while the task ran there.
    crashes: list[_crashes.Crash] = msgspec.field(default_factory=list)
    #: Agent that holds the run; empty if none does.
    agent: str = ""
    #: Agent that held the previous run; empty for none.
    previous_agent: str = ""
    ordered_at: float = 0.0
    #: Agents to avoid, since the task failed, crashed or was too slow there.
    avoided_agents: set[str] = msgspec.field(default_factory=set)
    #: Whether a stop of the run was requested.
    stopping: bool = False
    #: Times that the task was moved off a slow endpoint.
    moves: int = 0

    @property
    def task_run(self) -> wire.TaskRun:
        """Identifier of the latest run."""
        return wire.TaskRun(self.step, self.index, self.run)


class Job(msgspec.Struct):
    """A job that this entry holds, with the state of its tasks."""

    request: LeasedJob
    #: Open requests that wait for the answer.
    tokens: list[int]
    arrived_at: float
    #: Expected run time of the longest task at normal speed, in seconds.
    expected_s: float
    #: Tasks by step.
    tasks: list[list[Task]]
    #: Uncertainty of ``expected_s``: standard deviation of its logarithm.
    spread: float = 0.0
    #: When the first run was ordered, or the job was offered to another entry;
    #: ``None`` before that.
    dispatched_at: float | None = None
    #: Latest forecast before the first order; ``None`` if there was none, or
    #: if the job is refused where it would be late.
    forecast: _forecast.Forecast | None = None
    #: Whether the job was ever deferred behind all jobs that can be on time.
    was_deferred: bool = False
    #: Whether the client was refused before and retried at the time it was
    #: told.
    is_scheduled_retry: bool = False
    #: Whether the job was answered or all its clients disconnected.
    closed: bool = False
    #: Compressed spec; empty until first used.
    packed_spec: bytes = b""
    #: Whether another entry holds the job, or may hold it. Nothing is ordered
    #: here meanwhile.
    is_delegated: bool = False
    #: Whether other entries may still tell that they hold the job. Nothing is
    #: ordered meanwhile.
    is_registering: bool = False
    #: How long the client of the newest submission waited then, in seconds.
    newest_deadline_s: float = 0.0
    #: Whether another entry had an older submission of the job.
    may_have_run_elsewhere: bool = False
    #: Whether the job was received from another entry. It is not handed on
    #: again.
    is_incoming: bool = False
    #: Times that the job was offered to other entries.
    offers: int = 0
    #: Number of tasks in the state ``WAITING``, ready or not.
    waiting: int = 0

    def __post_init__(self) -> None:
        self.waiting = len(self.all_tasks)
        self.newest_deadline_s = self.request.deadline_s

    def set_state(self, task: Task, state: TaskState) -> None:
        """Change the state of a task and the count of waiting tasks."""
        self.waiting -= task.state is TaskState.WAITING
        self.waiting += state is TaskState.WAITING
        task.state = state

    @property
    def name(self) -> str:
        """Name that the client gave the job."""
        return self.request.job

    def pack_spec(self) -> bytes:
        """Return the compressed spec; it is compressed only once."""
        if not self.packed_spec:
            self.packed_spec = wire.pack_text(self.request.spec)
        return self.packed_spec

    @property
    def all_tasks(self) -> list[Task]:
        """Tasks of all steps."""
        return [task for step in self.tasks for task in step]

    @property
    def objective_s(self) -> float:
        """Seconds from arrival within which the job should be answered."""
        job_class = self.request.job_class
        objective_s = job_class.stretch * self.expected_s + job_class.target_s
        return max(_MIN_OBJECTIVE_S, objective_s)

    @property
    def objective_at(self) -> float:
        """End of the objective, in monotonic seconds."""
        return self.arrived_at + self.objective_s

    @property
    def useful_until(self) -> float:
        """Until when an answer is useful, in monotonic seconds."""
        late_s = self.request.job_class.late_factor * self.objective_s
        return min(self.arrived_at + late_s, self.deadline_at)

    @property
    def start_by(self) -> float:
        """Latest start that is likely to meet the objective.

        A smaller job has a shorter objective, and the true size is only
        estimated. So the bound assumes a size near the lower end of the
        likely range. A job that waited for as long as its expected size allows
        would be late half of the time.
        """
        job_class = self.request.job_class
        shortest_s = self.expected_s * math.exp(
            -_LIKELY_DEVIATIONS * self.spread
        )
        wait_s = (job_class.stretch - 1.0) * shortest_s + job_class.target_s
        return self.arrived_at + wait_s

    @property
    def may_be_late(self) -> bool:
        """Whether an answer after the objective is useful."""
        return self.request.job_class.late_factor > 1.0

    @property
    def serves_clients(self) -> bool:
        """Whether clients submitted the job here, not only another entry."""
        return not self.is_incoming or any(token > 0 for token in self.tokens)

    @property
    def serves_entry(self) -> bool:
        """Whether the job runs for the entry that handed it over."""
        return any(token < 0 for token in self.tokens)

    @property
    def is_deferred(self) -> bool:
        """Whether the job waits behind all jobs that can be on time."""
        if self.forecast is None:
            return False
        return self.forecast.prospect is not _forecast.Prospect.IN_TIME

    @property
    def demand(self) -> _forecast.Demand:
        """Input of a forecast for the job."""
        return _forecast.Demand(
            self.waiting_work(),
            self.expected_s,
            self.start_by,
            self.useful_until,
        )

    @property
    def is_dispatched(self) -> bool:
        """Whether a run was ordered, or another entry was offered the job."""
        return self.dispatched_at is not None

    def waiting_work(self) -> float:
        """Return the expected core-seconds of the waiting tasks."""
        tasks = sum(step.count for step in self.request.steps)
        return self.work * self.waiting / tasks

    @property
    def deadline_at(self) -> float:
        """When the client stops waiting, in monotonic seconds."""
        if not self.request.deadline_s:
            return float("inf")
        return self.arrived_at + self.request.deadline_s

    @property
    def work(self) -> float:
        """Expected core-seconds of all tasks."""
        return sum(
            step.count * step.need.cpu_millis / 1000.0 * self.expected_s
            for step in self.request.steps
        )

    def find(self, run: wire.TaskRun) -> Task | None:
        """Return the task whose latest run this is, or ``None``."""
        if not 0 <= run.step < len(self.tasks):
            return None
        step = self.tasks[run.step]
        if not 0 <= run.index < len(step):
            return None
        task = step[run.index]
        return task if task.run == run.run else None

    def bound(self) -> list[Task]:
        """Return the tasks that may be running."""
        return [t for t in self.all_tasks if t.state is TaskState.BOUND]

    def is_done(self, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(t.state is TaskState.DONE for t in self.tasks[step])

    def startable(self) -> list[Task]:
        """Return the waiting tasks whose required steps are done."""
        if self.is_delegated or self.is_registering or not self.waiting:
            return []
        ready: list[Task] = []
        for number, step in enumerate(self.request.steps):
            if all(self.is_done(earlier) for earlier in step.depends_on):
                ready += [
                    task
                    for task in self.tasks[number]
                    if task.state is TaskState.WAITING
                ]
        return ready


def make_tasks(request: LeasedJob) -> list[list[Task]]:
    """Return the tasks of a new job, by step."""
    return [
        [Task(number, index) for index in range(step.count)]
        for number, step in enumerate(request.steps)
    ]
