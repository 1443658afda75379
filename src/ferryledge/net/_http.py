"""An HTTP client with persistent connections to a single origin.

Calls account for most of an agent's processor time. The client is therefore
built directly on the event loop's transports and the ``httptools`` parser.
The most recently used connection is reused first.
"""

import asyncio
from collections import abc
import socket
from urllib import parse

import anyio

from ferryledge.net import _http_connection

_DEFAULT_PORT = 80


class _Permit:
    """The permit of one call under the limit of concurrent calls.

    :param limiter: limits the concurrent calls
    """

    def __init__(self, limiter: anyio.CapacityLimiter) -> None:
        self._limiter = limiter
        self._timer: asyncio.TimerHandle | None = None
        self._held = False

    async def acquire(self, max_hold_s: float | None) -> None:
        """Wait for a permit.

        :param max_hold_s: seconds after which the permit is released even if
            the call is still pending; never if none
        """
        try:
            self._limiter.acquire_on_behalf_of_nowait(self)
        except anyio.WouldBlock:
            await self._limiter.acquire_on_behalf_of(self)
        self._held = True
        if max_hold_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max_hold_s, self.release)

    def release(self) -> None:
        """Release the permit; further calls have no effect."""
        if not self._held:
            return
        self._held = False
        if self._timer is not None:
            self._timer.cancel()
        self._limiter.release_on_behalf_of(self)


class HttpClient:
    """An HTTP client for one origin.

    :param url: base URL, such as ``http://127.0.0.1:7000``
    :param connections: maximum number of concurrent calls; further calls
        wait. At most as many idle connections are kept.
    :param replace_idle: whether a call that times out also closes the idle
        connections. They may be unresponsive too, and each would then cost
        another time-out. Leave it off if time-outs last only milliseconds:
        another time-out then costs less than reconnecting.
    :param permit_s: seconds after which a pending call no longer counts
        towards the limit of concurrent calls; defaults to never
    :param window_bytes: size in bytes of the receive buffer of a connection,
        which limits the data in flight; 0 is the system's default
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
        self._max_idle = connections
        self._permit_s = permit_s
        self._window_bytes = window_bytes

    async def close(self) -> None:
        """Close all idle connections."""
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
        rate: _http_connection.ReadRate | None = None,
    ) -> _http_connection.CallResponse:
        """Send a request and return the whole response.

        :param method: the HTTP method
        :param path: path and query
        :param content: the body
        :param headers: additional headers; ``host`` and ``content-type``
            override the defaults
        :param connect_s: time-out for opening a connection, in seconds
        :param answer_s: time-out for the response, in seconds; defaults to
            none
        :param rate: returns the rate in bytes per second at which to read a
            body of the given length; defaults to no limit. With a rate,
            ``answer_s`` restarts whenever a part of the response arrives.
        :raises ConnectError: if no connection could be opened; the request
            was not sent
        :raises NoResponseError: if the response is not received in time, or
            the connection is lost
        """
        request = self._request_head(method, path, content, headers) + content
        permit = _Permit(self._limiter)
        await permit.acquire(self._permit_s)
        try:
            return await self._exchange(request, connect_s, answer_s, rate)
        finally:
            permit.release()

    async def _exchange(
        self,
        request: bytes,
        connect_s: float,
        answer_s: float | None,
        rate: _http_connection.ReadRate | None,
    ) -> _http_connection.CallResponse:
        connection = await self._acquire_connection(connect_s)
        try:
            return await connection.call(request, answer_s, rate)
        except _http_connection.ResponseTimeoutError:
            if self._replace_idle:
                await self.close()
            raise
        finally:
            if connection.reusable and len(self._idle) < self._max_idle:
                self._idle.append(connection)
            else:
                connection.close()

    def _request_head(
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

    async def _acquire_connection(
        self, connect_s: float
    ) -> _http_connection.Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        try:
            with anyio.fail_after(connect_s):
                return await self._connect()
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            raise _http_connection.ConnectError(
                f"can't connect: {exc}"
            ) from exc

    async def _connect(self) -> _http_connection.Connection:
        loop = asyncio.get_running_loop()
        if not self._window_bytes:
            _, connection = await loop.create_connection(
                _http_connection.Connection, self._host, self._port
            )
            return connection
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Must precede the connect: a TCP window that was advertised can't
            # be withdrawn.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
            )
            await loop.sock_connect(sock, (self._host, self._port))
            _, connection = await loop.create_connection(
                _http_connection.Connection, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        return connection
