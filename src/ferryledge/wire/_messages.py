"""The messages between entries and agents, and between entries.

Each message is a validated model: the decoder checks the type of every
field. A message is encoded as an array that begins with its tag. New fields
are appended with a default, which keeps old and new versions compatible.

A submission is a job, or a part of one, as an entry sends it to one scheduler.
Its identifier holds the entry's incarnation and a number of that entry.
"""

import enum

import msgspec


class Role(enum.StrEnum):
    """The role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


def process_key(name: str, incarnation: str) -> str:
    """Return the text that identifies one incarnation of a process."""
    return f"{name}/{incarnation}"


class Model(msgspec.Struct, frozen=True, array_like=True):
    """Base class of messages, which are immutable and encoded as arrays."""


class Hello(Model, frozen=True, tag="hello"):
    """The first message that each side sends on a stream."""

    role: Role
    name: str
    #: Identifies one start of the process.
    incarnation: str
    zone: str
    #: Number of tasks that the endpoint can run at once; 0 for an entry.
    slots: int = 0
    #: Number of connections that the endpoint accepts; 0 for an entry.
    connections: int = 0
    #: Memory for tasks in MB; 0 if unknown.
    memory_mb: int = 0
    leaving: bool = False
    config_version: int = 0
    #: Whether the sender accepts packed texts.
    packed_texts: bool = False
    #: Whether the sender accepts messages about cordoned zones.
    cordons: bool = False
    #: Whether the sender accepts differences between configurations.
    config_deltas: bool = False
    #: Whether the sender may read configurations on behalf of its peers.
    reads_configs: bool = False
    #: Whether the sender accepts jobs that other entries hand over.
    takes_jobs: bool = False
    #: Number of the stream, which rises with each one that the sender dials;
    #: 0 from the side that accepts it.
    stream: int = 0
    #: Whether the sender handles runs that are refused as duplicates, and
    #: messages about jobs that were submitted again.
    detects_duplicates: bool = False
    #: Whether the sender registers jobs, and answers those who do.
    registers_jobs: bool = False
    #: Whether the sender accepts relayed registrations, and passes them on.
    relays_registrations: bool = False
    #: Whether the sender accepts messages about complete jobs.
    learns_completions: bool = False
    #: Whether the sender answers queries for jobs, and accepts messages about
    #: cancelled ones.
    finds_jobs: bool = False
    #: Whether the sender accepts reports of its predecessor.
    recalls_reports: bool = False


class KeepAlive(Model, frozen=True, tag="alive"):
    """Shows on an idle stream that the sender is still running."""

    config_version: int = 0
    #: Number of tasks in the sender's queue.
    waiting: int = 0
    #: Share of the sender's slots in use, from 0 to 1.
    load: float = 0.0


class Leaving(Model, frozen=True, tag="leaving"):
    """The sender accepts no new work from now on.

    An entry also confirms with it that an agent leaves.
    """

    #: Whether it only confirms the receiver's own message. What the sender
    #: ordered before it knew of that has arrived by then.
    confirms: bool = False


class StartTasks(Model, frozen=True, tag="start"):
    """Tasks of one job that the agent starts at once.

    Those that it doesn't start are reported in :class:`TasksReleased`.
    """

    #: Incarnation of the agent that the message is for.
    incarnation: str
    submission: str
    service: str
    #: Seconds after which the agent ends the call of a task.
    timeout_s: float
    #: Sequence number of the first task; the others have the next ones.
    first_seq: int
    indices: tuple[int, ...]
    payloads: tuple[bytes, ...]
    #: Whether to report each result at once rather than all together.
    report_each: bool = True
    #: Expected memory of one task in MB.
    memory_mb: int = 0
    #: Client's name for the job, for journals and logs; for a job with a
    #: ticket, the digest of the request that the ticket is bound to.
    label: str = ""
    #: Ticket that the tasks use, if this agent minted it.
    ticket: str = ""


class FinishedTask(Model, frozen=True):
    """The end of one task."""

    seq: int
    index: int
    ok: bool
    #: Result as JSON text, or reason of the failure.
    body: bytes
    #: Run time of the task in seconds.
    run_s: float


class TasksFinished(Model, frozen=True, tag="done"):
    """Ends of tasks of one job."""

    submission: str
    tasks: tuple[FinishedTask, ...]
    #: Number of slots in use at the sender.
    busy: int = 0


class ReleaseReason(enum.StrEnum):
    """Why an agent did not start a task."""

    #: No slot, connection or memory is free for the task.
    BUSY = "busy"
    CANCELLED = "cancelled"
    #: A :class:`FenceOwner` covers the task.
    FENCED = "fenced"
    #: The message is for another incarnation of the agent.
    INCARNATION = "incarnation"
    LEAVING = "leaving"
    #: The message has another number of payloads than of indices.
    MALFORMED = "malformed"
    #: The task's number is not above all earlier ones of its scheduler.
    STALE = "stale"
    #: The submission may not use the ticket.
    TICKET = "ticket"
    #: The call did not reach the endpoint.
    UNREACHABLE = "unreachable"
    #: The task had not arrived when :class:`Reconcile` asked for it.
    UNSEEN = "unseen"


class TasksReleased(Model, frozen=True, tag="released"):
    """These tasks have not started at the sender and never will."""

    submission: str
    seqs: tuple[int, ...]
    reason: ReleaseReason
    #: Number of slots in use at the sender.
    busy: int = 0


class ReportNow(Model, frozen=True, tag="report"):
    """Report every finished task at once from now on."""


class CancelTasks(Model, frozen=True, tag="cancel"):
    """End these tasks; those that have not started yet never start."""

    submission: str
    seqs: tuple[int, ...]


class PlacedTask(Model, frozen=True):
    """A task of a job that is sent to the scheduler."""

    payload: bytes
    #: Run time in seconds that the client declared; 0 if unknown.
    declared_s: float = 0.0


class PlaceJob(Model, frozen=True, tag="place"):
    """A job for the scheduler of a pool."""

    submission: str
    workspace: str
    service: str
    tasks: tuple[PlacedTask, ...]
    #: Seconds until the client stops waiting for the job; 0 if it has no
    #: deadline.
    deadline_s: float = 0.0
    #: Weight of the job's urgency; jobs with a larger weight run earlier.
    urgency: float = 1.0
    #: Names of the places where the tasks may run; empty for no restriction.
    places: tuple[str, ...] = ()
    ticket: str = ""
    #: Like :attr:`StartTasks.label`.
    label: str = ""
    repeatable: bool = True


class OutcomeRecord(Model, frozen=True):
    """The encoded form of a job's outcome."""

    tag: str
    results: tuple[bytes, ...] = ()
    reason: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float = 0.0
    detail: str = ""
    #: Tags of the outcomes of the job's tasks, in order.
    task_tags: tuple[str, ...] = ()


