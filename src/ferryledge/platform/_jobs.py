"""Jobs as clients send them, and the answers that clients read."""

import dataclasses

import msgspec

from ferryledge import leases
from ferryledge import net
from ferryledge import outcomes
from ferryledge import wire

#: Longest ``Spec`` that the platform allows, in bytes.
MAX_SPEC_BYTES = 4000
#: Most tasks in one job; the product's bound.
MAX_TASKS = 810


class JobError(Exception):
    """A job that can't be run as it is described.

    :param field: the field that is wrong or not supported
    :param message: what is the matter with it
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f"{field}: {message}")
        #: The field that is wrong or not supported.
        self.field = field


class MalformedJobError(JobError):
    """The body is no job."""


class UnsupportedJobError(JobError):
    """The job asks for something that this system does not do yet."""


class _Step(msgspec.Struct, frozen=True, rename="pascal"):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    depends_on: tuple[int, ...] = ()
    requires: str = ""
    anti_affinity: int = 0
    affinity: str = ""
    rack_local: bool = False
    gang: bool = False
    speculative: bool = False
    saves_progress: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: float = 0
    may_miss: int = 0


class _Body(msgspec.Struct, frozen=True, rename="pascal"):
    spec: str
    steps: tuple[_Step, ...]
    #: Nothing is kept of it: the answer comes once it has ended.
    best_effort: bool = False
    repeat_count: int = 0
    long_running: bool = False
    gang: bool = False
    speculative: bool = False


#: Wishes that change how a task must run; to pass over them would be wrong.
_UNSUPPORTED_STEP = ("gang", "speculative", "long_running", "fills")
_UNSUPPORTED_JOB = ("gang", "speculative", "long_running", "repeat_count")


def parse_job(
    name: str, body: bytes, job_class: leases.JobClass, deadline_s: float
) -> leases.LeasedJob:
    """Return the job that a body describes.

    ``RackLocal`` and ``SavesProgress`` speed a task up and are passed over.

    :param name: the client's name for the job
    :param body: the request's body
    :param job_class: from the route
    :param deadline_s: seconds for which the client waits; 0 is unknown
    :raises MalformedJobError: if the body is no job
    :raises UnsupportedJobError: if it can't be run as described
    """
    try:
        plain = msgspec.json.decode(body, type=_Body)
    except msgspec.DecodeError as exc:
        raise MalformedJobError("body", str(exc)) from exc
    _check(plain)
    steps = tuple(_step(step) for step in plain.steps)
    return leases.LeasedJob(name, job_class, plain.spec, steps, deadline_s)


def parse_deadline(text: str) -> float:
    """Return the seconds for which a client waits; 0 is unknown.

    :param text: the header's value in ms, or an empty text
    :raises MalformedJobError: if it is no number
    """
    if not text:
        return 0.0
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError as exc:
        raise MalformedJobError("Deadline-Ms", f"{text!r}: {exc}") from exc


def _check(body: _Body) -> None:
    if not body.best_effort:
        raise UnsupportedJobError("BestEffort", "kept jobs are not taken")
    for field in _UNSUPPORTED_JOB:
        if getattr(body, field):
            raise UnsupportedJobError(field, "not supported")
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise MalformedJobError("Spec", f"at most {MAX_SPEC_BYTES} bytes")
    if not body.steps:
        raise MalformedJobError("Steps", "at least one is needed")
    if sum(step.count for step in body.steps) > MAX_TASKS:
        raise UnsupportedJobError("Count", f"at most {MAX_TASKS} tasks")
    for number, step in enumerate(body.steps):
        _check_step(number, step)


def _check_step(number: int, step: _Step) -> None:
    for field in _UNSUPPORTED_STEP:
        if getattr(step, field):
            raise UnsupportedJobError(field, "not supported")
    if min(step.cpu, step.mem_mb, step.gpu) < 0:
        raise MalformedJobError("Cpu, MemMb, Gpu", "may not be negative")
    if step.count < 1:
        raise MalformedJobError("Count", "at least one task is needed")
    if any(not 0 <= one < number for one in step.depends_on):
        raise MalformedJobError("DependsOn", "names no earlier step")


def _step(step: _Step) -> leases.JobStep:
    return leases.JobStep(
        step.count,
        wire.Resources(step.cpu, step.mem_mb, step.gpu),
        step.estimate_ms / 1000.0,
        step.depends_on,
        step.requires,
        step.anti_affinity,
        step.affinity,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    """The body that tells a job's state."""

    word: str

    def response(self, status: int = 200) -> net.HttpResponse:
        return net.HttpResponse.json(status, {"State": self.word})


def render_outcome(outcome: outcomes.JobOutcome) -> net.HttpResponse:
    """Return the response that ends a client's wait.

    A refusal says that the job never runs. A job that ran in part and could
    not be ended is a 504: the client may send it again.
    """
    match outcome:
        case outcomes.Complete():
            return _State("succeeded").response()
        case outcomes.FailedMayHaveRun(outcomes.Reason.TASK_FAILED):
            return _State("failed").response()
        case outcomes.Refused(reason, _, retry_after_s, detail):
            return refusal(reason, retry_after_s, detail)
        case outcomes.FailedNotRun(reason, _, retry_after_s, detail):
            return refusal(reason, retry_after_s, detail)
        case outcomes.FailedMayHaveRun(reason, _, detail):
            text = {"error": str(reason), "detail": detail, "ran": "maybe"}
            return net.HttpResponse.json(504, text)
    return net.HttpResponse.json(500, {"error": outcomes.tag_of(outcome)})


def refusal(
    reason: str, retry_after_s: float, detail: str = ""
) -> net.HttpResponse:
    """Return a response that says: not run, and when to come back."""
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_s > 0:
        seconds = max(1, round(retry_after_s))
        headers = (("retry-after", str(seconds)),)
    text = {"error": str(reason), "detail": detail, "ran": "no"}
    return net.HttpResponse.json(503, text, headers)


def render_running() -> net.HttpResponse:
    """Return the state of a job that is held here."""
    return _State("running").response()


def render_pending(count: int) -> net.HttpResponse:
    """Return how many of a queue's jobs have not begun."""
    return net.HttpResponse.json(200, {"Pending": count})
