"""Several tries to connect, on an event loop whose clock jumps."""

import asyncio

import anyio
import pytest

from ferryledge.net import _connecting
from ferryledge.net.tests import paused_clock


class _Peer:
    """Answers tries that are begun once its machine has power.

    :param dark_s: seconds until then
    :param answer_s: seconds until a try is answered
    :param refuses: whether its process does not listen
    """

    def __init__(
        self, dark_s: float, answer_s: float = 0.002, refuses: bool = False
    ) -> None:
        self._dark_s = dark_s
        self._answer_s = answer_s
        self._refuses = refuses
        self.tries = 0
        self.open: set[int] = set()

    async def open_connection(self) -> tuple["_Transport", asyncio.Protocol]:
        """Begin a try."""
        self.tries += 1
        if anyio.current_time() < self._dark_s:
            await anyio.sleep_forever()
        await anyio.sleep(self._answer_s)
        if self._refuses:
            raise ConnectionRefusedError
        self.open.add(self.tries)
        return _Transport(self, self.tries), asyncio.Protocol()


class _Transport(asyncio.BaseTransport):
    def __init__(self, peer: _Peer, number: int) -> None:
        super().__init__()
        self._peer = peer
        self._number = number

    def close(self) -> None:
        self._peer.open.discard(self._number)


def _connect(peer: _Peer, tries: int = 5) -> float:
    """Return when a connection is open; the clock starts at 0."""

    async def main() -> float:
        await _connecting.connect(peer.open_connection, tries)
        return anyio.current_time()

    return paused_clock.run(main)


def test_peer_with_power_gets_one_try() -> None:
    peer = _Peer(0.0)
    assert _connect(peer) == pytest.approx(0.002)
    assert peer.tries == 1


def test_try_from_before_the_power_is_not_waited_for() -> None:
    peer = _Peer(0.06)
    assert _connect(peer) == pytest.approx(0.102)


def test_answer_over_a_full_link_counts() -> None:
    peer = _Peer(0.0, 0.18)
    assert _connect(peer) == pytest.approx(0.18)
    assert len(peer.open) == 1


def test_one_of_two_that_open_at_once_is_kept() -> None:
    opened: list[int] = []

    class _Both(_Peer):
        async def open_connection(self) -> tuple[_Transport, asyncio.Protocol]:
            number = len(opened)
            opened.append(number)
            # All are answered in the same turn of the loop.
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
        (_Peer(0.0, answer_s=1.0), TimeoutError),
    ],
)
def test_failure_tells_what_the_peer_is(
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
