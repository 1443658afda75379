"""The order of the streams between two processes.

The handshake of an older stream may complete after that of a newer one, since
packets are lost or delayed. Messages of the older one must then not be taken
for newer. The side that dials therefore numbers its streams, and both sides
keep the stream with the highest number.
"""

import msgspec

from ferryledge.wire import _messages

#: Number of peers whose newest streams are remembered.
_MAX_PEERS = 4096


class _Newest(msgspec.Struct):
    """The newest stream that was admitted between here and a peer."""

    incarnation: str
    #: Its number in this process.
    own_number: int
    #: Its number in the peer's ``Hello``; 0 if there is none.
    peer_number: int


class StreamOrder:
    """Tells the newer streams of each peer from the older ones.

    Streams in opposite directions aren't compared.
    """

    def __init__(self) -> None:
        self._last_number = 0
        #: By the peer's name and whether this process dialled; in the order
        #: in which they were admitted.
        self._newest: dict[tuple[str, bool], _Newest] = {}

    def next_number(self) -> int:
        """Return the number of a stream that is dialled or accepted now.

        There is one sequence for all peers, whose names aren't known yet.
        """
        self._last_number += 1
        return self._last_number

    def admit(
        self, hello: _messages.Hello, own_number: int, is_dialled: bool
    ) -> bool:
        """Decide whether a stream may be used, once its handshake is done.

        :param hello: the peer's hello
        :param own_number: the number of the stream in this process
        :param is_dialled: whether this process dialled
        :return: false if a newer stream was admitted already
        """
        key = (hello.name, is_dialled)
        newest = self._newest.get(key)
        if newest is not None and _is_older(
            newest, hello, own_number, is_dialled
        ):
            return False
        self._newest.pop(key, None)
        self._newest[key] = _Newest(
            hello.incarnation, own_number, hello.stream
        )
        if len(self._newest) > _MAX_PEERS:
            del self._newest[next(iter(self._newest))]
        return True


def _is_older(
    newest: _Newest, hello: _messages.Hello, own_number: int, is_dialled: bool
) -> bool:
    """Return whether a stream is older than the newest one of its peer."""
    if is_dialled or hello.incarnation != newest.incarnation:
        # Each incarnation numbers its streams from 1, but each answers a
        # challenge that is made when its stream is accepted. So the one whose
        # stream was accepted later lived longer.
        return own_number < newest.own_number
    # A peer of an older build sends no number.
    return 0 < hello.stream < newest.peer_number
