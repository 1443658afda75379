"""What happens to an agent of leased tasks, and what it does."""

import enum

from ferryledge.leases import _incarnations
from ferryledge.leases import _runs
from ferryledge import wire


class EndpointHeartbeat(wire.Event, frozen=True):
    """The endpoint's heartbeat came."""

    endpoint_id: str
    service: str
    #: ``host:port`` of the endpoint.
    address: str
    capacity: wire.Resources
    labels: tuple[str, ...]
    draining: bool
    #: Seconds until it may be gone; 0 is unlimited.
    remaining_s: float
    #: The endpoint's steady clock.
    clock_ms: int
    #: Rises with each heartbeat of an incarnation.
    number: int
    #: Unix time of its start in ms; 0 if it doesn't tell.
    born_ms: int = 0
    #: Seconds for which it is still slow from its start.
    cold_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """Which start of the endpoint this is."""
        return _incarnations.incarnation_of(self.endpoint_id, self.born_ms)

    def has_same_description(self, other: "EndpointHeartbeat") -> bool:
        """Return whether both say the same, but for times and numbers."""
        return (
            self.incarnation == other.incarnation
            and self.service == other.service
            and self.capacity == other.capacity
            and self.labels == other.labels
            and self.draining == other.draining
        )


class EndpointRestored(wire.Event, frozen=True):
    """What an earlier start of this agent kept of the endpoint.

    It may be out of date: the endpoint's next heartbeat replaces it.
    """

    seen: EndpointHeartbeat


class EndpointLeft(wire.Event, frozen=True):
    """The endpoint said that it ends now."""

    endpoint_id: str
    #: Unix time of its start in ms; 0 if it doesn't tell.
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Which start of the endpoint this is."""
        return _incarnations.incarnation_of(self.endpoint_id, self.born_ms)


class ListedRun(wire.Event, frozen=True):
    """A run that the endpoint lists as alive."""

    key: _runs.RunKey
    #: Share of the work that is done, from 0 to 1.
    done: float


class ListedEnd(wire.Event, frozen=True):
    """An end that the endpoint lists until it is acknowledged."""

    #: Counts the endpoint's ends, from 1.
    number: int
    key: _runs.RunKey
    how: wire.HowEnded


class LeaseRenewed(wire.Event, frozen=True):
    """The endpoint took a renewal and listed what it holds."""

    #: When the renewal was sent, in monotonic seconds.
    sent_at: float
    #: The endpoint's incarnation that was asked; empty is any.
    incarnation: str
    clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    #: Unix time in ms of the start of the endpoint that answered; 0 if it
    #: doesn't tell.
    born_ms: int = 0


class CallFault(enum.Enum):
    """Why a call to the endpoint brought no result."""

    #: No answer: it may have been carried out, or may be later.
    SILENT = "silent"
    #: Nothing listens there: the endpoint is down.
    DOWN = "down"
    #: The connection broke: the endpoint may have gone.
    BROKEN = "broken"
    #: Another incarnation answered.
    REPLACED = "replaced"
    #: A higher fencing token has been used there.
    FENCED = "fenced"
    #: The endpoint said that it can't now; nothing was done.
    UNHEALTHY = "unhealthy"


class LeaseNotRenewed(wire.Event, frozen=True):
    """A renewal brought no list."""

    fault: CallFault
    incarnation: str
    #: The endpoint's clock, if it answered; else 0.
    clock_ms: int = 0


class StartResult(enum.Enum):
    """What the endpoint said to an order."""

    STARTED = "started"
    FENCED = "fenced"
    #: The run's number is not above one that ended here.
    RUN_NUMBER = "run_number"
    LATE = "late"
    FULL = "full"
    #: Rejected for good: the endpoint does not understand the order.
    REJECTED = "rejected"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    DOWN = "down"
    #: No answer: it may have started, or may start later.
    SILENT = "silent"


class StartAnswered(wire.Event, frozen=True):
    """The call for a start came back."""

    key: _runs.RunKey
    result: StartResult
    incarnation: str
    clock_ms: int = 0


class StopAnswered(wire.Event, frozen=True):
    """The call for a stop came back."""

    key: _runs.RunKey
    #: The endpoint's incarnation that was meant.
    incarnation: str
    #: Whether the endpoint confirmed it.
    confirmed: bool


class AgentDrain(wire.Event, frozen=True):
    """The agent is to stop: it takes only runs that end before that."""

    #: When it ends at the latest, in monotonic seconds.
    until: float


class EntriesFound(wire.Event, frozen=True):
    """Entries are known by their addresses."""

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
    """Order the endpoint to start a run."""

    key: _runs.RunKey
    spec: str
    incarnation: str
    #: End of the lease on the endpoint's clock.
    lease_until_ms: int
    token: int
    #: Seconds after which an answer counts as missing.
    answer_s: float = 1.0


class ListRuns(wire.Event, frozen=True):
    """Ask the endpoint at once what it runs, beside the usual renewals."""

    renewal: "Renewal"


class StopRun(wire.Event, frozen=True):
    """Order the endpoint to stop a run."""

    key: _runs.RunKey
    incarnation: str
    token: int
    #: Seconds after which an answer counts as missing.
    answer_s: float = 1.0


class CloseStream(wire.Event, frozen=True):
    """Break the stream to a peer that is silent."""

    peer: str


class ReopenStream(wire.Event, frozen=True):
    """Open a new stream beside a silent one, to replace it.

    Nothing happens if one is being opened already.
    """

    peer: str


class CancelReopen(wire.Event, frozen=True):
    """Give up the stream that is being opened: the old one answers."""

    peer: str


class DialEntries(wire.Event, frozen=True):
    """Keep streams to these entries open."""

    entries: tuple[wire.EntryAddress, ...]


class DisconnectEntry(wire.Event, frozen=True):
    """Stop dialling an entry, and close the stream to it."""

    name: str


class SaveEndpoint(wire.Event, frozen=True):
    """Keep this for the agent's next start."""

    seen: EndpointHeartbeat


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
    """What the next call for a renewal is to say."""

    #: The endpoint's incarnation; empty is any.
    incarnation: str
    #: End of the lease on the endpoint's clock; 0 renews nothing.
    lease_until_ms: int
    token: int
    #: Ends up to this number are known here.
    acknowledged: int
    #: How long the answer may wait for an end, in ms.
    wait_ms: int
    #: Seconds beyond that after which it counts as missing.
    slack_s: float = 0.15
    #: Seconds until the next one if this one fails; a heartbeat that comes
    #: before ends the wait.
    retry_s: float = 0.03
