"""Compression of texts for busy links."""

import zlib

from ferryledge.wire import _codec

#: The fastest level, since jobs wait for the compression.
_LEVEL = 1


class PackingError(Exception):
    """The bytes are not a packed text of permitted length."""


def pack_bytes(data: bytes) -> bytes:
    """Return the compressed bytes."""
    return zlib.compress(data, _LEVEL)


def pack_text(text: str) -> bytes:
    """Return the text, encoded as UTF-8 and compressed."""
    return pack_bytes(text.encode())


def unpack_bytes(packed: bytes) -> bytes:
    """Return the decompressed bytes.

    :param packed: the result of :func:`pack_bytes`
    :raises PackingError: if the bytes are not a packed text, or if more than
        the maximum size of a message would result
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, _codec.MAX_MESSAGE_BYTES)
        if not decompressor.eof:
            raise PackingError("packed text is truncated or too long")
    except zlib.error as exc:
        raise PackingError(f"not a packed text: {exc}") from exc
    return data


def unpack_text(packed: bytes) -> str:
    """Return the decompressed text.

    :param packed: the result of :func:`pack_text`
    :raises PackingError: if the bytes are not a packed text, or if more than
        the maximum size of a message would result
    """
    try:
        return unpack_bytes(packed).decode()
    except UnicodeDecodeError as exc:
        raise PackingError(f"not a packed text: {exc}") from exc
