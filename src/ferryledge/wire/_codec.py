"""Encoding of messages as msgpack, with bounds on what is accepted."""

from collections import abc
import typing

import msgpack
import msgspec

from ferryledge.wire import _handover_messages
from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages

#: Largest message in bytes; a job of 810 tasks fits well.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
#: Most elements in one array.
MAX_ARRAY = 4096

_BUILTIN_TYPES = (bytes,)
Message = (
    _messages.Message
    | _lease_messages.LeaseMessage
    | _handover_messages.HandoverMessage
)
#: The types of messages by the tag that leads each.
_TYPES = {
    str(one.__struct_config__.tag): one for one in typing.get_args(Message)
}


class WireError(Exception):
    """The stream holds something that is not a message."""


def encode(message: Message) -> bytes:
    """Return the message's bytes."""
    plain = msgspec.to_builtins(message, builtin_types=_BUILTIN_TYPES)
    return typing.cast(bytes, msgpack.packb(plain))


def _unpacker() -> typing.Any:
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES,
        max_array_len=MAX_ARRAY,
        max_map_len=0,
        max_ext_len=0,
        use_list=True,
    )


def _message(plain: typing.Any) -> Message:
    """Return the message that unpacked values stand for.

    The tag picks the type: converting to the union of all of them takes
    forty times as long, since that works out the union at each call.
    """
    if not isinstance(plain, list) or not plain:
        raise ValueError("a message is an array that begins with its tag")
    kind = _TYPES.get(plain[0]) if isinstance(plain[0], str) else None
    if kind is None:
        raise ValueError(f"unknown message {plain[0]!r}")
    message = msgspec.convert(plain, kind, builtin_types=_BUILTIN_TYPES)
    return typing.cast(Message, message)


class Decoder:
    """Turns the bytes of one stream into messages.

    Memory is bounded by :data:`MAX_MESSAGE_BYTES`.
    """

    def __init__(self) -> None:
        self._unpacker = _unpacker()

    def feed(self, data: bytes) -> abc.Iterator[Message]:
        """Yield the messages that ``data`` completes.

        :param data: the next bytes of the stream
        :raises WireError: if the stream is not made of messages; it must
            then be closed
        """
        try:
            self._unpacker.feed(data)
            for plain in self._unpacker:
                yield _message(plain)
        except (
            msgpack.exceptions.UnpackException,
            msgspec.ValidationError,
            ValueError,
            RecursionError,
        ) as exc:
            raise WireError(f"not a message: {exc}") from exc
