"""HTTP calls over kept connections, one origin a caller.

An agent makes some thirty calls a second, and what each costs is most of
what an agent costs. So this is thin: the event loop's transports, and the
parser that the server uses too. The connection used last is used next.
"""

import asyncio
from collections import abc
import socket
from urllib import parse

import anyio

from ferryledge.net import _http_connection

_DEFAULT_PORT = 80


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
    :param window_bytes: what the origin may send on one connection before
        this process took it; 0 is without limit
    """

    def __init__(
        self,
        url: str,
        connections: int,
        replace_idle: bool = False,
        permit_s: float | None = None,
        window_bytes: int = 0,
    ) -> None:
        parts = parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or _DEFAULT_PORT
        self._authority = parts.netloc
        self._base = parts.path.rstrip("/")
        self._limiter = anyio.CapacityLimiter(connections)
        self._idle: list[_http_connection.Connection] = []
        self._replace_idle = replace_idle
        self._most_idle = connections
        self._permit_s = permit_s
        self._window_bytes = window_bytes

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
        rate: _http_connection.Rate | None = None,
    ) -> _http_connection.CallResponse:
        """Return the whole response.

        :param method: the HTTP method
        :param path: path and query
        :param content: the body
        :param headers: further headers; a ``host`` replaces the usual one
        :param connect_s: seconds to open a connection
        :param answer_s: seconds to wait for the answer; none is without
            bound
        :param rate: returns at how many bytes a second a body of a length
            is read; with it, ``answer_s`` counts anew with each part that
            comes. None is as fast as it comes
        :raises _http_connection.ConnectError: if nothing was sent
        :raises NoAnswerError: if the answer did not come in time, or the
            connection broke
        """
        request = self._head(method, path, content, headers) + content
        permit = _Permit(self._limiter)
        await permit.take(self._permit_s)
        try:
            return await self._exchange(request, connect_s, answer_s, rate)
        finally:
            permit.give_back()

    async def _exchange(
        self,
        request: bytes,
        connect_s: float,
        answer_s: float | None,
        rate: _http_connection.Rate | None,
    ) -> _http_connection.CallResponse:
        connection = await self._take(connect_s)
        try:
            return await connection.call(request, answer_s, rate)
        except _http_connection.LateAnswerError:
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

    async def _take(self, connect_s: float) -> _http_connection.Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        try:
            with anyio.fail_after(connect_s):
                return await self._connect()
        except (OSError, TimeoutError) as exc:
            raise _http_connection.ConnectError(
                f"no connection: {exc}"
            ) from exc

    async def _connect(self) -> _http_connection.Connection:
        loop = asyncio.get_running_loop()
        if not self._window_bytes:
            _, connection = await loop.create_connection(
                _http_connection.Connection, self._host, self._port
            )
            return connection
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_STREAM)
        try:
            opened.setblocking(False)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Before it is connected: a window that was offered stands.
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
            )
            await loop.sock_connect(opened, (self._host, self._port))
            _, connection = await loop.create_connection(
                _http_connection.Connection, sock=opened
            )
        except BaseException:
            opened.close()
            raise
        return connection
