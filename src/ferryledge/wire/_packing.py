"""Packs texts for links that have no room to spare."""

import zlib

from ferryledge.wire import _codec

#: The fastest level: jobs wait meanwhile.
_LEVEL = 1


class PackingError(Exception):
    """Bytes are not a packed text."""


def pack_bytes(data: bytes) -> bytes:
    """Return the bytes of a text in fewer bytes."""
    return zlib.compress(data, _LEVEL)


def pack_text(text: str) -> bytes:
    """Return a text in fewer bytes."""
    return pack_bytes(text.encode())


def unpack_bytes(packed: bytes) -> bytes:
    """Return the bytes that were packed.

    :raises PackingError: if they are something else, or are more than a
        message may hold
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, _codec.MAX_MESSAGE_BYTES)
        if not unpacker.eof:
            raise PackingError("a packed text is cut off or too long")
    except zlib.error as exc:
        raise PackingError(f"not a packed text: {exc}") from exc
    return data


def unpack_text(packed: bytes) -> str:
    """Return the text that was packed.

    :raises PackingError: if the bytes are something else, or the text is
        longer than a message may be
    """
    try:
        return unpack_bytes(packed).decode()
    except UnicodeDecodeError as exc:
        raise PackingError(f"not a packed text: {exc}") from exc
