"""Actions that a core returns for its process to carry out."""

import dataclasses

from ferryledge.core import _requests
from ferryledge import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; drop it if the stream is closed."""

    peer: str
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerClient:
    """Answer a waiting client request, once for each token."""

    token: int
    answer: _requests.JobAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RunTask:
    """Start a task on the endpoint and report its end once.

    The end is reported as a :class:`TaskEnded` event.
    """

    owner: str
    seq: int
    submission: str
    index: int
    service: str
    payload: bytes
    timeout_s: float
    label: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Abort the endpoint call of a running task."""

    owner: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptConfig:
    """Adopt a peer's configuration if it is newer."""

    peer: str
    #: The peer's snapshot as JSON text.
    snapshot: bytes


Action = Send | AnswerClient | RunTask | StopTask | AdoptConfig
