"""Events that an agent's core receives and actions that it returns."""

import enum

from ferryledge import decoding
from ferryledge.leases import _incarnations
from ferryledge.leases import _runs
from ferryledge import wire


class EndpointHeartbeat(wire.Event, frozen=True):
    """A heartbeat of the endpoint arrived.

    The agent stores it as JSON for its next start. The bounds of its fields
    are checked when that is decoded.
    """

    endpoint_id: str
    service: decoding.Label
    #: ``host:port`` of the endpoint.
    address: str
    capacity: wire.Resources
    labels: tuple[decoding.Label, ...]
    draining: bool
    #: Seconds until the endpoint may shut down; 0 is unlimited.
    remaining_s: decoding.Seconds
    #: The endpoint's monotonic clock in milliseconds.
    clock_ms: decoding.Natural
    #: Sequence number within the incarnation.
    number: decoding.Natural
    #: Unix time of the endpoint's start in ms; 0 if it isn't reported.
    born_ms: decoding.Natural = 0
    #: Seconds until the endpoint has warmed up after its start.
    cold_s: decoding.Seconds = 0.0

    @property
    def incarnation(self) -> str:
        """Identifies this start of the endpoint."""
        return _incarnations.incarnation_of(self.endpoint_id, self.born_ms)

    def has_same_description(self, other: "EndpointHeartbeat") -> bool:
        """Return whether both are equal but for times and numbers."""
        return (
            self.incarnation == other.incarnation
            and self.service == other.service
            and self.capacity == other.capacity
            and self.labels == other.labels
            and self.draining == other.draining
        )


class EndpointRestored(wire.Event, frozen=True):
    """The heartbeat that an earlier start of this agent stored was read.

    It may be out of date; the endpoint's next heartbeat replaces it.
    """

    heartbeat: EndpointHeartbeat


class EndpointLeft(wire.Event, frozen=True):
    """The endpoint announced that it shuts down now."""

    endpoint_id: str
    #: Unix time of the endpoint's start in ms; 0 if it isn't reported.
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Identifies this start of the endpoint."""
        return _incarnations.incarnation_of(self.endpoint_id, self.born_ms)


class ListedRun(wire.Event, frozen=True):
    """A run that the endpoint lists as running."""

    key: _runs.RunKey
    #: Progress from 0 to 1; none if it is not known.
    done: float | None


class ListedEnd(wire.Event, frozen=True):
    """A run's end that the endpoint lists until it is acknowledged."""

    #: Sequence number of the endpoint's ends, from 1; 0 if it is not known.
    #: The end is processed then, but not acknowledged.
    number: int
    key: _runs.RunKey
    how: wire.RunOutcome


class LeaseRenewed(wire.Event, frozen=True):
    """The endpoint accepted a renewal and listed its runs."""

    #: When the renewal was sent, in monotonic seconds.
    sent_at: float
    #: The incarnation that the call was addressed to; empty is any.
    incarnation: str
    clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    #: Unix time in ms of the start of the endpoint that answered; 0 if it
    #: isn't reported.
    born_ms: int = 0
    #: Tasks that are listed with unknown runs, any of which may be running.
    unclear_tasks: frozenset[_runs.TaskKey] = frozenset()


class CallFault(enum.Enum):
    """Why a call to the endpoint failed."""

    #: Timed out: the endpoint may have executed the call, or may do so later.
    SILENT = "silent"
    #: Connection refused: the endpoint is down.
    DOWN = "down"
    #: The connection broke: the endpoint may be down.
    BROKEN = "broken"
    #: Another incarnation answered.
    REPLACED = "replaced"
    #: The endpoint has seen a higher fencing token.
    FENCED = "fenced"
    #: The endpoint can't execute the call for now, and did nothing.
    UNHEALTHY = "unhealthy"


class LeaseNotRenewed(wire.Event, frozen=True):
    """A renewal failed."""

    fault: CallFault
    incarnation: str
    #: The endpoint's clock, if it answered; else 0.
    clock_ms: int = 0


