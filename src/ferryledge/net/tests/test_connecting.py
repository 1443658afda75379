"""Staggered connection attempts, on an event loop whose clock jumps."""

import asyncio

import anyio
import pytest

from ferryledge.net import _connecting
from ferryledge.net.tests import paused_clock


class _Peer:
    """A peer that responds to attempts made after its machine is powered on.

    :param power_on_s: seconds until the machine is powered on
    :param response_s: response time in seconds
    :param refuses: whether connections are refused
    """

    def __init__(
        self,
        power_on_s: float,
        response_s: float = 0.002,
        refuses: bool = False,
    ) -> None:
        self._power_on_s = power_on_s
        self._response_s = response_s
        self._refuses = refuses
        self.attempts = 0
        self.open: set[int] = set()

    async def open_connection(self) -> tuple["_Transport", asyncio.Protocol]:
        """Make one attempt."""
        self.attempts += 1
        if anyio.current_time() < self._power_on_s:
            await anyio.sleep_forever()
        await anyio.sleep(self._response_s)
        if self._refuses:
            raise ConnectionRefusedError
        self.open.add(self.attempts)
        return _Transport(self, self.attempts), asyncio.Protocol()


class _Transport(asyncio.BaseTransport):
    def __init__(self, peer: _Peer, number: int) -> None:
        super().__init__()
        self._peer = peer
        self._number = number

    def close(self) -> None:
        self._peer.open.discard(self._number)


def _connect(peer: _Peer, attempts: int = 5) -> float:
    """Return the time at which a connection opens; the clock starts at 0."""

    async def main() -> float:
        await _connecting.connect(peer.open_connection, attempts)
        return anyio.current_time()

    return paused_clock.run(main)


def test_reachable_peer_gets_one_attempt() -> None:
    peer = _Peer(0.0)
    assert _connect(peer) == pytest.approx(0.002)
    assert peer.attempts == 1


def test_attempt_before_power_on_does_not_delay_the_next() -> None:
    peer = _Peer(0.06)
    assert _connect(peer) == pytest.approx(0.102)


def test_slow_response_to_the_first_attempt_is_used() -> None:
    peer = _Peer(0.0, 0.18)
    assert _connect(peer) == pytest.approx(0.18)
    assert len(peer.open) == 1


def test_only_one_of_several_open_connections_is_kept() -> None:
    opened: list[int] = []

    class _Both(_Peer):
        async def open_connection(self) -> tuple[_Transport, asyncio.Protocol]:
            number = len(opened)
            opened.append(number)
            # All attempts complete in the same iteration of the loop.
            await anyio.sleep_until(0.12)
            self.open.add(number)
            return _Transport(self, number), asyncio.Protocol()

    peer = _Both(0.0)
    _connect(peer)
    assert len(opened) > 1
    assert len(peer.open) == 1


@pytest.mark.parametrize(
    ("peer", "error"),
    [
        (_Peer(0.0, refuses=True), ConnectionRefusedError),
        (_Peer(9.0), TimeoutError),
        (_Peer(0.0, response_s=1.0), TimeoutError),
    ],
)
def test_error_distinguishes_refusal_from_time_out(
    peer: _Peer, error: type[Exception]
) -> None:
    with pytest.raises(error):
        _connect(peer)


def test_cancelled_connect_leaves_nothing_open() -> None:
    peer = _Peer(0.0, 0.18)

    async def main() -> None:
        with anyio.move_on_after(0.1):
            await _connecting.connect(peer.open_connection, 5)

    paused_clock.run(main)
    assert not peer.open


@pytest.mark.parametrize(
    "error", [UnicodeError("label too long"), ValueError, OverflowError]
)
def test_invalid_address_counts_as_unreachable(error: Exception) -> None:
    """Guards against an odd address that ends the process."""

    async def open_connection() -> tuple[_Transport, asyncio.Protocol]:
        raise error

    async def main() -> None:
        with pytest.raises(OSError):
            await _connecting.connect(open_connection, 2)

    paused_clock.run(main)
