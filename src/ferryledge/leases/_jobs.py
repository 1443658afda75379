"""The jobs that an entry holds, with their tasks and runs."""

import dataclasses
import enum
import math

import msgspec

from ferryledge.leases import _crashes
from ferryledge.leases import _forecast
from ferryledge import wire

#: A job is smaller than expected by this many deviations one time in ten.
_LIKELY_DEVIATIONS = 1.28


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """How the operators want one kind of job to be treated."""

    name: str
    #: The service whose endpoints run its tasks.
    service: str
    #: 0 comes first.
    priority: int = 0
    #: Runs of one task that may end as failed before the job fails.
    attempts: int = 1
    #: The objective is this many times the job's longest task ...
    stretch: float = 1.0
    #: ... and this many seconds.
    target_s: float = 0.0
    #: An answer is useful for this many times the objective. 1 is not beyond
    #: it: what would be late is refused.
    late_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobStep:
    """Tasks of a job that are alike."""

    count: int
    need: wire.Resources
    #: The client's rough guess of one task's run time; 0 is none.
    estimate_s: float = 0.0
    #: Earlier steps, all of whose tasks must be done first.
    depends_on: tuple[int, ...] = ()
    #: A label that the endpoint must have; empty is any endpoint.
    label: str = ""
    #: Most tasks of the step on one endpoint; 0 is no bound.
    max_per_endpoint: int = 0
    #: A label of the endpoints near the step's data; empty is none. On
    #: others a task takes longer.
    near: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedJob:
    """A job as a client hands it in."""

    #: The client's name for it, unique among jobs.
    job: str
    job_class: JobClass
    #: What the endpoints are to run.
    spec: str
    steps: tuple[JobStep, ...]
    #: Seconds for which the client waits; 0 is for ever.
    deadline_s: float = 0.0


class TaskState(enum.Enum):
    """How far a task is."""

    WAITING = "waiting"
    #: One run of it is ordered and not known to be over.
    BOUND = "bound"
    DONE = "done"


class Task(msgspec.Struct):
    """One task of a job."""

    step: int
    index: int
    state: TaskState = TaskState.WAITING
    #: Number of its last run.
    run: int = 0
    #: Runs that ended as failed.
    failures: int = 0
    #: Endpoints that crashed while it ran there.
    crashes: list[_crashes.Crash] = msgspec.field(default_factory=list)
    #: The agent that holds its run; empty if none does.
    agent: str = ""
    ordered_at: float = 0.0
    #: Agents that failed or were too slow for it.
    avoided_agents: set[str] = msgspec.field(default_factory=set)
    #: Whether its run was told to stop.
    stopping: bool = False
    #: Times that it was moved for being too slow.
    moves: int = 0

    @property
    def task_run(self) -> wire.TaskRun:
        """Its last run."""
        return wire.TaskRun(self.step, self.index, self.run)


