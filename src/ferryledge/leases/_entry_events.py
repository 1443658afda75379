"""What happens to an entry with leased tasks, and what it does."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _jobs
from ferryledge import outcomes
from ferryledge import wire


class JobSubmitted(wire.Event, frozen=True):
    """A client's job arrived; ``token`` names the waiting request."""

    token: int
    request: _jobs.LeasedJob


class ClientLeft(wire.Event, frozen=True):
    """The client of a waiting request hung up."""

    token: int
    job: str


class JobCancelled(wire.Event, frozen=True):
    """A client cancelled a job by its name."""

    job: str


class ConfigRead(wire.Event, frozen=True):
    """A configuration was read; the newest version counts."""

    version: int
    #: The configuration as it was read, to hand on to peers.
    data: bytes
    #: End of the operators' log up to which nothing newer was there.
    log_end: int = 0


class ConfigFetchFailed(wire.Event, frozen=True):
    """The agent that reads configurations for this entry missed one."""


class CordonsRead(wire.Event, frozen=True):
    """The operators' cordons were read; the newest state counts."""

    cordons: wire.CordonedZones


class EntryDrain(wire.Event, frozen=True):
    """The entry is to stop: it takes only jobs that end before that."""

    #: When it ends at the latest, in monotonic seconds.
    until: float


class EntryStop(wire.Event, frozen=True):
    """The entry ends now: answer all that is open."""


EntryEvent = (
    wire.StreamEvent
    | JobSubmitted
    | ClientLeft
    | JobCancelled
    | _agent_events.EntriesFound
    | ConfigRead
    | ConfigFetchFailed
    | CordonsRead
    | EntryDrain
    | EntryStop
)


class AnswerJob(wire.Event, frozen=True):
    """Answer a waiting request; once for each token."""

    token: int
    outcome: outcomes.JobOutcome


CloseStream = _agent_events.CloseStream
DialEntries = _agent_events.DialEntries
SendMessage = _agent_events.SendMessage


class ApplyConfig(wire.Event, frozen=True):
    """Put a configuration in force."""

    version: int
    data: bytes
    #: End of the operators' log up to which nothing newer was there.
    log_end: int = 0


EntryAction = AnswerJob | SendMessage | CloseStream | ApplyConfig | DialEntries
