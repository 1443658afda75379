"""HTTP calls over kept connections, one origin a caller.

An agent makes some thirty calls a second, and what each costs is most of
what an agent costs. So this is thin: anyio's streams, and the parser that
the server uses too. The connection used last is used next.
"""

from collections import abc
import contextlib
import dataclasses
import select
from urllib import parse

import anyio
from anyio import abc as anyio_abc
import httptools

_READ_BYTES = 64 * 1024
_DEFAULT_PORT = 80


class CallError(Exception):
    """A call brought no response."""


class ConnectError(CallError):
    """No connection was opened; nothing was sent."""


class NoAnswerError(CallError):
    """The connection broke or the time ran out: it may have been done."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallResponse:
    """What a server answered."""

    status: int
    content: bytes


class _Connection:
    """One connection; carries one call at a time."""

    def __init__(self, stream: anyio_abc.SocketStream) -> None:
        self._stream = stream
        raw = stream.extra(anyio_abc.SocketAttribute.raw_socket)
        self._readable = select.poll()
        self._readable.register(raw, select.POLLIN)
        self._body: list[bytes] = []
        self._complete = False
        self._parser = httptools.HttpResponseParser(self)
        #: Whether another call may follow.
        self.reusable = True

    # Called by the parser.

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
        self._complete = True
        self.reusable = self._parser.should_keep_alive()

    # Called by the caller.

    def is_stale(self) -> bool:
        """Return whether the server closed the connection, or spoke."""
        return bool(self._readable.poll(0))

    async def close(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)

    async def call(self, request: bytes) -> CallResponse:
        """Send a request and return the whole response.

        :param request: head and body
        :raises NoAnswerError: if the connection breaks before that
        """
        self.reusable = False
        self._body = []
        self._complete = False
        try:
            await self._stream.send(request)
            while not self._complete:
                self._parser.feed_data(await self._stream.receive(_READ_BYTES))
        except (anyio.BrokenResourceError, anyio.EndOfStream) as exc:
            raise NoAnswerError("the connection broke") from exc
        except httptools.HttpParserError as exc:
            raise NoAnswerError(f"unreadable response: {exc}") from exc
        status = self._parser.get_status_code()
        return CallResponse(status, b"".join(self._body))


class HttpCaller:
    """Calls one origin.

    :param url: base address, such as ``http://127.0.0.1:7000``
    :param connections: most connections at once; further calls wait
    :param replace_idle: whether a call without an answer also closes the
        connections that rest. They may be as silent, and each would cost a
        call's whole time; for calls of milliseconds that is cheaper than new
        connections.
    """

    def __init__(
        self, url: str, connections: int, replace_idle: bool = False
    ) -> None:
        parts = parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or _DEFAULT_PORT
        self._authority = parts.netloc
        self._base = parts.path.rstrip("/")
        self._limiter = anyio.CapacityLimiter(connections)
        self._idle: list[_Connection] = []
        self._replace_idle = replace_idle

    async def close(self) -> None:
        """Close all connections that are not in use."""
        while self._idle:
            await self._idle.pop().close()

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
        async with self._limiter, self._connection(connect_s) as connection:
            try:
                with anyio.fail_after(answer_s):
                    return await connection.call(request)
            except TimeoutError as exc:
                if self._replace_idle:
                    await self.close()
                raise NoAnswerError("no answer in time") from exc

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

    @contextlib.asynccontextmanager
    async def _connection(
        self, connect_s: float
    ) -> abc.AsyncIterator[_Connection]:
        connection = await self._take(connect_s)
        try:
            yield connection
        finally:
            if connection.reusable:
                self._idle.append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.close()

    async def _take(self, connect_s: float) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        try:
            with anyio.fail_after(connect_s):
                stream = await anyio.connect_tcp(self._host, self._port)
        except (OSError, TimeoutError) as exc:
            raise ConnectError(f"no connection: {exc}") from exc
        return _Connection(stream)
