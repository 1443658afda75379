"""What happens to an entry with leased tasks, and what it does."""

import dataclasses

from ferryledge.leases import _agent_events
from ferryledge.leases import _jobs
from ferryledge import outcomes
from ferryledge import wire


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class JobSubmitted:
    """A client's job arrived; ``token`` names the waiting request."""

    token: int
    request: _jobs.LeasedJob


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ClientLeft:
    """The client of a waiting request hung up."""

    token: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class JobCancelled:
    """A client cancelled a job by its name."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ConfigRead:
    """A configuration was read; the newest version counts."""

    version: int
    #: The configuration as it was read, to hand on to peers.
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class EntryDrain:
    """The entry is to stop: it takes only jobs that end before that."""

    #: When it ends at the latest, in monotonic seconds.
    until: float


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class EntryStop:
    """The entry ends now: answer all that is open."""


EntryEvent = (
    wire.StreamEvent
    | JobSubmitted
    | ClientLeft
    | JobCancelled
    | _agent_events.EntriesFound
    | ConfigRead
    | EntryDrain
    | EntryStop
)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class AnswerJob:
    """Answer a waiting request; once for each token."""

    token: int
    outcome: outcomes.JobOutcome


CloseStream = _agent_events.CloseStream
DialEntries = _agent_events.DialEntries
SendMessage = _agent_events.SendMessage


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ApplyConfig:
    """Put a configuration in force."""

    version: int
    data: bytes


EntryAction = AnswerJob | SendMessage | CloseStream | ApplyConfig | DialEntries
