"""Events of the streams between processes."""

import msgspec

from ferryledge.wire import _codec
from ferryledge.wire import _messages


class Event(msgspec.Struct, frozen=True, eq=False):
    """Base class of the events and the actions of a core.

    Instances are compared by identity unless a subclass sets ``eq=True``.
    The data classes of the standard library would take more processor time at
    the import.
    """


class PeerUp(Event, frozen=True, eq=True):
    """A stream to a peer is open, and the peer's hello was received."""

    hello: _messages.Hello


class PeerDown(Event, frozen=True, eq=True):
    """The stream to a peer broke."""

    name: str
    incarnation: str


class Received(Event, frozen=True, eq=True):
    """A message was received from a connected peer."""

    peer: str
    message: _codec.Message


StreamEvent = PeerUp | PeerDown | Received
