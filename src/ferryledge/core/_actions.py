"""What a core asks its shell to do."""

import dataclasses

from ferryledge.core import _requests
from ferryledge import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; drop it if the stream is gone."""

    peer: str
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerClient:
    """Answer the waiting request; done once for each token."""

    token: int
    answer: _requests.JobAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RunTask:
    """Start a task on the endpoint and report its end once."""

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
    """End a running task's call."""

    owner: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptConfig:
    """A peer told its configuration; take it if it is newer."""

    peer: str
    #: The peer's snapshot as JSON text.
    snapshot: bytes


Action = Send | AnswerClient | RunTask | StopTask | AdoptConfig
