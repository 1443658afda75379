"""Mutual proof of a shared key at the start of a stream.

Both sides send a nonce and answer the other's with an HMAC over both
nonces and their own role, so that neither can be replayed or reflected.
Several keys may be accepted at once: to change the key, first add the new
one everywhere behind the old one, then put it first, then drop the old.
"""

import hashlib
import hmac
import secrets
import typing

NONCE_BYTES = 16
MAC_BYTES = 32
_MAGIC = b"FLG1"
_HEAD_BYTES = len(_MAGIC) + NONCE_BYTES
_KEY_ID_BYTES = 4
_DIALER = b"dialer"
_LISTENER = b"listener"


class AuthenticationError(Exception):
    """The other side does not hold a key that this process accepts."""


class Stream(typing.Protocol):
    """What the handshake needs of a byte stream."""

    async def send(self, item: bytes) -> None:
        """Send the bytes."""

    async def receive_exactly(self, nbytes: int) -> bytes:
        """Return just that many bytes."""


def _key_id(key: str) -> bytes:
    return hashlib.sha256(b"id:" + key.encode()).digest()[:_KEY_ID_BYTES]


def _mac(key: str, side: bytes, own: bytes, other: bytes) -> bytes:
    return hmac.digest(key.encode(), side + own + other, "sha256")


def _find_key(keys: tuple[str, ...], key_id: bytes) -> str:
    for key in keys:
        if hmac.compare_digest(_key_id(key), key_id):
            return key
    raise AuthenticationError("unknown key: check FERRYLEDGE_PEER_KEYS")


async def _receive_nonce(stream: Stream) -> bytes:
    head = await stream.receive_exactly(_HEAD_BYTES)
    if head[: len(_MAGIC)] != _MAGIC:
        raise AuthenticationError("not a ferryledge peer")
    return head[len(_MAGIC) :]


async def connect(stream: Stream, keys: tuple[str, ...]) -> None:
    """Prove the key as the side that dialled, then check the other's.

    :param stream: the fresh stream
    :param keys: the accepted keys; the first is used
    :raises AuthenticationError: if the other side proves no key
    """
    own = secrets.token_bytes(NONCE_BYTES)
    await stream.send(_MAGIC + own)
    other = await _receive_nonce(stream)
    key = keys[0]
    await stream.send(_key_id(key) + _mac(key, _DIALER, own, other))
    proof = await stream.receive_exactly(MAC_BYTES)
    if not hmac.compare_digest(proof, _mac(key, _LISTENER, other, own)):
        raise AuthenticationError("the listener proved no key")


async def accept(stream: Stream, keys: tuple[str, ...]) -> None:
    """Check the dialling side's key, then prove the same key.

    :param stream: the fresh stream
    :param keys: the accepted keys
    :raises AuthenticationError: if the other side proves no key
    """
    own = secrets.token_bytes(NONCE_BYTES)
    await stream.send(_MAGIC + own)
    other = await _receive_nonce(stream)
    reply = await stream.receive_exactly(_KEY_ID_BYTES + MAC_BYTES)
    key = _find_key(keys, reply[:_KEY_ID_BYTES])
    proof = reply[_KEY_ID_BYTES:]
    if not hmac.compare_digest(proof, _mac(key, _DIALER, other, own)):
        raise AuthenticationError("the dialler proved no key")
    await stream.send(_mac(key, _LISTENER, own, other))
