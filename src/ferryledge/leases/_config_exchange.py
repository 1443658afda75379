"""What a process that has a configuration sends to one that wants it.

Load pattern: configurations of hundreds of kB of which a line changes, three
times a second, to processes whose links carry one or two of them a second. A
difference takes as much as the change; the packed whole, for those without a
base, a fraction of the bytes. The digest of the result proves it: a
difference that does not fit is dropped, and the whole is asked for.
"""

import collections
import hashlib

from ferryledge import wire

_DIGEST_BYTES = 16
#: Ends a part: lines would not do, since bodies have none.
_PART_END = b"}"
#: Earlier configurations whose parts are kept as bases. Processes that are
#: told of each need one; the others were held up for some versions.
_KEPT = 4
#: Most pieces of a difference; with more the whole takes less time.
_MOST_PIECES = 1000


class ExchangeError(Exception):
    """A difference doesn't fit; ask for the whole."""


def split_parts(data: bytes) -> tuple[bytes, ...]:
    """Return a configuration's parts, about one a route."""
    parts = data.split(_PART_END)
    last = parts.pop()
    return (*(part + _PART_END for part in parts), last)


def digest_of(data: bytes) -> bytes:
    """Return what tells one configuration from all others."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def difference(
    base: tuple[bytes, ...], parts: tuple[bytes, ...]
) -> tuple[tuple[wire.ConfigPiece, ...], bytes]:
    """Return pieces that make the parts of a base, and their text.

    :param base: what the receiver has
    :param parts: what it is to have
    """
    places = {part: number for number, part in enumerate(base)}
    pieces: list[wire.ConfigPiece] = []
    text = bytearray()
    first = count = length = 0
    for part in parts:
        place = places.get(part)
        if place is None:
            text += part
            length += len(part)
            continue
        if length or place != first + count:
            if count or length:
                pieces.append(wire.ConfigPiece(first, count, length))
            first, count, length = place, 0, 0
        count += 1
    pieces.append(wire.ConfigPiece(first, count, length))
    return tuple(pieces), bytes(text)


def _join(
    base: tuple[bytes, ...],
    pieces: tuple[wire.ConfigPiece, ...],
    text: bytes,
) -> bytes:
    result = bytearray()
    at = 0
    for piece in pieces:
        last = piece.first + piece.count
        if not 0 <= piece.first <= last <= len(base) or piece.length < 0:
            raise ExchangeError("a difference is not of this base")
        result += b"".join(base[piece.first : last])
        result += text[at : at + piece.length]
        at += piece.length
    return bytes(result)


class ConfigExchange:
    """The newest configuration, and earlier ones as bases."""

    def __init__(self) -> None:
        self._version = 0
        self._data = b""
        self._log_end = 0
        self._digest = b""
        #: Parts by their configuration's digest, the newest last.
        self._kept: collections.OrderedDict[bytes, tuple[bytes, ...]] = (
            collections.OrderedDict()
        )
        #: Answers by the digest of their base.
        self._answers: dict[bytes, wire.ConfigDelta] = {}

    @property
    def version(self) -> int:
        """The newest configuration's version; 0 is none."""
        return self._version

    @property
    def data(self) -> bytes:
        """The newest configuration as it was read."""
        return self._data

    @property
    def log_end(self) -> int:
        """Up to where the operators' log holds nothing newer."""
        return self._log_end

    @property
    def digest(self) -> bytes:
        """What tells it from all others; empty is none."""
        return self._digest

    def learn(self, version: int, data: bytes, log_end: int) -> bool:
        """Take in a configuration; an older one changes nothing.

        :param version: its version
        :param data: as it was read
        :param log_end: up to where the operators' log holds nothing newer
        :return: whether it is newer
        """
        if version <= self._version:
            return False
        self._version = version
        self._data = data
        self._log_end = max(log_end, self._log_end)
        self._digest = digest_of(data)
        self._kept[self._digest] = split_parts(data)
        self._answers.clear()
        while len(self._kept) > _KEPT:
            self._kept.popitem(last=False)
        return True

    def delta_for(self, base: bytes) -> wire.ConfigDelta:
        """Return the newest one for a process that has another.

        :param base: digest of that one; empty is none
        """
        if base not in self._answers:
            self._answers[base] = self._make(base)
        return self._answers[base]

    def _make(self, base: bytes) -> wire.ConfigDelta:
        kept = self._kept.get(base)
        if kept is not None:
            parts = self._kept[self._digest]
            pieces, text = difference(kept, parts)
            if len(pieces) <= _MOST_PIECES:
                return self._delta(base, pieces, text)
        return self._delta(b"", (), self._data)

    def _delta(
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
        """Return the configuration that a difference makes.

        :raises ExchangeError: if it has another base, or makes another one
        """
        try:
            text = wire.unpack_bytes(delta.packed)
        except wire.PackingError as exc:
            raise ExchangeError(str(exc)) from exc
        if delta.base:
            base = self._kept.get(delta.base)
            if base is None:
                raise ExchangeError("the base of a difference is not kept")
            text = _join(base, delta.pieces, text)
        if digest_of(text) != delta.digest:
            raise ExchangeError("a configuration is not what was sent")
        return text
