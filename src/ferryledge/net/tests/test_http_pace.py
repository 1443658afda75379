"""Reading of large responses at a limited rate, and its time-out."""

import asyncio
import typing

import anyio
import pytest

from ferryledge.net import _http_connection
from ferryledge.net.tests import paused_clock

_PART = b"x" * 1000
_PART_COUNT = 20
_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n"
_TIMEOUT_S = 1.5


class _Transport:
    """A transport that records when reading is paused and resumed."""

    def __init__(self) -> None:
        self.reading = asyncio.Event()
        self.reading.set()
        self.pauses = 0
        self.closed = False

    def write(self, data: bytes) -> None:
        """Discard the request."""

    def pause_reading(self) -> None:
        self.pauses += 1
        self.reading.clear()

    def resume_reading(self) -> None:
        self.reading.set()

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True


async def _respond(
    bytes_per_s: float, interval_s: float, parts: int = _PART_COUNT
) -> tuple[_Transport, float]:
    """Respond to a call in parts.

    :return: the transport, and the duration of the call in seconds
    """
    connection = _http_connection.Connection()
    transport = _Transport()
    connection.connection_made(typing.cast(asyncio.Transport, transport))
    started_at = anyio.current_time()

    async def send() -> None:
        connection.data_received(_HEAD)
        for _ in range(parts):
            await anyio.sleep(interval_s)
            await transport.reading.wait()
            connection.data_received(_PART)

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        response = await connection.call(
            b"", _TIMEOUT_S, lambda size: bytes_per_s
        )
    assert response.content == _PART * _PART_COUNT
    return transport, anyio.current_time() - started_at


def test_response_is_read_no_faster_than_the_rate() -> None:
    transport, duration_s = paused_clock.run(_respond, 5_000.0, 0.0)
    assert transport.pauses
    assert duration_s >= 19_000 / 5_000.0
    assert transport.reading.is_set()


def test_response_without_a_limit_is_read_without_pauses() -> None:
    transport, duration_s = paused_clock.run(_respond, float("inf"), 0.0)
    assert not transport.pauses
    assert duration_s == 0.0


def test_response_in_progress_does_not_time_out() -> None:
    """Guards against a time-out that repeats the read of a large response."""
    _, duration_s = paused_clock.run(_respond, float("inf"), 1.0)
    assert duration_s > _TIMEOUT_S


def test_stalled_response_times_out() -> None:
    async def main() -> None:
        with pytest.raises(_http_connection.ResponseTimeoutError):
            try:
                await _respond(float("inf"), 0.1, parts=3)
            except BaseExceptionGroup as group:
                raise group.exceptions[0] from None

    paused_clock.run(main)
