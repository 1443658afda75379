"""Messages about tasks that run under leases.

An entry orders runs from an agent, and the agent reports how they end. The
agent renews the lease of a run only while it holds a grant from the entry
that ordered the run. Each side can therefore determine when a run is over
even if it receives nothing from the other.
"""

import enum

from ferryledge import decoding
from ferryledge.wire import _messages


class Resources(_messages.Model, frozen=True):
    """Resources that a task needs or an endpoint has."""

    #: Thousandths of a core.
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    @property
    def is_bounded(self) -> bool:
        """Whether each amount is an integer that may come from outside."""
        amounts = (self.cpu_millis, self.memory_mb, self.gpus)
        return all(decoding.is_natural(amount) for amount in amounts)

    def fits_in(self, free: "Resources") -> bool:
        """Return whether these resources fit in the free ones."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.gpus <= free.gpus
        )

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of these and ``times`` the other resources."""
        return Resources(
            self.cpu_millis + times * other.cpu_millis,
            self.memory_mb + times * other.memory_mb,
            self.gpus + times * other.gpus,
        )

    def minus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return these less ``times`` the other resources."""
        return self.plus(other, -times)

    def least(self, other: "Resources") -> "Resources":
        """Return the lesser amount of each resource."""
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mb, other.memory_mb),
            min(self.gpus, other.gpus),
        )


class TaskRun(_messages.Model, frozen=True):
    """One run of one task of a job."""

    step: int
    index: int
    #: Number of the run, counted from 1 for each task.
    run: int


class OrderRuns(_messages.Model, frozen=True, tag="order"):
    """Start these runs at once, or release those that do not fit."""

    #: Number of the order, counted from 1 for each sender and agent.
    number: int
    job: str
    #: The client's specification of the work; empty if it is packed.
    spec: str
    #: Resources that each task needs.
    need: Resources
    runs: tuple[TaskRun, ...]
    #: Incarnation of the endpoint that the order is for.
    endpoint: str
    #: Expected run time of one task at normal speed, in seconds.
    expected_s: float = 0.0
    #: Number of the receiver's last :class:`GrantRequest` that arrived. The
    #: order is also a grant, as a :class:`LeaseGrant` with this number.
    ask_seen: int = 0
    #: The packed specification, for receivers that accept packed texts.
    packed_spec: bytes = b""
    #: Milliseconds by which the grant is shortened, as in
    #: :class:`LeaseGrant`.
    shorten_by_ms: int = 0


class RunReleaseReason(enum.StrEnum):
    """Why an agent did not start a run."""

    #: The agent's availability zone accepts no new work.
    CORDONED = "cordoned"
    #: The agent holds runs of the job for another entry.
    DUPLICATE = "duplicate"
    ENDPOINT = "endpoint"
    FULL = "full"
    LEAVING = "leaving"
    NO_ANSWER = "no_answer"
    REJECTED = "rejected"
    RUN_NUMBER = "run_number"
    UNHEALTHY = "unhealthy"


class RunsReleased(_messages.Model, frozen=True, tag="not-started"):
    """These runs have not started at the sender and never will."""

    job: str
    runs: tuple[TaskRun, ...]
    reason: RunReleaseReason


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    #: It was stopped, for example at the entry's request or because the
    #: entry's grant expired.
    STOPPED = "stopped"
    #: Its lease was not renewed in time.
    LAPSED = "lapsed"
    #: The endpoint stopped, restarted or became unreachable.
    LOST = "lost"


class RunEnd(_messages.Model, frozen=True):
    """The end of one run."""

    run: TaskRun
    how: RunOutcome
    #: Run time in seconds.
    run_s: float
    #: Number of jobs that lost runs, if the endpoint disappeared without
    #: notice; 0 for any other end.
    crashed_jobs: int = 0


class RunsEnded(_messages.Model, frozen=True, tag="ended"):
    """Ends of runs of one job."""

    job: str
    ends: tuple[RunEnd, ...]
    #: Number of a request that the message includes, as an
    #: :class:`GrantRequest` that must be answered; 0 if it includes none.
    ask: int = 0


class StopRuns(_messages.Model, frozen=True, tag="stop-runs"):
    """Stop these runs; their ends are reported as usual."""

    job: str
    runs: tuple[TaskRun, ...]


class HeldRun(_messages.Model, frozen=True):
    """A run that is alive, or may be, at an agent."""

    job: str
    run: TaskRun
    #: Resources that it uses; none if the sender does not know them.
    need: Resources = Resources()


class RunsHeld(_messages.Model, frozen=True, tag="held"):
    """All runs of the receiver that are alive, or may be, at the sender.

    On a new stream it is sent first, after the ends that are not confirmed
    yet. A run that is neither listed there nor reported as ended is over.
    Runs that the sender found at its endpoint are listed to every entry
    while their owner is unknown. A later list on the stream announces such
    runs, and says nothing about runs that it lacks.
    """

    runs: tuple[HeldRun, ...]


class ClaimRuns(_messages.Model, frozen=True, tag="claim"):
    """The sender still needs these runs."""

    runs: tuple[HeldRun, ...]


class LateRun(_messages.Model, frozen=True):
    """A run on an endpoint that has become slow."""

    job: str
    run: TaskRun
    #: Seconds until its end at its current rate; none if it makes no
    #: progress.
    left_s: float | None
    #: Seconds that the whole run would take on a normal endpoint; none if
    #: it makes no progress.
    normal_s: float | None


class LateRuns(_messages.Model, frozen=True, tag="late"):
    """Runs of the receiver that the sender's endpoint slows down."""

    runs: tuple[LateRun, ...]


