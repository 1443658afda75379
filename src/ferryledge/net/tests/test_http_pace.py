"""A large answer is read at a pace, and isn't late while it comes."""

import asyncio
import typing

import anyio
import pytest

from ferryledge.net import _http_connection
from ferryledge.net.tests import paused_clock

_PART = b"x" * 1000
_PARTS = 20
_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n"
_SILENCE_S = 1.5


class _Transport:
    """Notes when reading was paused and resumed."""

    def __init__(self) -> None:
        self.reading = asyncio.Event()
        self.reading.set()
        self.pauses = 0
        self.closed = False

    def write(self, data: bytes) -> None:
        """Take a request."""

    def pause_reading(self) -> None:
        self.pauses += 1
        self.reading.clear()

    def resume_reading(self) -> None:
        self.reading.set()

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True


async def _answer(
    bytes_per_s: float, gap_s: float, parts: int = _PARTS
) -> tuple[_Transport, float]:
    """Send an answer in parts to a call; return when it was whole."""
    connection = _http_connection.Connection()
    transport = _Transport()
    connection.connection_made(typing.cast(asyncio.Transport, transport))
    began = anyio.current_time()

    async def send() -> None:
        connection.data_received(_HEAD)
        for _ in range(parts):
            await anyio.sleep(gap_s)
            await transport.reading.wait()
            connection.data_received(_PART)

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        response = await connection.call(
            b"", _SILENCE_S, lambda size: bytes_per_s
        )
    assert response.content == _PART * _PARTS
    return transport, anyio.current_time() - began


def test_answer_is_read_no_faster_than_the_rate() -> None:
    transport, took_s = paused_clock.run(_answer, 5_000.0, 0.0)
    assert transport.pauses
    assert took_s >= 19_000 / 5_000.0
    assert transport.reading.is_set()


def test_answer_at_any_rate_is_read_as_it_comes() -> None:
    transport, took_s = paused_clock.run(_answer, float("inf"), 0.0)
    assert not transport.pauses
    assert took_s == 0.0


def test_answer_that_comes_is_not_late() -> None:
    """It took longer than the time for an answer, and was read anew."""
    _, took_s = paused_clock.run(_answer, float("inf"), 1.0)
    assert took_s > _SILENCE_S


def test_answer_that_stops_coming_is_late() -> None:
    async def main() -> None:
        with pytest.raises(_http_connection.LateAnswerError):
            try:
                await _answer(float("inf"), 0.1, parts=3)
            except BaseExceptionGroup as group:
                raise group.exceptions[0] from None

    paused_clock.run(main)
