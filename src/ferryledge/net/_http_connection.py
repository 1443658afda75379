"""An HTTP/1.1 client connection that carries one call at a time."""

import asyncio
from collections import abc
import math
import typing

import httptools
import msgspec


class CallError(Exception):
    """A call failed without a response."""


class ConnectError(CallError):
    """No connection could be opened; the request was not sent."""


class NoResponseError(CallError):
    """No response was received; the server may have handled the request."""


class ResponseTimeoutError(NoResponseError):
    """No response was received within the time-out."""


class CallResponse(msgspec.Struct, frozen=True):
    """The response of a server."""

    status: int
    content: bytes


#: Returns the rate in bytes per second at which to read a body, given its
#: length in bytes.
ReadRate = abc.Callable[[int], float]


class Connection(asyncio.Protocol):
    """A connection to an origin.

    Uses callbacks of the event loop, since a task that reads would roughly
    double the cost of a call.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[CallResponse] | None = None
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._rate: ReadRate | None = None
        #: Rate in bytes per second at which the current body is read.
        self._read_bytes_per_s = math.inf
        self._content_length = 0
        #: Resumes reading after a pause.
        self._resume_timer: asyncio.TimerHandle | None = None
        self._timeout_s: float | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        #: Whether another call may follow.
        self.reusable = True

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; closes if no call is pending."""
        if self._response is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(NoResponseError(f"unreadable response: {exc}"))
        if self._rate is not None and not self._response.done():
            self._throttle(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending call."""
        self._fail(NoResponseError("the connection was lost"))

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the length of the body."""
        if self._rate is not None and name.lower() == b"content-length":
            self._content_length = int(value)

    def on_headers_complete(self) -> None:
        """Determine the rate at which the body is read."""
        if self._rate is not None and self._content_length:
            self._read_bytes_per_s = self._rate(self._content_length)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the call with the response."""
        if self._response is None or self._response.done():
            return
        self.reusable = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._response.set_result(CallResponse(status, b"".join(self._body)))

    # Called by the caller.

    def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def call(
        self,
        request: bytes,
        timeout_s: float | None,
        rate: ReadRate | None = None,
    ) -> CallResponse:
        """Send a request and return the whole response.

        :param request: the head and the body
        :param timeout_s: time-out in seconds; defaults to none. With a rate,
            it restarts whenever a part of the response arrives.
        :param rate: returns the rate at which to read the body; defaults to
            no limit
        :raises NoResponseError: if the response is not received in time, or
            the connection is lost before
        """
        loop = asyncio.get_running_loop()
        self.reusable = False
        self._body = []
        self._rate = rate
        self._read_bytes_per_s = math.inf
        self._content_length = 0
        self._response = loop.create_future()
        assert self._transport is not None
        self._transport.write(request)
        self._timeout_s = timeout_s
        self._start_timeout()
        try:
            return await self._response
        finally:
            self._response = None
            self._cancel_timeout()
            self._resume_reading()

    def _start_timeout(self) -> None:
        if self._timeout_s is None:
            return
        error = ResponseTimeoutError("no response within the time-out")
        loop = asyncio.get_running_loop()
        self._timeout_timer = loop.call_later(
            self._timeout_s, self._fail, error
        )

    def _cancel_timeout(self) -> None:
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None

    def _throttle(self, size: int) -> None:
        """Pause reading as the rate demands, and restart the time-out.

        :param size: number of bytes just received
        """
        self._cancel_timeout()
        self._start_timeout()
        if (
            math.isinf(self._read_bytes_per_s)
            or self._resume_timer is not None
        ):
            return
        assert self._transport is not None
        self._transport.pause_reading()
        self._resume_timer = asyncio.get_running_loop().call_later(
            size / self._read_bytes_per_s, self._resume_reading
        )

    def _resume_reading(self) -> None:
        if self._resume_timer is None:
            return
        self._resume_timer.cancel()
        self._resume_timer = None
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, error: NoResponseError) -> None:
        self.reusable = False
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
