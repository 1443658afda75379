"""Transfers configurations between processes as differences.

Configurations may have hundreds of kB and change several times a second by
a line or so, while links may carry only one or two of them a second. A process
that has a recent configuration receives the difference from it; any other
receives the whole, compressed. The digest of the result is verified: if it
does not match, the receiver requests the whole configuration.
"""

import collections
import hashlib

from ferryledge import wire

_DIGEST_BYTES = 16
#: Separator of parts. Configurations are JSON without line breaks.
_PART_END = b"}"
#: Recent configurations that are kept as bases for differences. One would do
#: for receivers that get every version; more help those that are behind.
_MAX_BASES = 4
#: Largest number of pieces in a difference; with more, sending the whole
#: configuration is faster.
_MAX_PIECES = 1000


class ExchangeError(Exception):
    """A difference can't be applied; the whole must be requested."""


def split_parts(data: bytes) -> tuple[bytes, ...]:
    """Split a configuration into parts, about one per route."""
    parts = data.split(_PART_END)
    last = parts.pop()
    return (*(part + _PART_END for part in parts), last)


def digest_of(data: bytes) -> bytes:
    """Return the digest that identifies a configuration."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def difference(
    base: tuple[bytes, ...], parts: tuple[bytes, ...]
) -> tuple[tuple[wire.ConfigPiece, ...], bytes]:
    """Return the difference between two configurations.

    Each piece copies a range of parts of the base and then appends some
    bytes of the text.

    :param base: the parts that the receiver has
    :param parts: the parts of the new configuration
    :return: the pieces, and the text that they append
    """
    indices = {part: number for number, part in enumerate(base)}
    pieces: list[wire.ConfigPiece] = []
    text = bytearray()
    first = count = length = 0
    for part in parts:
        index = indices.get(part)
        if index is None:
            text += part
            length += len(part)
            continue
        if length or index != first + count:
            if count or length:
                pieces.append(wire.ConfigPiece(first, count, length))
            first, count, length = index, 0, 0
        count += 1
    pieces.append(wire.ConfigPiece(first, count, length))
    return tuple(pieces), bytes(text)


def _apply_pieces(
    base: tuple[bytes, ...],
    pieces: tuple[wire.ConfigPiece, ...],
    text: bytes,
) -> bytes:
    result = bytearray()
    offset = 0
    for piece in pieces:
        last = piece.first + piece.count
        if not 0 <= piece.first <= last <= len(base) or piece.length < 0:
            raise ExchangeError(
                "configuration difference does not match its base"
            )
        result += b"".join(base[piece.first : last])
        result += text[offset : offset + piece.length]
        offset += piece.length
    return bytes(result)


class ConfigExchange:
    """Keeps the newest configuration, and recent ones as bases."""

    def __init__(self) -> None:
        self._version = 0
        self._data = b""
        self._log_end = 0
        self._digest = b""
        #: Parts of recent configurations by digest, the newest last.
        self._bases: collections.OrderedDict[bytes, tuple[bytes, ...]] = (
            collections.OrderedDict()
        )
        #: Differences that lead to the newest one, by the base's digest.
        self._deltas: dict[bytes, wire.ConfigDelta] = {}

    @property
    def version(self) -> int:
        """The version of the newest configuration; 0 if there is none."""
        return self._version

    @property
    def data(self) -> bytes:
        """The newest configuration as it was read."""
        return self._data

    @property
    def log_end(self) -> int:
        """The offset in the operators' log up to which it is current."""
        return self._log_end

    @property
    def digest(self) -> bytes:
        """The digest of the newest configuration; empty if there is none."""
        return self._digest

    def learn(self, version: int, data: bytes, log_end: int) -> bool:
        """Store a configuration; ignore one that isn't newer.

        :param version: its version
        :param data: the configuration as it was read
        :param log_end: the offset in the operators' log up to which it is
            current
        :return: whether it is newer
        """
        if version <= self._version:
            return False
        self._version = version
        self._data = data
        self._log_end = max(log_end, self._log_end)
        self._digest = digest_of(data)
        self._bases[self._digest] = split_parts(data)
        self._deltas.clear()
        while len(self._bases) > _MAX_BASES:
            self._bases.popitem(last=False)
        return True

    def delta_for(self, base: bytes) -> wire.ConfigDelta:
        """Return the difference that leads to the newest configuration.

        :param base: digest of the receiver's configuration; empty if it has
            none
        :return: the difference, or the whole if the base is unknown here
        """
        if base not in self._deltas:
            self._deltas[base] = self._make_delta(base)
        return self._deltas[base]

    def _make_delta(self, base: bytes) -> wire.ConfigDelta:
        base_parts = self._bases.get(base)
        if base_parts is not None:
            parts = self._bases[self._digest]
            pieces, text = difference(base_parts, parts)
            if len(pieces) <= _MAX_PIECES:
                return self._encode_delta(base, pieces, text)
        return self._encode_delta(b"", (), self._data)

    def _encode_delta(
        self, base: bytes, pieces: tuple[wire.ConfigPiece, ...], text: bytes
    ) -> wire.ConfigDelta:
        return wire.ConfigDelta(
            self._version,
            self._log_end,
            self._digest,
            base,
            pieces,
            wire.pack_bytes(text),
        )

    def restore(self, delta: wire.ConfigDelta) -> bytes:
        """Apply a difference and return the resulting configuration.

        :param delta: the difference
        :raises ExchangeError: if its base is unknown, or if the result does
            not have the expected digest
        """
        try:
            text = wire.unpack_bytes(delta.packed)
        except wire.PackingError as exc:
            raise ExchangeError(str(exc)) from exc
        if delta.base:
            base = self._bases.get(delta.base)
            if base is None:
                raise ExchangeError(
                    "base of the configuration difference is unknown"
                )
            text = _apply_pieces(base, delta.pieces, text)
        if digest_of(text) != delta.digest:
            raise ExchangeError(
                "digest of the configuration does not match the expected one"
            )
        return text
