"""The messages that entries and agents exchange.

Each message is a validated model: the decoder checks every field's type.
On the wire a message is an array that begins with its tag; new fields go
to the end with a default, so that old and new versions understand each
other.
"""

import enum

import msgspec


class Role(enum.StrEnum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"


def process_key(name: str, incarnation: str) -> str:
    """Return the text that names one incarnation of a process."""
    return f"{name}/{incarnation}"


class Model(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages: immutable and encoded as an array."""


class Hello(Model, frozen=True, tag="hello"):
    """The first message on a stream, from both sides."""

    role: Role
    name: str
    #: Differs each time the process starts.
    incarnation: str
    zone: str
    #: Tasks the endpoint can run at once; 0 for an entry.
    slots: int = 0
    #: Connections the endpoint accepts; 0 for an entry.
    connections: int = 0
    #: Memory for tasks in MB; 0 is unknown.
    memory_mb: int = 0
    leaving: bool = False
    config_version: int = 0
    #: Whether the sender takes packed texts.
    packed_texts: bool = False
    #: Whether the sender takes word of cordoned zones.
    cordons: bool = False
    #: Whether the sender takes differences between configurations.
    config_deltas: bool = False
    #: Whether the sender reads configurations for others: its link is wide.
    reads_configs: bool = False
    #: Whether the sender takes jobs that other entries hand on.
    takes_jobs: bool = False


class KeepAlive(Model, frozen=True, tag="alive"):
    """Says on an idle stream that the sender still runs."""

    config_version: int = 0
    #: Tasks that wait in the sender's queue.
    waiting: int = 0
    #: Share of the sender's slots in use, from 0 to 1.
    load: float = 0.0


class Leaving(Model, frozen=True, tag="leaving"):
    """The sender takes no new work from now on."""


class StartTasks(Model, frozen=True, tag="start"):
    """Tasks of one job, to be started at once or released."""

    #: Incarnation of the agent that may start them.
    incarnation: str
    submission: str
    service: str
    #: Seconds after which the agent ends a task's call.
    timeout_s: float
    #: Sequence number of the first task; the others follow it.
    first_seq: int
    indices: tuple[int, ...]
    payloads: tuple[bytes, ...]
    #: Report each result alone instead of all together.
    report_each: bool = True
    #: Expected memory of one task in MB.
    memory_mb: int = 0
    #: The client's name for the job, for journals and logs.
    label: str = ""
    #: The ticket that these tasks use, if the agent is its arbiter.
    ticket: str = ""


class FinishedTask(Model, frozen=True):
    """One task's end."""

    seq: int
    index: int
    ok: bool
    #: The result as JSON text, or the reason of the failure.
    body: bytes
    #: Seconds that the task ran.
    run_s: float


class TasksFinished(Model, frozen=True, tag="done"):
    """Ends of tasks of one job."""

    submission: str
    tasks: tuple[FinishedTask, ...]
    #: Slots in use at the sender.
    busy: int = 0


class ReleaseReason(enum.StrEnum):
    """Why an agent did not start a task."""

    BUSY = "busy"
    CANCELLED = "cancelled"
    FENCED = "fenced"
    INCARNATION = "incarnation"
    LEAVING = "leaving"
    MALFORMED = "malformed"
    STALE = "stale"
    TICKET = "ticket"
    UNREACHABLE = "unreachable"
    UNSEEN = "unseen"


class TasksReleased(Model, frozen=True, tag="released"):
    """These tasks have not started at the sender and never will."""

    submission: str
    seqs: tuple[int, ...]
    reason: ReleaseReason
    #: Slots in use at the sender.
    busy: int = 0


class ReportNow(Model, frozen=True, tag="report"):
    """Report finished tasks at once from now on."""


class CancelTasks(Model, frozen=True, tag="cancel"):
    """End these tasks; those that have not started never will."""

    submission: str
    seqs: tuple[int, ...]


class FrontTask(Model, frozen=True):
    """One task of a job on its way to the scheduler."""

    payload: bytes
    #: Run time that the client declared, in seconds; 0 is unknown.
    declared_s: float = 0.0


class PlaceJob(Model, frozen=True, tag="place"):
    """A job for the scheduler of a pool."""

    submission: str
    workspace: str
    service: str
    tasks: tuple[FrontTask, ...]
    #: Seconds left until the caller no longer needs it; 0 is none.
    deadline_s: float = 0.0
    #: Weight of the job's urgency; larger goes earlier.
    urgency: float = 1.0
    places: tuple[str, ...] = ()
    ticket: str = ""
    label: str = ""
    repeatable: bool = True


class OutcomeRecord(Model, frozen=True):
    """An outcome in the form in which it travels."""

    tag: str
    results: tuple[bytes, ...] = ()
    reason: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float = 0.0
    detail: str = ""
    #: The tags of the job's tasks, in order.
    task_tags: tuple[str, ...] = ()


class JobAnswered(Model, frozen=True, tag="answer"):
    """The whole answer to a job, from the scheduler to the front."""

    submission: str
    outcome: OutcomeRecord
    #: Tasks that wait in the scheduler's queue.
    waiting: int = 0
    #: Share of the scheduler's slots in use, from 0 to 1.
    load: float = 0.0


class AgentSet(Model, frozen=True, tag="agents"):
    """The agents that the scheduler may use for the sender's jobs.

    The sender can reach them, so that it can take its jobs back should
    the scheduler be lost.
    """

    #: Names and incarnations, as :func:`process_key` joins them.
    agents: tuple[str, ...]


class CancelJob(Model, frozen=True, tag="cancel-job"):
    """The front no longer wants the job."""

    submission: str


class AbandonJobs(Model, frozen=True, tag="abandon"):
    """The sender has given up its jobs here; their answers are unwanted.

    It comes before any later :class:`AgentSet`, which must not apply to
    jobs that the sender has taken back.
    """

    #: Number of the last submission that is given up.
    through: int


class CancelRequest(Model, frozen=True, tag="cancel-request"):
    """A client's cancellation that reached another entry."""

    workspace: str
    request_id: str


class Reconcile(Model, frozen=True, tag="reconcile"):
    """After a broken stream: say what became of these tasks.

    Those that never arrived are released, the finished are reported
    again, and the running are reported when they end.
    """

    seqs: tuple[int, ...]
    submissions: tuple[str, ...]


class FenceOwner(Model, frozen=True, tag="fence"):
    """Refuse the lost scheduler's tasks of these submissions."""

    #: Incarnation of the lost scheduler.
    owner: str
    #: Number of the sender's last submission so far.
    through: int
    submissions: tuple[str, ...]


class FencedJob(Model, frozen=True):
    """The tasks of one fenced submission that started at the sender."""

    submission: str
    finished: tuple[FinishedTask, ...] = ()
    #: Indices of the tasks that still run.
    running: tuple[int, ...] = ()
    #: Indices of tasks once reported as running that never started.
    unstarted: tuple[int, ...] = ()


class FenceReport(Model, frozen=True, tag="fenced"):
    """What the sender knows of the fenced submissions.

    A task that is not listed has not started here and never will. Tasks
    that still ran are reported again when they end.
    """

    owner: str
    jobs: tuple[FencedJob, ...] = ()
    #: Whether this answers a fence, so that it covers all its submissions.
    first: bool = True
    #: Number of the last submission of the fence that it answers.
    through: int = -1


class AskTickets(Model, frozen=True, tag="ask-tickets"):
    """Ask an agent to mint tickets."""

    count: int


class Tickets(Model, frozen=True, tag="tickets"):
    """Freshly minted tickets."""

    tickets: tuple[str, ...]


class Authorise(Model, frozen=True, tag="authorise"):
    """Ask the minting agent to let a submission use a ticket."""

    ticket: str
    submission: str
    #: Digest of the request, so that a ticket serves one request.
    digest: str = ""


class VerdictTag(enum.StrEnum):
    """The agent's word on a ticket."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    SETTLED = "settled"
    LOST = "lost"
    MISMATCH = "mismatch"


class Verdict(Model, frozen=True, tag="verdict"):
    """The minting agent's answer to :class:`Authorise`."""

    ticket: str
    submission: str
    verdict: VerdictTag
    #: The first submission's answer, if settled.
    outcome: OutcomeRecord | None = None


class Settle(Model, frozen=True, tag="settle"):
    """The answer to keep under a ticket until its life ends."""

    ticket: str
    submission: str
    outcome: OutcomeRecord


class ConfigRequest(Model, frozen=True, tag="config-request"):
    """Ask a peer for its configuration."""

    #: Digest of the sender's; empty asks for the whole.
    digest: bytes = b""
    #: Whether the sender wants each newer one as well, unasked.
    follow: bool = False


class ConfigReply(Model, frozen=True, tag="config"):
    """A peer's configuration as JSON text with its position."""

    version: int
    snapshot: bytes


Message = (
    Hello
    | KeepAlive
    | Leaving
    | StartTasks
    | TasksFinished
    | TasksReleased
    | ReportNow
    | CancelTasks
    | PlaceJob
    | JobAnswered
    | AbandonJobs
    | AgentSet
    | CancelJob
    | CancelRequest
    | Reconcile
    | FenceOwner
    | FenceReport
    | AskTickets
    | Tickets
    | Authorise
    | Verdict
    | Settle
    | ConfigRequest
    | ConfigReply
)
