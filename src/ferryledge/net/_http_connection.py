"""One connection that carries HTTP calls, one at a time."""

import asyncio
from collections import abc
import math
import typing

import httptools
import msgspec


class CallError(Exception):
    """A call brought no response."""


class ConnectError(CallError):
    """No connection was opened; nothing was sent."""


class NoAnswerError(CallError):
    """The connection broke or the time ran out: it may have been done."""


class LateAnswerError(NoAnswerError):
    """The time ran out."""


class CallResponse(msgspec.Struct, frozen=True):
    """What a server answered."""

    status: int
    content: bytes


#: Returns at how many bytes a second a body of a length is read.
Rate = abc.Callable[[int], float]


class Connection(asyncio.Protocol):
    """A connection to an origin.

    Driven by the event loop's callbacks: a task that reads would double what
    a call costs.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[CallResponse] | None = None
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._rate: Rate | None = None
        #: Bytes a second at which the present body is read.
        self._bytes_per_s = math.inf
        self._length = 0
        #: Continues to read.
        self._resuming: asyncio.TimerHandle | None = None
        self._answer_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        #: Whether another call may follow.
        self.reusable = True

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to use the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; unasked, it ends the connection."""
        if self._answer is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(NoAnswerError(f"unreadable response: {exc}"))
        if self._rate is not None and not self._answer.done():
            self._slow_down(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection broke."""
        self._fail(NoAnswerError("the connection broke"))

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in how long the body is."""
        if self._rate is not None and name.lower() == b"content-length":
            self._length = int(value)

    def on_headers_complete(self) -> None:
        """Choose how fast the body is read."""
        if self._rate is not None and self._length:
            self._bytes_per_s = self._rate(self._length)

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand the whole response to the caller."""
        if self._answer is None or self._answer.done():
            return
        self.reusable = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._answer.set_result(CallResponse(status, b"".join(self._body)))

    # Called by the caller.

    def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def call(
        self,
        request: bytes,
        answer_s: float | None,
        rate: Rate | None = None,
    ) -> CallResponse:
        """Send a request and return the whole response.

        :param request: head and body
        :param answer_s: seconds to wait for it; none is without bound
        :param rate: as in :meth:`HttpCaller.call`
        :raises NoAnswerError: if it does not come in time, or the connection
            breaks before
        """
        loop = asyncio.get_running_loop()
        self.reusable = False
        self._body = []
        self._rate = rate
        self._bytes_per_s = math.inf
        self._length = 0
        self._answer = loop.create_future()
        assert self._transport is not None
        self._transport.write(request)
        self._answer_s = answer_s
        self._start_timer()
        try:
            return await self._answer
        finally:
            self._answer = None
            self._stop_timer()
            self._read_on()

    def _start_timer(self) -> None:
        if self._answer_s is None:
            return
        late = LateAnswerError("no answer in time")
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._answer_s, self._fail, late)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _slow_down(self, size: int) -> None:
        """Read on once the rate allows; an answer that comes is not late."""
        self._stop_timer()
        self._start_timer()
        if math.isinf(self._bytes_per_s) or self._resuming is not None:
            return
        assert self._transport is not None
        self._transport.pause_reading()
        self._resuming = asyncio.get_running_loop().call_later(
            size / self._bytes_per_s, self._read_on
        )

    def _read_on(self) -> None:
        if self._resuming is None:
            return
        self._resuming.cancel()
        self._resuming = None
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, error: NoAnswerError) -> None:
        self.reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
