"""Events that an entry's core receives, and actions that it returns."""

from ferryledge.leases import _agent_events
from ferryledge.leases import _job_queries
from ferryledge.leases import _jobs
from ferryledge import outcomes
from ferryledge import wire


class JobSubmitted(wire.Event, frozen=True):
    """A client submitted a job; ``token`` identifies the open request."""

    token: int
    request: _jobs.LeasedJob


class ClientLeft(wire.Event, frozen=True):
    """The client of an open request disconnected."""

    token: int
    job: str


class JobCancelled(wire.Event, frozen=True):
    """A client cancelled a job by name."""

    job: str
    #: Identifies the request that waits for the result; 0 for none.
    token: int = 0


class JobLookedUp(wire.Event, frozen=True):
    """A client asks whether a job exists."""

    job: str
    #: Identifies the request that waits for the result.
    token: int


class ConfigRead(wire.Event, frozen=True):
    """A configuration was read; versions older than the known are ignored."""

    version: int
    #: The encoded configuration, to be forwarded to peers as it is.
    data: bytes
    #: Offset in the operators' log up to which no newer version exists.
    log_end: int = 0


class ConfigFetchFailed(wire.Event, frozen=True):
    """The agent that reads configurations for this entry failed to do so."""


class CordonsRead(wire.Event, frozen=True):
    """The cordoned zones were read; older states are ignored."""

    cordons: wire.CordonedZones


class EntryDrain(wire.Event, frozen=True):
    """The entry shuts down: it admits only jobs that end in time."""

    #: Latest end of the process, in monotonic seconds.
    until: float


class EntryStop(wire.Event, frozen=True):
    """The process ends now: all open jobs are to be answered."""


EntryEvent = (
    wire.StreamEvent
    | JobSubmitted
    | ClientLeft
    | JobCancelled
    | JobLookedUp
    | _agent_events.EntriesFound
    | ConfigRead
    | ConfigFetchFailed
    | CordonsRead
    | EntryDrain
    | EntryStop
)


class AnswerJob(wire.Event, frozen=True):
    """Answer an open request, once for each token."""

    token: int
    outcome: outcomes.JobOutcome


class AnswerQuery(wire.Event, frozen=True):
    """Answer a cancel or a look-up, once for each token."""

    token: int
    result: _job_queries.QueryResult


CancelReopen = _agent_events.CancelReopen
CloseStream = _agent_events.CloseStream
DialEntries = _agent_events.DialEntries
ReopenStream = _agent_events.ReopenStream
SendMessage = _agent_events.SendMessage


class ApplyConfig(wire.Event, frozen=True):
    """Apply a configuration."""

    version: int
    data: bytes
    #: Offset in the operators' log up to which no newer version exists.
    log_end: int = 0


EntryAction = (
    AnswerJob
    | AnswerQuery
    | SendMessage
    | CloseStream
    | ReopenStream
    | CancelReopen
    | ApplyConfig
    | DialEntries
)