class ZoneFailures(_messages.Model, frozen=True):
    """How often runs failed at an endpoint, for callers from one zone."""

    #: Availability zone of the entries that ordered the runs; empty for the
    #: summary of all zones, which is sent if every one of several fails.
    zone: str
    #: Share of the recent runs that failed, from 0 to 1.
    rate: float
    #: Failures counted so far; an increase means that new ones occurred.
    failures: int


class EndpointState(_messages.Model, frozen=True, tag="endpoint"):
    """State of the sender's endpoint; the defaults if none is known."""

    #: Identifies one start of the endpoint.
    incarnation: str = ""
    service: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()
    #: Capacity that no run of any entry uses.
    free: Resources = Resources()
    #: Whether new runs are accepted.
    accepting: bool = False
    #: Number of the receiver's last order that ``free`` accounts for.
    orders_seen: int = 0
    #: Seconds until the agent or the endpoint stops; 0 if unlimited.
    remaining_s: float = 0.0
    #: Current run time as a multiple of the normal one.
    slowness: float = 1.0
    #: Whether the receiver is a primary entry of the agent. Primary entries
    #: get reports of free capacity more often than others.
    is_primary: bool = True
    #: Number of entries that share the endpoint.
    entries: int = 1
    #: Whether the endpoint started recently and is still slow.
    cold: bool = False
    #: Zones for whose callers the endpoint fails.
    failing: tuple[ZoneFailures, ...] = ()
    #: Share of its capacity to use; below 1 after repeated outages.
    steady: float = 1.0
    #: Jobs that run there for other entries, and jobs that no longer do,
    #: since the last report to the receiver on this stream.
    jobs_added: tuple[str, ...] = ()
    jobs_removed: tuple[str, ...] = ()
    #: Whether the endpoint announced that it will shut down.
    draining: bool = False
    #: Whether capacity and draining are not just a stored heartbeat's.
    is_room_known: bool = False


class RecalledReport(_messages.Model, frozen=True, tag="recalled"):
    """What the receiver's predecessor last reported of its endpoint.

    It is sent only if the sender can't have missed a later report for more
    than a few seconds.
    """

    incarnation: str
    service: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool


class UrgencyReport(_messages.Model, frozen=True, tag="wanted"):
    """How urgently the sender needs capacity of the receiver's endpoint."""

    #: Seconds until the virtual deadline of its most urgent waiting job; may
    #: be negative. None if no job waits.
    start_by_s: float | None


