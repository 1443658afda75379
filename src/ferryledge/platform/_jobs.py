"""Decoding of the clients' jobs and encoding of the responses."""

import dataclasses
import math
import re

import msgspec

from ferryledge import decoding
from ferryledge import leases
from ferryledge import net
from ferryledge import outcomes
from ferryledge import wire

#: Maximum length of a ``Spec`` on the platform, in bytes.
MAX_SPEC_BYTES = 4000
#: Maximum number of tasks in a job.
MAX_TASKS = 810
#: Greatest estimate of a task's run time that is used, in seconds.
_MAX_ESTIMATE_S = 1e6
#: Longest wait of a client that is used as a deadline, in seconds. Names of
#: jobs are kept until then, so that a longer one counts as unknown.
_MAX_WAIT_S = 86_400.0
#: Maximum length of the client's name for a job, in characters. Messages
#: between processes repeat it.
MAX_NAME_CHARS = decoding.MAX_LABEL_CHARS
#: The client's name for a job, at the end of a path.
_JOB_NAME = re.compile("[0-9a-fA-F]{16}$")


class JobError(Exception):
    """A job that can't be run as described.

    :param field: the field that is invalid or not supported
    :param message: the reason
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f"{field}: {message}")
        #: The field that is invalid or not supported.
        self.field = field


class MalformedJobError(JobError):
    """The body is not a valid job."""


class UnsupportedJobError(JobError):
    """The job uses an option that is not supported yet."""


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
    #: The job isn't stored; the request is answered when the job has ended.
    best_effort: bool = False
    repeat_count: int = 0
    long_running: bool = False
    gang: bool = False
    speculative: bool = False


#: Options that change how a task must run, so they can't be ignored.
_UNSUPPORTED_STEP = ("gang", "speculative", "long_running", "fills")
_UNSUPPORTED_JOB = ("gang", "speculative", "long_running", "repeat_count")


def parse_job(
    name: str, body: bytes, job_class: leases.JobClass, deadline_s: float
) -> leases.LeasedJob:
    """Decode a job.

    ``RackLocal`` and ``SavesProgress`` are ignored, since they only affect
    how fast a task runs.

    :param name: the client's name for the job
    :param body: the request's body
    :param job_class: the job class of the route
    :param deadline_s: seconds that the client waits; 0 is unknown
    :raises MalformedJobError: if the body is not a valid job
    :raises UnsupportedJobError: if the job uses an unsupported option
    """
    try:
        decoded = decoding.decode_json(body, _Body)
    except decoding.DecodingError as exc:
        raise MalformedJobError("body", str(exc)) from exc
    _check_job(decoded)
    steps = tuple(_job_step(step) for step in decoded.steps)
    return leases.LeasedJob(name, job_class, decoded.spec, steps, deadline_s)


def parse_deadline(value: str) -> float:
    """Return the seconds that a client waits; 0 is unknown.

    :param value: the header's value in ms; may be empty
    :raises MalformedJobError: if the value is not a finite number
    """
    if not value:
        return 0.0
    try:
        deadline_s = float(value) / 1000.0
    except ValueError as exc:
        raise MalformedJobError("Deadline-Ms", f"{value!r}: {exc}") from exc
    if not math.isfinite(deadline_s):
        raise MalformedJobError("Deadline-Ms", "must be a finite number")
    return max(0.0, deadline_s) if deadline_s <= _MAX_WAIT_S else 0.0


def find_job_name(path: str) -> str:
    """Return the name of the job at the end of a path; empty if none.

    It is found without the route, which may have been removed.
    """
    found = _JOB_NAME.search(path)
    return found.group() if found else ""


def _check_job(body: _Body) -> None:
    if not body.best_effort:
        raise UnsupportedJobError(
            "BestEffort", "stored jobs are not supported"
        )
    for field in _UNSUPPORTED_JOB:
        if getattr(body, field):
            raise UnsupportedJobError(field, "not supported")
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise MalformedJobError("Spec", f"at most {MAX_SPEC_BYTES} bytes")
    if not body.steps:
        raise MalformedJobError("Steps", "at least one step is required")
    if sum(step.count for step in body.steps) > MAX_TASKS:
        raise UnsupportedJobError("Count", f"at most {MAX_TASKS} tasks")
    for number, step in enumerate(body.steps):
        _check_step(number, step)


def _check_step(number: int, step: _Step) -> None:
    for field in _UNSUPPORTED_STEP:
        if getattr(step, field):
            raise UnsupportedJobError(field, "not supported")
    _check_amounts(step)
    if step.count < 1:
        raise MalformedJobError("Count", "at least one task is required")
    if any(not 0 <= earlier < number for earlier in step.depends_on):
        raise MalformedJobError("DependsOn", "must name earlier steps only")


def _check_amounts(step: _Step) -> None:
    if min(step.cpu, step.mem_mb, step.gpu) < 0:
        raise MalformedJobError("Cpu, MemMb, Gpu", "must not be negative")
    if not _need(step).is_bounded:
        raise UnsupportedJobError(
            "Cpu, MemMb, Gpu",
            f"no endpoint has more than {decoding.MAX_INTEGER}",
        )
    if len(step.requires) > decoding.MAX_LABEL_CHARS:
        raise UnsupportedJobError(
            "Requires",
            "no endpoint has a label of more than "
            f"{decoding.MAX_LABEL_CHARS} characters",
        )
    if step.anti_affinity < 0:
        raise MalformedJobError("AntiAffinity", "must not be negative")
    if step.estimate_ms < 0:
        raise MalformedJobError("EstimateMs", "must not be negative")


def _need(step: _Step) -> wire.Resources:
    return wire.Resources(step.cpu, step.mem_mb, step.gpu)


def _job_step(step: _Step) -> leases.JobStep:
    # No endpoint has a longer label, so none is near the data.
    is_label = len(step.affinity) <= decoding.MAX_LABEL_CHARS
    return leases.JobStep(
        step.count,
        _need(step),
        min(step.estimate_ms / 1000.0, _MAX_ESTIMATE_S),
        tuple(sorted(set(step.depends_on))),
        step.requires,
        min(step.anti_affinity, MAX_TASKS),
        step.affinity if is_label else "",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _JobState:
    """The body of a response with a job's state."""

    state: str

    def response(self, status: int = 200) -> net.HttpResponse:
        return net.HttpResponse.json(status, {"State": self.state})


