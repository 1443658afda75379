"""Events that a core processes."""

import dataclasses

from ferryledge import configlog
from ferryledge.core import _requests
from ferryledge import wire


PeerDown = wire.PeerDown
PeerUp = wire.PeerUp
Received = wire.Received


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSubmitted:
    """A client submitted a job; ``token`` identifies its open request."""

    token: int
    request: _requests.JobRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ClientCancelled:
    """A client cancelled its job or closed its connection."""

    workspace: str
    request_id: str
    #: Whether to forward the cancellation to the other entries if the job
    #: is not known here.
    forward: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration took effect."""

    snapshot: configlog.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read; it may be out of date."""

    #: Names of the running agents in this entry's region.
    agents: frozenset[str]
    #: Names of all VMs that are being shut down.
    leaving: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task started by a :class:`RunTask` action has ended."""

    owner: str
    seq: int
    ok: bool
    body: bytes
    run_s: float
    #: False only if it is certain that the endpoint did not get the task.
    started: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process is to stop: refuse new work and finish open work."""


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
