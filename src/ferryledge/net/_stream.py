"""A TCP connection that forwards received bytes to a callback."""

import asyncio
from collections import abc
import typing

Sink = abc.Callable[[bytes], None]


class DisconnectedError(Exception):
    """The connection was lost."""


class Stream(asyncio.Protocol):
    """A connection that is first read on demand, then forwarded to a sink.

    The event loop calls the sink directly, which costs much less than reading
    in a task.

    :param on_connected: called with the stream when it is connected
    """

    def __init__(
        self, on_connected: abc.Callable[["Stream"], None] | None = None
    ) -> None:
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._sink: Sink | None = None
        #: Set when data is received or the connection is lost.
        self._data_or_closed = asyncio.Event()
        self._disconnected = False
        self._failure: Exception | None = None

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes, or pass them to the sink if there is one."""
        if self._sink is None:
            self._buffer += data
            self._data_or_closed.set()
            return
        try:
            self._sink(data)
        except Exception as exc:
            self._failure = exc
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake up the readers of a lost connection."""
        self._disconnected = True
        self._data_or_closed.set()

    # Called by its owner.

    @property
    def peer(self) -> str:
        """The address of the peer, for the log."""
        if self._transport is None:
            return ""
        return str(self._transport.get_extra_info("peername", ""))

    @property
    def unsent(self) -> int:
        """The number of bytes in the send buffer."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them while the peer is slow."""
        if self._transport is not None and not self._disconnected:
            self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Send bytes as :meth:`write` does; doesn't wait."""
        self.write(data)

    async def receive(self) -> bytes:
        """Return the received bytes; waits until there are some.

        :raises DisconnectedError: if the connection is lost
        """
        while not self._buffer:
            await self._wait_for_data()
        return self._consume(len(self._buffer))

    async def receive_exactly(self, count: int) -> bytes:
        """Return the given number of bytes; waits until they are received.

        :raises DisconnectedError: if the connection is lost before
        """
        while len(self._buffer) < count:
            await self._wait_for_data()
        return self._consume(count)

    async def _wait_for_data(self) -> None:
        if self._disconnected:
            raise DisconnectedError("the connection was lost")
        self._data_or_closed.clear()
        await self._data_or_closed.wait()

    def _consume(self, count: int) -> bytes:
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    async def forward(self, sink: Sink) -> None:
        """Pass all received bytes to a sink until the connection closes.

        :param sink: called with each piece of data
        :raises Exception: what the sink raised; the connection is closed
        """
        buffered = self._consume(len(self._buffer))
        self._sink = sink
        if buffered:
            self.data_received(buffered)
        while not self._disconnected:
            self._data_or_closed.clear()
            await self._data_or_closed.wait()
        if self._failure is not None:
            raise self._failure

    def close(self) -> None:
        """Close without waiting for unsent data."""
        if self._transport is None or self._disconnected:
            return
        self._transport.close()
        asyncio.get_running_loop().call_soon(self._transport.abort)
