"""A TCP connection whose bytes are handed on as they come."""

import asyncio
from collections import abc
import typing

Sink = abc.Callable[[bytes], None]


class DisconnectedError(Exception):
    """The connection broke."""


class Stream(asyncio.Protocol):
    """One connection, first read on demand and then poured into a sink.

    The event loop calls the sink directly: to read in a task, with reading
    paused in between, took half of what an entry spent on what came (profile).

    :param opened: called with the stream once it is connected
    """

    def __init__(
        self, opened: abc.Callable[["Stream"], None] | None = None
    ) -> None:
        self._opened = opened
        self._transport: asyncio.Transport | None = None
        self._read = bytearray()
        self._sink: Sink | None = None
        #: Set when bytes came or the connection broke.
        self._news = asyncio.Event()
        self._broken = False
        self._failure: Exception | None = None

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to use the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if self._opened is not None:
            self._opened(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes, or hand them on."""
        if self._sink is None:
            self._read += data
            self._news.set()
            return
        try:
            self._sink(data)
        except Exception as exc:
            self._failure = exc
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection broke."""
        self._broken = True
        self._news.set()

    # Called by its owner.

    @property
    def peer(self) -> str:
        """The other side's address, for the log."""
        if self._transport is None:
            return ""
        return str(self._transport.get_extra_info("peername", ""))

    @property
    def unsent(self) -> int:
        """Bytes that the other side has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send bytes, now or when the other side takes them."""
        if self._transport is not None and not self._broken:
            self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Send bytes, as :meth:`write` does."""
        self.write(data)

    async def receive(self) -> bytes:
        """Return the next bytes.

        :raises DisconnectedError: if the connection broke
        """
        while not self._read:
            await self._more()
        return self._take(len(self._read))

    async def receive_exactly(self, count: int) -> bytes:
        """Return just that many bytes.

        :raises DisconnectedError: if the connection broke before
        """
        while len(self._read) < count:
            await self._more()
        return self._take(count)

    async def _more(self) -> None:
        if self._broken:
            raise DisconnectedError("the connection broke")
        self._news.clear()
        await self._news.wait()

    def _take(self, count: int) -> bytes:
        data = bytes(self._read[:count])
        del self._read[:count]
        return data

    async def pour(self, sink: Sink) -> None:
        """Hand all bytes to a sink until the connection breaks.

        :raises Exception: what the sink raised; the connection is closed
        """
        early = self._take(len(self._read))
        self._sink = sink
        if early:
            self.data_received(early)
        while not self._broken:
            self._news.clear()
            await self._news.wait()
        if self._failure is not None:
            raise self._failure

    def close(self) -> None:
        """Send what the other side takes at once, and close."""
        if self._transport is None or self._broken:
            return
        self._transport.close()
        asyncio.get_running_loop().call_soon(self._transport.abort)
