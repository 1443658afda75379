"""Mutual authentication with a shared key at the start of a stream.

Each side sends a nonce and proves the key with an HMAC over both nonces and
its own role, which prevents replay and reflection. Several keys can be
accepted at once. To rotate the key, append the new key in all processes,
then move it to the front in all of them, then remove the old key.
"""

import hashlib
import hmac
import secrets
import typing

NONCE_BYTES = 16
MAC_BYTES = 32
_MAGIC = b"FLG1"
_HEADER_BYTES = len(_MAGIC) + NONCE_BYTES
_KEY_ID_BYTES = 4
_DIALER = b"dialer"
_LISTENER = b"listener"


class AuthenticationError(Exception):
    """The peer did not prove a key that this process accepts."""


class Stream(typing.Protocol):
    """The part of a byte stream's interface that the handshake uses."""

    async def send(self, item: bytes) -> None:
        """Send the bytes."""

    async def receive_exactly(self, nbytes: int) -> bytes:
        """Return exactly ``nbytes`` bytes."""


def _key_id(key: str) -> bytes:
    return hashlib.sha256(b"id:" + key.encode()).digest()[:_KEY_ID_BYTES]


def _mac(key: str, role: bytes, own_nonce: bytes, peer_nonce: bytes) -> bytes:
    return hmac.digest(key.encode(), role + own_nonce + peer_nonce, "sha256")


def _find_key(keys: tuple[str, ...], key_id: bytes) -> str:
    for key in keys:
        if hmac.compare_digest(_key_id(key), key_id):
            return key
    raise AuthenticationError("unknown key: check FERRYLEDGE_PEER_KEYS")


async def _receive_nonce(stream: Stream) -> bytes:
    header = await stream.receive_exactly(_HEADER_BYTES)
    if header[: len(_MAGIC)] != _MAGIC:
        raise AuthenticationError("not a ferryledge peer")
    return header[len(_MAGIC) :]


async def connect(stream: Stream, keys: tuple[str, ...]) -> None:
    """Authenticate as the dialer, then check the listener's proof.

    :param stream: the newly opened stream
    :param keys: the accepted keys, of which the first is used
    :raises AuthenticationError: if the listener does not prove this key
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.send(_MAGIC + own_nonce)
    peer_nonce = await _receive_nonce(stream)
    key = keys[0]
    await stream.send(_key_id(key) + _mac(key, _DIALER, own_nonce, peer_nonce))
    proof = await stream.receive_exactly(MAC_BYTES)
    if not hmac.compare_digest(
        proof, _mac(key, _LISTENER, peer_nonce, own_nonce)
    ):
        raise AuthenticationError("the listener did not prove the key")


async def accept(stream: Stream, keys: tuple[str, ...]) -> None:
    """Check the dialer's proof, then prove the same key.

    :param stream: the newly accepted stream
    :param keys: the accepted keys
    :raises AuthenticationError: if the dialer proves none of these keys
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.send(_MAGIC + own_nonce)
    peer_nonce = await _receive_nonce(stream)
    reply = await stream.receive_exactly(_KEY_ID_BYTES + MAC_BYTES)
    key = _find_key(keys, reply[:_KEY_ID_BYTES])
    proof = reply[_KEY_ID_BYTES:]
    if not hmac.compare_digest(
        proof, _mac(key, _DIALER, peer_nonce, own_nonce)
    ):
        raise AuthenticationError("the dialer did not prove the key")
    await stream.send(_mac(key, _LISTENER, own_nonce, peer_nonce))
