"""HTTP calls over kept connections, one origin a caller.

The library's own pool looks at every connection, with a system call each,
whenever a request begins or ends; at a few dozen connections that costs
more than the request. Here the connection used last is used next, and only
that one is looked at.
"""

from collections import abc
import contextlib
import typing

import anyio
import httpcore


class HttpCaller:
    """Calls one origin.

    :param url: base address, such as ``http://127.0.0.1:7000``
    :param connections: most connections at once; further calls wait
    """

    def __init__(self, url: str, connections: int) -> None:
        self._url = url.rstrip("/")
        self._origin = httpcore.URL(self._url + "/").origin
        self._limiter = anyio.CapacityLimiter(connections)
        self._idle: list[typing.Any] = []

    async def close(self) -> None:
        """Close all connections that are not in use."""
        while self._idle:
            await self._idle.pop().aclose()

    async def call(
        self,
        method: str,
        path: str,
        content: bytes = b"",
        headers: abc.Sequence[tuple[str, str]] = (),
        connect_s: float = 2.0,
        answer_s: float | None = None,
    ) -> typing.Any:
        """Return the whole response.

        :param method: the HTTP method
        :param path: path and query
        :param content: the body
        :param headers: further headers; a ``host`` replaces the usual one
        :param connect_s: seconds to open a connection
        :param answer_s: seconds to wait for each part of the answer; none
            is without bound
        :raises httpcore.ConnectError: if nothing was sent
        :raises httpcore.ReadTimeout: if the answer did not come in time
        :raises httpcore.NetworkError: if the connection broke
        """
        names = {name for name, _ in headers}
        usual = [
            ("host", self._url.partition("://")[2]),
            ("content-type", "application/json"),
        ]
        fields = [one for one in usual if one[0] not in names]
        async with self._limiter, self._connection() as connection:
            return await connection.request(
                method,
                self._url + path,
                headers=[*fields, *headers],
                content=content,
                extensions={
                    "timeout": {"connect": connect_s, "read": answer_s}
                },
            )

    @contextlib.asynccontextmanager
    async def _connection(self) -> abc.AsyncIterator[typing.Any]:
        connection = await self._take()
        try:
            yield connection
        finally:
            if connection.is_idle() and not connection.is_closed():
                self._idle.append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    async def _take(self) -> typing.Any:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=30.0
        )