def render_outcome(outcome: outcomes.JobOutcome) -> net.HttpResponse:
    """Return the response to a client whose job has ended.

    A 503 means that the job didn't run and never will. A 504 means that the
    job may have run in part; the client may submit it again.
    """
    match outcome:
        case outcomes.Complete():
            return _JobState("succeeded").response()
        case outcomes.FailedMayHaveRun(outcomes.Reason.TASK_FAILED):
            return _JobState("failed").response()
        case outcomes.FailedMayHaveRun(outcomes.Reason.CANCELLED):
            return _JobState("canceled").response()
        case outcomes.Refused(reason, _, retry_after_s, detail):
            return render_refusal(reason, retry_after_s, detail)
        case outcomes.FailedNotRun(reason, _, retry_after_s, detail):
            return render_refusal(reason, retry_after_s, detail)
        case outcomes.FailedMayHaveRun(reason, _, detail):
            content = {"error": str(reason), "detail": detail, "ran": "maybe"}
            return net.HttpResponse.json(504, content)
    return net.HttpResponse.json(500, {"error": outcomes.tag_of(outcome)})


def render_refusal(
    reason: str, retry_after_s: float, detail: str = ""
) -> net.HttpResponse:
    """Return a response for a job that didn't run and never will.

    :param reason: why the job was refused
    :param retry_after_s: seconds after which the client may retry; 0 omits
        the ``retry-after`` header
    :param detail: further explanation
    """
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_s > 0:
        seconds = max(1, round(retry_after_s))
        headers = (("retry-after", str(seconds)),)
    content = {"error": str(reason), "detail": detail, "ran": "no"}
    return net.HttpResponse.json(503, content, headers)


def render_absent() -> net.HttpResponse:
    """Return the response for a job that does not exist."""
    return net.HttpResponse.json(410, {"error": "no such job"})


def render_unconfirmed(retry_after_s: float) -> net.HttpResponse:
    """Return the response if it is not known whether a job exists.

    :param retry_after_s: seconds after which the client may ask again
    """
    headers = (("retry-after", str(max(1, round(retry_after_s)))),)
    content = {
        "error": "unconfirmed",
        "detail": "an entry that may hold the job has not answered",
    }
    return net.HttpResponse.json(503, content, headers)


def render_running() -> net.HttpResponse:
    """Return the response for a job that has not ended."""
    return _JobState("running").response()


def render_pending(count: int) -> net.HttpResponse:
    """Return the response with the number of a queue's waiting jobs."""
    return net.HttpResponse.json(200, {"Pending": count})