class Job(msgspec.Struct):
    """A job that this entry holds."""

    request: LeasedJob
    tokens: list[int]
    arrived_at: float
    #: Expected run time of its longest task at normal speed, in seconds.
    expected_s: float
    tasks: list[list[Task]]
    #: By how much that may be off: the deviation of its logarithm.
    spread: float = 0.0
    #: When its first run was ordered; none yet if nothing was.
    dispatched_at: float | None = None
    #: What was forecast of it last, while nothing was ordered for it; none
    #: if it was not looked at, or is refused where it would be late.
    forecast: _forecast.Forecast | None = None
    #: Whether it was ever put behind all that can be in time.
    was_deferred: bool = False
    #: Whether its client was refused and comes back at the time it was told.
    is_scheduled_retry: bool = False
    #: Whether it was answered, or nobody waits for it any more.
    closed: bool = False
    #: Its spec, packed; empty until that is needed.
    packed_spec: bytes = b""
    #: Whether another entry has it, or may have it: nothing is ordered here.
    is_delegated: bool = False
    #: Whether it belongs to another entry; it is handed on no further.
    is_incoming: bool = False
    #: Times that it was offered to other entries.
    offers: int = 0
    #: Tasks in the state of waiting, whether their turn has come or not.
    waiting: int = 0

    def __post_init__(self) -> None:
        self.waiting = len(self.all_tasks)

    def set_state(self, task: Task, state: TaskState) -> None:
        """Change the state of one of its tasks."""
        self.waiting -= task.state is TaskState.WAITING
        self.waiting += state is TaskState.WAITING
        task.state = state

    @property
    def name(self) -> str:
        """The client's name for it."""
        return self.request.job

    def pack_spec(self) -> bytes:
        """Return its spec, packed once for all orders."""
        if not self.packed_spec:
            self.packed_spec = wire.pack_text(self.request.spec)
        return self.packed_spec

    @property
    def all_tasks(self) -> list[Task]:
        """Its tasks over all steps."""
        return [task for step in self.tasks for task in step]

    @property
    def objective_s(self) -> float:
        """Seconds within which it should be answered."""
        job_class = self.request.job_class
        return job_class.stretch * self.expected_s + job_class.target_s

    @property
    def objective_at(self) -> float:
        """When it should be answered, in monotonic seconds."""
        return self.arrived_at + self.objective_s

    @property
    def useful_until(self) -> float:
        """Until when an answer is of use to the client, monotonic seconds."""
        late_s = self.request.job_class.late_factor * self.objective_s
        return min(self.arrived_at + late_s, self.deadline_at)

    @property
    def start_by(self) -> float:
        """The latest start that is likely to meet the objective.

        Objective and run time grow together with the true size of the
        tasks, which is known by a guess only: the smaller the job really
        is, the less it may wait. One that waited for the whole of what its
        expected size allows would be late half of the time.
        """
        job_class = self.request.job_class
        least_s = self.expected_s * math.exp(-_LIKELY_DEVIATIONS * self.spread)
        wait_s = (job_class.stretch - 1.0) * least_s + job_class.target_s
        return self.arrived_at + wait_s

    @property
    def may_be_late(self) -> bool:
        """Whether an answer beyond the objective is of use."""
        return self.request.job_class.late_factor > 1.0

    @property
    def is_deferred(self) -> bool:
        """Whether it waits behind all jobs that can be in time."""
        if self.forecast is None:
            return False
        return self.forecast.prospect is not _forecast.Prospect.IN_TIME

    @property
    def demand(self) -> _forecast.Demand:
        """What a forecast has to know of it."""
        return _forecast.Demand(
            self.waiting_work(),
            self.expected_s,
            self.start_by,
            self.useful_until,
        )

    @property
    def is_dispatched(self) -> bool:
        """Whether a run of it was ordered."""
        return self.dispatched_at is not None

    def waiting_work(self) -> float:
        """Return the core-seconds that its waiting tasks are to take."""
        tasks = sum(step.count for step in self.request.steps)
        return self.work * self.waiting / tasks

    @property
    def deadline_at(self) -> float:
        """When the client stops waiting."""
        if not self.request.deadline_s:
            return float("inf")
        return self.arrived_at + self.request.deadline_s

    @property
    def work(self) -> float:
        """Core-seconds that its tasks are expected to take."""
        return sum(
            step.count * step.need.cpu_millis / 1000.0 * self.expected_s
            for step in self.request.steps
        )

    def find(self, run: wire.TaskRun) -> Task | None:
        """Return the task of its last run, or none."""
        if run.step >= len(self.tasks):
            return None
        step = self.tasks[run.step]
        if run.index >= len(step) or step[run.index].run != run.run:
            return None
        return step[run.index]

    def bound(self) -> list[Task]:
        """Return the tasks that may be running."""
        return [t for t in self.all_tasks if t.state is TaskState.BOUND]

    def is_done(self, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(t.state is TaskState.DONE for t in self.tasks[step])

    def startable(self) -> list[Task]:
        """Return the waiting tasks whose earlier steps are done."""
        if self.is_delegated or not self.waiting:
            return []
        ready: list[Task] = []
        for number, step in enumerate(self.request.steps):
            if all(self.is_done(one) for one in step.depends_on):
                ready += [
                    task
                    for task in self.tasks[number]
                    if task.state is TaskState.WAITING
                ]
        return ready


def make_tasks(request: LeasedJob) -> list[list[Task]]:
    """Return a new job's tasks, by step."""
    return [
        [Task(number, index) for index in range(step.count)]
        for number, step in enumerate(request.steps)
    ]
