"""HTTP calls over kept connections, one origin a caller.

An agent makes some thirty calls a second, and what each costs is most of
what an agent costs. So this is thin: the event loop's transports, and the
parser that the server uses too. The connection used last is used next.
"""

import asyncio
from collections import abc
import typing
from urllib import parse

import anyio
import httptools
import msgspec

_DEFAULT_PORT = 80


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


class _Connection(asyncio.Protocol):
    """One connection; carries one call at a time.

    Driven by the event loop's callbacks: with a task that reads, calls took
    15% of an agent's processor, 7% without (profiles under load).
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[CallResponse] | None = None
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
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

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection broke."""
        self._fail(NoAnswerError("the connection broke"))

    # Called by the parser.

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
        self, request: bytes, answer_s: float | None
    ) -> CallResponse:
        """Send a request and return the whole response.

        :param request: head and body
        :param answer_s: seconds to wait for it; none is without bound
        :raises NoAnswerError: if it does not come in time, or the connection
            breaks before
        """
        loop = asyncio.get_running_loop()
        self.reusable = False
        self._body = []
        self._answer = loop.create_future()
        assert self._transport is not None
        self._transport.write(request)
        timer = None
        if answer_s is not None:
            late = LateAnswerError("no answer in time")
            timer = loop.call_later(answer_s, self._fail, late)
        try:
            return await self._answer
        finally:
            self._answer = None
            if timer is not None:
                timer.cancel()

    def _fail(self, error: NoAnswerError) -> None:
        self.reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


class _Permit:
    """Lets a call be one of those that go on at once; given back once.

    :param limiter: counts the permits
    """

    def __init__(self, limiter: anyio.CapacityLimiter) -> None:
        self._limiter = limiter
        self._timer: asyncio.TimerHandle | None = None
        self._held = False

    async def take(self, most_s: float | None) -> None:
        """Wait for a permit.

        :param most_s: seconds after which it goes to the next call all the
            same; none is never
        """
        try:
            self._limiter.acquire_on_behalf_of_nowait(self)
        except anyio.WouldBlock:
            await self._limiter.acquire_on_behalf_of(self)
        self._held = True
        if most_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(most_s, self.give_back)

    def give_back(self) -> None:
        """Let the next call go on; nothing happens the second time."""
        if not self._held:
            return
        self._held = False
        if self._timer is not None:
            self._timer.cancel()
        self._limiter.release_on_behalf_of(self)


class HttpCaller:
    """Calls one origin.

    :param url: base address, such as ``http://127.0.0.1:7000``
    :param connections: most connections at once; further calls wait
    :param replace_idle: whether a call without an answer also closes the
        connections that rest. They may be as silent, and each would cost a
        call's whole time; for calls of milliseconds that is cheaper than new
        connections.
    :param permit_s: seconds after which a call without an answer no longer
        counts among the most connections; none is never
    """

    def __init__(
        self,
        url: str,
        connections: int,
        replace_idle: bool = False,
        permit_s: float | None = None,
    ) -> None:
        parts = parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or _DEFAULT_PORT
        self._authority = parts.netloc
        self._base = parts.path.rstrip("/")
        self._limiter = anyio.CapacityLimiter(connections)
        self._idle: list[_Connection] = []
        self._replace_idle = replace_idle
        self._most_idle = connections
        self._permit_s = permit_s

    async def close(self) -> None:
        """Close all connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    async def call(
        self,
        method: str,
        path: str,
        content: bytes = b"",
        headers: abc.Sequence[tuple[str, str]] = (),
        connect_s: float = 2.0,
        answer_s: float | None = None,
    ) -> CallResponse:
        """Return the whole response.

        :param method: the HTTP method
        :param path: path and query
        :param content: the body
        :param headers: further headers; a ``host`` replaces the usual one
        :param connect_s: seconds to open a connection
        :param answer_s: seconds to wait for the answer; none is without
            bound
        :raises ConnectError: if nothing was sent
        :raises NoAnswerError: if the answer did not come in time, or the
            connection broke
        """
        request = self._head(method, path, content, headers) + content
        permit = _Permit(self._limiter)
        await permit.take(self._permit_s)
        try:
            return await self._exchange(request, connect_s, answer_s)
        finally:
            permit.give_back()

    async def _exchange(
        self, request: bytes, connect_s: float, answer_s: float | None
    ) -> CallResponse:
        connection = await self._take(connect_s)
        try:
            return await connection.call(request, answer_s)
        except LateAnswerError:
            if self._replace_idle:
                await self.close()
            raise
        finally:
            if connection.reusable and len(self._idle) < self._most_idle:
                self._idle.append(connection)
            else:
                connection.close()

    def _head(
        self,
        method: str,
        path: str,
        content: bytes,
        headers: abc.Sequence[tuple[str, str]],
    ) -> bytes:
        fields = {
            "host": self._authority,
            "content-type": "application/json",
            **dict(headers),
            "content-length": str(len(content)),
        }
        lines = [f"{method} {self._base}{path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def _take(self, connect_s: float) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(connect_s):
                _, connection = await loop.create_connection(
                    _Connection, self._host, self._port
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectError(f"no connection: {exc}") from exc
        return connection
