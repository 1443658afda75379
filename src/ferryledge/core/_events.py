"""What happens to a core."""

import dataclasses

from ferryledge import configlog
from ferryledge.core import _requests
from ferryledge import wire


PeerDown = wire.PeerDown
PeerUp = wire.PeerUp
Received = wire.Received


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSubmitted:
    """A client's job arrived; ``token`` names the waiting request."""

    token: int
    request: _requests.JobRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ClientCancelled:
    """A client cancelled its job, or hung up."""

    workspace: str
    request_id: str
    #: Pass the cancellation to the other entries if it is not here.
    forward: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force."""

    snapshot: configlog.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read; it may lag."""

    #: Names of agents that live, in this entry's region.
    agents: frozenset[str]
    #: Names of all VMs that are on their way out.
    leaving: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task that :class:`RunTask` started has ended."""

    owner: str
    seq: int
    ok: bool
    body: bytes
    run_s: float
    #: False only with proof that the endpoint never got the task.
    started: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """This process is to stop: take no new work, finish the rest."""


Event = (
    PeerUp
    | PeerDown
    | Received
    | ClientSubmitted
    | ClientCancelled
    | ConfigChanged
    | VmsListed
    | TaskEnded
    | DrainRequested
)