class JobAnswered(Model, frozen=True, tag="answer"):
    """The complete answer to a job, sent to the entry that submitted it."""

    submission: str
    outcome: OutcomeRecord
    #: Number of tasks in the scheduler's queue.
    waiting: int = 0
    #: Share of the scheduler's slots in use, from 0 to 1.
    load: float = 0.0


class AgentSet(Model, frozen=True, tag="agents"):
    """The agents that the scheduler may use for the sender's jobs.

    These are the agents that the sender can reach: it can recover its jobs
    from them if the scheduler is lost.
    """

    #: Keys of their incarnations, made by :func:`process_key`.
    agents: tuple[str, ...]


class CancelJob(Model, frozen=True, tag="cancel-job"):
    """The entry that submitted the job no longer needs it."""

    submission: str


class AbandonJobs(Model, frozen=True, tag="abandon"):
    """The sender no longer needs the answers to its jobs at the receiver.

    It is sent before any later :class:`AgentSet`, which must not apply to
    jobs that the sender has recovered.
    """

    #: Number of the last submission that is abandoned.
    through: int


class CancelRequest(Model, frozen=True, tag="cancel-request"):
    """A client's cancellation, forwarded by the entry that received it."""

    workspace: str
    request_id: str


class Reconcile(Model, frozen=True, tag="reconcile"):
    """Request for the state of these tasks after a broken stream.

    The agent releases the tasks that never arrived, reports the finished
    ones again, and reports the running ones when they end.
    """

    seqs: tuple[int, ...]
    submissions: tuple[str, ...]


class FenceOwner(Model, frozen=True, tag="fence"):
    """Request to refuse the lost scheduler's tasks of these submissions."""

    #: Incarnation of the lost scheduler.
    owner: str
    #: Number of the sender's latest submission when it lost the scheduler. The
    #: agent refuses that scheduler's tasks of all submissions up to this one.
    through: int
    submissions: tuple[str, ...]


class FencedJob(Model, frozen=True):
    """The tasks of one fenced submission that started at the sender."""

    submission: str
    finished: tuple[FinishedTask, ...] = ()
    #: Indices of the tasks that are still running.
    running: tuple[int, ...] = ()
    #: Indices of the tasks that were reported as running but never started.
    unstarted: tuple[int, ...] = ()


class FenceReport(Model, frozen=True, tag="fenced"):
    """The state of the fenced submissions at the sender.

    The answer to a fence covers all its submissions: a task that is not
    listed has not started at the sender and never will. Later reports cover
    the tasks that were still running, when they end or turn out not to have
    started.
    """

    owner: str
    jobs: tuple[FencedJob, ...] = ()
    #: Whether this is the answer to a fence rather than a later report.
    first: bool = True
    #: ``through`` of the fence that it answers; -1 in later reports.
    through: int = -1


class TicketRequest(Model, frozen=True, tag="ask-tickets"):
    """Request to an agent to mint tickets."""

    count: int


class Tickets(Model, frozen=True, tag="tickets"):
    """Newly minted tickets."""

    tickets: tuple[str, ...]


class Authorise(Model, frozen=True, tag="authorise"):
    """Request to the minting agent to let a submission use a ticket."""

    ticket: str
    submission: str
    #: Digest of the request, which binds the ticket to one request.
    digest: str = ""


class VerdictTag(enum.StrEnum):
    """Whether a submission may use a ticket, and if not, why."""

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
    #: Outcome of the earlier submission, if the ticket is settled.
    outcome: OutcomeRecord | None = None


class Settle(Model, frozen=True, tag="settle"):
    """The outcome to keep for a ticket until the ticket expires."""

    ticket: str
    submission: str
    outcome: OutcomeRecord


class ConfigRequest(Model, frozen=True, tag="config-request"):
    """Request for a peer's configuration."""

    #: Digest of the sender's configuration; empty to get the whole one.
    digest: bytes = b""
    #: Whether the peer also sends each newer configuration without request.
    follow: bool = False


class ConfigReply(Model, frozen=True, tag="config"):
    """A peer's configuration as JSON text, with its version."""

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
    | TicketRequest
    | Tickets
    | Authorise
    | Verdict
    | Settle
    | ConfigRequest
    | ConfigReply
)
