"""What happens to the streams between processes."""

import msgspec

from ferryledge.wire import _codec
from ferryledge.wire import _messages


class Event(msgspec.Struct, frozen=True, eq=False):
    """Base of what happens to a core, and of what a core wants done.

    Made in C: with the standard library's data classes the imports of a
    start took 954 million instructions, and take 878 so (callgrind).
    """


class PeerUp(Event, frozen=True, eq=True):
    """A stream to a peer is open and its greeting has come."""

    hello: _messages.Hello


class PeerDown(Event, frozen=True, eq=True):
    """The stream to a peer broke."""

    name: str
    incarnation: str


class Received(Event, frozen=True, eq=True):
    """A message came from a connected peer."""

    peer: str
    message: _codec.Message


StreamEvent = PeerUp | PeerDown | Received
