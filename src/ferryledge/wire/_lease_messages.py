"""Messages about tasks that run under leases.

An entry orders runs at an agent, the agent reports how they end. The agent
renews what runs only while the entry that ordered it grants it the right
to, so both sides can tell when a run is over although the other is silent.
"""

import enum

from ferryledge.wire import _messages


class Resources(_messages.Model, frozen=True):
    """What a task needs, or an endpoint has."""

    #: Thousandths of a core.
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, free: "Resources") -> bool:
        """Return whether there is room for this in ``free``."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.gpus <= free.gpus
        )

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum with that many times the other."""
        return Resources(
            self.cpu_millis + times * other.cpu_millis,
            self.memory_mb + times * other.memory_mb,
            self.gpus + times * other.gpus,
        )

    def minus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return what is left after that many times the other."""
        return self.plus(other, -times)


class TaskRun(_messages.Model, frozen=True):
    """One run of one task of a job."""

    step: int
    index: int
    #: Counts the task's runs, from 1.
    run: int


class OrderRuns(_messages.Model, frozen=True, tag="order"):
    """Start these runs at once, or release those without room."""

    #: Counts the sender's orders to this agent, from 1.
    number: int
    job: str
    #: What the endpoint is to run, as the client sent it; empty if packed.
    spec: str
    #: What one task needs.
    need: Resources
    runs: tuple[TaskRun, ...]
    #: The endpoint's incarnation that is meant.
    endpoint: str
    #: Expected run time of one task at normal speed, in seconds.
    expected_s: float = 0.0
    #: Number of the receiver's last ask that has arrived: the order grants
    #: what a :class:`GrantLease` with that number would.
    ask_seen: int = 0
    #: The packed spec, for receivers that take packed texts.
    packed_spec: bytes = b""
    #: By how much the grant ends sooner, as with :class:`GrantLease`.
    shorten_by_ms: int = 0


class NotStarted(enum.StrEnum):
    """Why an agent did not start a run."""

    #: Its availability zone takes no new work.
    CORDONED = "cordoned"
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
    reason: NotStarted


class HowEnded(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    #: It was stopped on the entry's word, or for want of it.
    STOPPED = "stopped"
    #: Its lease was not renewed in time.
    LAPSED = "lapsed"
    #: The endpoint went away with it.
    LOST = "lost"


class RunEnd(_messages.Model, frozen=True):
    """The end of one run."""

    run: TaskRun
    how: HowEnded
    #: Seconds that it ran.
    run_s: float
    #: Jobs that lost runs there, if the endpoint went away unannounced; 0 is
    #: any other end.
    crashed_jobs: int = 0


class RunsEnded(_messages.Model, frozen=True, tag="ended"):
    """Ends of runs of one job."""

    job: str
    ends: tuple[RunEnd, ...]
    #: Number of an :class:`AskLease` that comes with it and wants an answer;
    #: 0 is none.
    ask: int = 0


class StopRuns(_messages.Model, frozen=True, tag="stop-runs"):
    """Stop these runs; their ends are reported as usual."""

    job: str
    runs: tuple[TaskRun, ...]


class HeldRun(_messages.Model, frozen=True):
    """A run that is alive at an agent."""

    job: str
    run: TaskRun
    #: What it takes; nothing if the sender does not know.
    need: Resources = Resources()


class RunsHeld(_messages.Model, frozen=True, tag="held"):
    """All runs of the receiver that are alive, or may be, at the sender.

    Comes first on a new stream, after the ends that were not told yet: a
    run that is neither listed here nor told as ended is over. Runs that the
    sender found at its endpoint without knowing whose they are go to every
    entry.
    """

    runs: tuple[HeldRun, ...]


class ClaimRuns(_messages.Model, frozen=True, tag="claim"):
    """The sender goes on waiting for these runs."""

    runs: tuple[HeldRun, ...]


class LateRun(_messages.Model, frozen=True):
    """A run on an endpoint that has become slow."""

    job: str
    run: TaskRun
    #: Seconds until its end at its present rate; none if it stands still.
    left_s: float | None
    #: Seconds that the whole run would take on a normal endpoint; none if
    #: it stands still.
    normal_s: float | None


class LateRuns(_messages.Model, frozen=True, tag="late"):
    """Runs of the receiver that the sender's endpoint holds up."""

    runs: tuple[LateRun, ...]