class StartResult(enum.Enum):
    """Result of a call that starts a run."""

    STARTED = "started"
    #: The endpoint has seen a higher fencing token.
    FENCED = "fenced"
    #: A run of the task with this or a higher number has ended here.
    RUN_NUMBER = "run_number"
    #: The lease of the call had already expired.
    LATE = "late"
    FULL = "full"
    #: The endpoint doesn't understand the order; a retry doesn't help.
    REJECTED = "rejected"
    UNHEALTHY = "unhealthy"
    #: Another incarnation answered.
    REPLACED = "replaced"
    DOWN = "down"
    #: Timed out: the run may have started, or may start later.
    SILENT = "silent"


class StartAnswered(wire.Event, frozen=True):
    """A call that starts a run ended."""

    key: _runs.RunKey
    result: StartResult
    incarnation: str
    clock_ms: int = 0


class StopAnswered(wire.Event, frozen=True):
    """A call that stops a run ended."""

    key: _runs.RunKey
    #: The incarnation that the call was addressed to.
    incarnation: str
    #: Whether the endpoint confirmed the stop.
    confirmed: bool


class AgentDrain(wire.Event, frozen=True):
    """The agent is to shut down, and accepts only runs that end before."""

    #: Latest time of the shutdown, in monotonic seconds.
    until: float


class EntriesFound(wire.Event, frozen=True):
    """The addresses of entries were read."""

    entries: tuple[wire.EntryAddress, ...]


AgentEvent = (
    wire.StreamEvent
    | EndpointHeartbeat
    | EndpointRestored
    | EndpointLeft
    | LeaseRenewed
    | LeaseNotRenewed
    | StartAnswered
    | StopAnswered
    | AgentDrain
    | EntriesFound
)


class SendMessage(wire.Event, frozen=True):
    """Send a message to a peer."""

    peer: str
    message: wire.Message


class StartRun(wire.Event, frozen=True):
    """Start a run at the endpoint."""

    key: _runs.RunKey
    spec: str
    incarnation: str
    #: End of the lease on the endpoint's clock.
    lease_until_ms: int
    token: int
    #: Timeout of the call in seconds.
    answer_timeout_s: float = 1.0


class ListRuns(wire.Event, frozen=True):
    """List the endpoint's runs at once, besides the regular renewals."""

    renewal: "Renewal"


class StopRun(wire.Event, frozen=True):
    """Stop a run at the endpoint."""

    key: _runs.RunKey
    incarnation: str
    token: int
    #: Timeout of the call in seconds.
    answer_timeout_s: float = 1.0


class CloseStream(wire.Event, frozen=True):
    """Close the stream to an unresponsive peer."""

    peer: str


class ReopenStream(wire.Event, frozen=True):
    """Open a stream to a peer that replaces the unresponsive one.

    Nothing happens if a replacement is already being opened.
    """

    peer: str


class CancelReopen(wire.Event, frozen=True):
    """Cancel the replacement of a stream, since the peer answered on it."""

    peer: str


class DialEntries(wire.Event, frozen=True):
    """Open streams to these entries, and reopen them when they break."""

    entries: tuple[wire.EntryAddress, ...]


class DisconnectEntry(wire.Event, frozen=True):
    """Close the stream to an entry, and don't reopen it."""

    name: str


class SaveEndpoint(wire.Event, frozen=True):
    """Store a heartbeat for the agent's next start."""

    heartbeat: EndpointHeartbeat


AgentAction = (
    SendMessage
    | CloseStream
    | ReopenStream
    | CancelReopen
    | DialEntries
    | DisconnectEntry
    | StartRun
    | StopRun
    | ListRuns
    | SaveEndpoint
)


class Renewal(wire.Event, frozen=True):
    """The arguments of a renewal call."""

    #: The incarnation that the call is addressed to; empty is any.
    incarnation: str
    #: End of the lease on the endpoint's clock; 0 lists the runs only.
    lease_until_ms: int
    token: int
    #: Acknowledges the ends up to this number.
    acknowledged: int
    #: Milliseconds that the endpoint may hold the answer until a run ends.
    wait_ms: int
    #: Timeout of the call in seconds, in addition to ``wait_ms``.
    timeout_slack_s: float = 0.15
    #: Seconds until the next call if this one fails. A heartbeat ends the
    #: wait early.
    retry_s: float = 0.03