class GrantRequest(_messages.Model, frozen=True, tag="ask-lease"):
    """Request for a grant to go on renewing the leases of an entry's runs.

    The answer also shows that the stream works and that all messages sent
    before the request have arrived.
    """

    number: int
    #: Whether the sender waits for the answer. If not, the receiver may skip
    #: it while it has no runs at the sender.
    needs_answer: bool = False


class LeaseGrant(_messages.Model, frozen=True, tag="grant-lease"):
    """A grant, which starts when the request with this number was sent."""

    number: int
    #: Milliseconds by which the grant is shortened, so that runs of jobs
    #: handed over to the sender end in time after their delegator's last
    #: grant; 0 without such runs.
    shorten_by_ms: int = 0


class EntryAddress(_messages.Model, frozen=True):
    """Where an entry listens for streams."""

    name: str
    host: str
    port: int
    #: Position of its record in the store's log, counted from 1; 0 before it
    #: was read there.
    version: int = 0

    def is_newer_than(self, other: "EntryAddress") -> bool:
        """Return whether this address takes the place of another one.

        Addresses of the same version are ordered by their text, so that
        processes that learn them in different orders agree.
        """
        return self._order > other._order

    def is_same_place(self, other: "EntryAddress") -> bool:
        """Return whether both name the same host and port."""
        return (self.host, self.port) == (other.host, other.port)

    @property
    def _order(self) -> tuple[int, str, int]:
        return self.version, self.host, self.port


class EntryList(_messages.Model, frozen=True, tag="entries"):
    """All entries that the sender knows."""

    entries: tuple[EntryAddress, ...]


class SubmittedJob(_messages.Model, frozen=True):
    """A job that a client submitted, as the entry received it."""

    job: str
    #: Seconds for which the client waits from then on. An earlier submission
    #: of the job has a longer deadline.
    deadline_s: float


class JobsResubmitted(_messages.Model, frozen=True, tag="resubmitted"):
    """Jobs that clients submitted at the sender after another entry."""

    jobs: tuple[SubmittedJob, ...]


class JobsCompleted(_messages.Model, frozen=True, tag="completed"):
    """Jobs of which all tasks are done, so that none may start again."""

    jobs: tuple[str, ...]
    #: Seconds for which the receiver remembers them.
    keep_s: float


class RegisterJobs(_messages.Model, frozen=True, tag="register"):
    """Jobs that the sender is about to start.

    The receiver answers with :class:`JobsRegistered`. If it has an older
    submission of a job itself, it gives that up.
    """

    jobs: tuple[SubmittedJob, ...]
    #: Completions that the receiver was not told of before.
    completed: JobsCompleted | None = None


class RegisteredJob(_messages.Model, frozen=True):
    """The answer for one job of :class:`RegisterJobs`."""

    job: str
    #: Another entry that received the job, which may be the sender of the
    #: answer; empty if it knows of none.
    entry: str = ""
    #: Seconds for which the client waited from its submission there on; 0 if
    #: unlimited.
    deadline_s: float = 0.0
    #: Further entries that received the job before, and may still run it.
    earlier: tuple[str, ...] = ()
    #: Whether the sender of the answer has just started, and other entries
    #: may still have to register the job with it again.
    is_starting: bool = False
    #: Whether all tasks of the job are done, so that none may start again.
    is_complete: bool = False
    #: Whether a client cancelled the job, so that none of it may start.
    is_cancelled: bool = False


class JobsRegistered(_messages.Model, frozen=True, tag="registered"):
    """Answer to :class:`RegisterJobs`."""

    jobs: tuple[RegisteredJob, ...]
    #: Completions that the receiver was not told of before.
    completed: JobsCompleted | None = None


class FindJobs(_messages.Model, frozen=True, tag="find-jobs"):
    """Query for jobs that a client cancels or looks up at the sender.

    The receiver answers with :class:`JobsFound`.
    """

    jobs: tuple[str, ...]
    #: Whether the jobs are cancelled. The receiver then stops those that it
    #: holds, and remembers all of them, so that none starts later.
    cancels: bool


