"""What happens to the streams between processes."""

import dataclasses

from ferryledge.wire import _codec
from ferryledge.wire import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A stream to a peer is open and its greeting has come."""

    hello: _messages.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The stream to a peer broke."""

    name: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message came from a connected peer."""

    peer: str
    message: _codec.Message


StreamEvent = PeerUp | PeerDown | Received