class ZoneFailures(_messages.Model, frozen=True):
    """How often runs failed at an endpoint, for callers of one zone."""

    #: The availability zone of the entries that ordered them; empty is every
    #: zone that is known, if these are several.
    zone: str
    #: Share of the last runs that failed, from 0 to 1.
    rate: float
    #: Failures counted so far; rises with each that is news.
    failures: int


class EndpointState(_messages.Model, frozen=True, tag="endpoint"):
    """The sender's endpoint; empty fields while none is known."""

    #: Differs each time the endpoint starts.
    incarnation: str = ""
    service: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()
    #: Room that no run holds, whoever ordered it.
    free: Resources = Resources()
    #: Whether new runs are accepted.
    accepting: bool = False
    #: Number of the receiver's last order that ``free`` accounts for.
    orders_seen: int = 0
    #: Seconds until it may be gone; 0 is unlimited.
    remaining_s: float = 0.0
    #: How many times as long runs take there now; 1 is as usual.
    slowness: float = 1.0
    #: Whether the receiver is told of each change; others are told seldom.
    is_primary: bool = True
    #: How many entries share the endpoint.
    entries: int = 1
    #: Whether it is slow as yet, having started lately.
    cold: bool = False
    #: Zones for whose callers it fails; none are known by default.
    failing: tuple[ZoneFailures, ...] = ()
    #: Share of its room to use; below 1 after it went down repeatedly.
    steady: float = 1.0


class RoomWanted(_messages.Model, frozen=True, tag="wanted"):
    """How urgently the sender waits for room at the receiver's endpoint."""

    #: Seconds until the latest start that its most urgent job can bear; may
    #: be negative. None if it waits for nothing.
    start_by_s: float | None


class AskLease(_messages.Model, frozen=True, tag="ask-lease"):
    """Ask an entry for the right to go on renewing its runs.

    It also asks whether the stream still works, and whether what was sent
    before it has arrived.
    """

    number: int
    #: Whether the answer is waited for; the receiver may leave others out
    #: while it has no runs at the sender.
    wanted: bool = False


class GrantLease(_messages.Model, frozen=True, tag="grant-lease"):
    """The right, counted from the sending of the ask with this number."""

    number: int
    #: Milliseconds by which it ends sooner: for so long the sender has not
    #: heard the entry that it runs jobs for. One byte where it is 0.
    shorten_by_ms: int = 0


class EntryAddress(_messages.Model, frozen=True):
    """Where an entry listens for streams."""

    name: str
    host: str
    port: int


class EntryList(_messages.Model, frozen=True, tag="entries"):
    """The entries that the sender knows."""

    entries: tuple[EntryAddress, ...]


class SeekAgents(_messages.Model, frozen=True, tag="seek"):
    """Invite agents of the receiver to serve the sender as well."""

    #: Where the sender listens.
    entry: EntryAddress
    #: The service of their endpoints; empty is any.
    service: str
    #: A label that their endpoints must have; empty is any.
    label: str
    #: What their endpoints must have room for when nothing runs there.
    need: Resources
    #: How many are wanted at the most.
    count: int
    #: Agents that the sender has.
    known: tuple[str, ...]


class Invite(_messages.Model, frozen=True, tag="invite"):
    """Serve this entry too for a while."""

    entry: EntryAddress


class CordonedZones(_messages.Model, frozen=True, tag="cordoned"):
    """All availability zones that take no new work, as operators have it."""

    #: End of the operators' log up to which this was read. The higher one
    #: counts, whoever tells it.
    version: int = 0
    zones: tuple[str, ...] = ()


class ConfigPiece(_messages.Model, frozen=True):
    """Parts of a base that come next, then bytes of a text."""

    #: The first part of the base, and how many.
    first: int
    count: int
    #: How many bytes of the text.
    length: int


class ConfigDelta(_messages.Model, frozen=True, tag="config-delta"):
    """How the sender's configuration differs from one of the receiver's."""

    version: int
    #: End of the operators' log up to which nothing newer was there.
    log_end: int
    #: Of the result.
    digest: bytes
    #: Of the base; empty if the text is the whole.
    base: bytes
    pieces: tuple[ConfigPiece, ...]
    #: The packed text that the pieces take of.
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
    | RoomWanted
    | AskLease
    | GrantLease
    | EntryList
    | SeekAgents
    | Invite
    | CordonedZones
    | ConfigDelta
)