class JobPresence(enum.StrEnum):
    """What an entry knows of a job."""

    #: It doesn't hold the job.
    ABSENT = "absent"
    #: It held the job for a client until a client cancelled it.
    CANCELLED = "cancelled"
    #: All tasks of the job are done.
    COMPLETE = "complete"
    #: It holds the job.
    OPEN = "open"


class FoundJob(_messages.Model, frozen=True):
    """The answer for one job of :class:`FindJobs`."""

    job: str
    presence: JobPresence
    #: Other entries that may hold the job.
    entries: tuple[str, ...] = ()
    #: Whether the sender has just started, and other entries may still have
    #: to register the job with it.
    is_starting: bool = False


class JobsFound(_messages.Model, frozen=True, tag="jobs-found"):
    """Answer to :class:`FindJobs`."""

    jobs: tuple[FoundJob, ...]
    #: The same as in the query.
    cancels: bool


class JobsCancelled(_messages.Model, frozen=True, tag="jobs-cancelled"):
    """Jobs that clients cancelled, so that none of them may start."""

    jobs: tuple[str, ...]
    #: Seconds for which the receiver remembers them.
    keep_s: float


class Relay(_messages.Model, frozen=True, tag="relay"):
    """A message to an entry that its source has no working stream to.

    The receiver sends it on to the target, or answers a request with
    :class:`RelayFailed` if it has no such stream either.
    """

    source: str
    target: str
    message: RegisterJobs | JobsRegistered | FindJobs | JobsFound


class RelayFailed(_messages.Model, frozen=True, tag="relay-failed"):
    """Requests that the sender could not relay."""

    target: str
    #: Names of the jobs that were to be registered with the target.
    jobs: tuple[str, ...]


class InviteAgents(_messages.Model, frozen=True, tag="seek"):
    """Request to invite agents of the receiver to serve the sender too."""

    #: Address at which the sender listens.
    entry: EntryAddress
    #: Service of the agents' endpoints; empty for any.
    service: str
    #: Label that their endpoints must have; empty for any.
    label: str
    #: Resources that an idle endpoint of theirs must offer.
    need: Resources
    #: Maximum number of agents to invite.
    count: int
    #: Agents that are already connected to the sender.
    known: tuple[str, ...]


class Invite(_messages.Model, frozen=True, tag="invite"):
    """Invitation to serve this entry too for a limited time."""

    entry: EntryAddress


class CordonedZones(_messages.Model, frozen=True, tag="cordoned"):
    """All availability zones that operators have closed to new work."""

    #: Position in the operators' log up to which the zones were read. The
    #: message with the highest version wins, whoever sends it.
    version: int = 0
    zones: tuple[str, ...] = ()


class ConfigPiece(_messages.Model, frozen=True):
    """Consecutive parts of the base, followed by bytes of the new text."""

    #: Index of the first part of the base.
    first: int
    #: Number of parts of the base.
    count: int
    #: Number of bytes of the new text that follow.
    length: int


class ConfigDelta(_messages.Model, frozen=True, tag="config-delta"):
    """Difference of the sender's configuration from a base version.

    The base is a configuration that the receiver has.
    """

    version: int
    #: Position in the operators' log up to which there was no newer
    #: configuration.
    log_end: int
    #: Digest of the resulting configuration.
    digest: bytes
    #: Digest of the base; empty if the text is the whole configuration.
    base: bytes
    pieces: tuple[ConfigPiece, ...]
    #: The packed new text, of which each piece uses the next bytes.
    packed: bytes


LeaseMessage = (
    OrderRuns
    | RunsReleased
    | RunsEnded
    | StopRuns
    | RunsHeld
    | ClaimRuns
    | LateRuns
    | EndpointState
    | RecalledReport
    | UrgencyReport
    | GrantRequest
    | LeaseGrant
    | EntryList
    | JobsResubmitted
    | RegisterJobs
    | JobsCompleted
    | JobsRegistered
    | FindJobs
    | JobsFound
    | JobsCancelled
    | Relay
    | RelayFailed
    | InviteAgents
    | Invite
    | CordonedZones
    | ConfigDelta
)
