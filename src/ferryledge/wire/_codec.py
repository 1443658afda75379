"""Encoding of messages as msgpack, with limits on the size of input."""

from collections import abc
import typing

import msgpack
import msgspec

from ferryledge.wire import _handover_messages
from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages

#: Maximum size of a message in bytes; a job of 810 tasks fits well.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
#: Maximum number of elements of an array.
MAX_ARRAY = 4096

_BUILTIN_TYPES = (bytes,)
Message = (
    _messages.Message
    | _lease_messages.LeaseMessage
    | _handover_messages.HandoverMessage
)
#: Message types by tag.
_TYPES = {
    str(message_type.__struct_config__.tag): message_type
    for message_type in typing.get_args(Message)
}


class WireError(Exception):
    """The stream contains data that is not a message."""


class EncodingError(WireError):
    """A message holds a value that can't be encoded."""


def encode(message: Message) -> bytes:
    """Return the encoded message.

    :raises EncodingError: if it holds an integer of more than 64 bits, or a
        text that is not Unicode
    """
    array = msgspec.to_builtins(message, builtin_types=_BUILTIN_TYPES)
    try:
        return typing.cast(bytes, msgpack.packb(array))
    except (OverflowError, UnicodeEncodeError) as exc:
        tag = message.__struct_config__.tag
        raise EncodingError(f"can't encode message {tag!r}: {exc}") from exc


def _make_unpacker() -> typing.Any:
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES,
        max_array_len=MAX_ARRAY,
        max_map_len=0,
        max_ext_len=0,
        use_list=True,
    )


def _convert_message(array: typing.Any) -> Message:
    """Return the message for an unpacked array.

    The type is looked up by the tag, since msgspec would analyse the union
    of all types again in each call, which takes forty times as long.
    """
    if not isinstance(array, list) or not array:
        raise ValueError("a message is an array that begins with its tag")
    message_type = _TYPES.get(array[0]) if isinstance(array[0], str) else None
    if message_type is None:
        raise ValueError(f"unknown message tag {array[0]!r}")
    message = msgspec.convert(
        array, message_type, builtin_types=_BUILTIN_TYPES
    )
    return typing.cast(Message, message)


class Decoder:
    """Decodes the messages of one stream.

    At most :data:`MAX_MESSAGE_BYTES` are buffered.
    """

    def __init__(self) -> None:
        self._unpacker = _make_unpacker()

    def feed(self, data: bytes) -> abc.Iterator[Message]:
        """Yield the messages that are complete after these bytes.

        :param data: the next bytes of the stream
        :raises WireError: if the stream contains data that is not a message;
            the stream must then be closed
        """
        try:
            self._unpacker.feed(data)
            for array in self._unpacker:
                yield _convert_message(array)
        except (
            msgpack.exceptions.UnpackException,
            msgspec.ValidationError,
            ValueError,
            RecursionError,
        ) as exc:
            raise WireError(f"not a message: {exc}") from exc
