"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections import abc
import dataclasses
import json
import typing

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as a server reads it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, typing.Any]:
        """Return the body, decoded from JSON."""
        return json.loads(self.body or b"{}")


@dataclasses.dataclass(frozen=True)
class Response:
    """A response; ``None`` instead of one resets the connection."""

    status: int
    body: bytes = b""

    @classmethod
    def json(cls, status: int, value: object) -> "Response":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(value).encode())


Handler = abc.Callable[[Request], abc.Awaitable[Response | None]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return first, headers, await _read_chunks(reader)
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def _query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {name: value for name, _, value in pairs}


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests with keep-alive until the server is closed."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                response = await handler(
                    Request(method, path, _query(query), headers, body)
                )
                if response is None:
                    writer.transport.abort()
                    return
                reason = _REASONS.get(response.status, "Status")
                head = (
                    f"HTTP/1.1 {response.status} {reason}\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass  # The client left, or the case is over.
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, backlog=256)


class Connection:
    """A client's connection; carries one call at a time."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        """Connect to a server."""
        connection = cls()
        connection._reader, connection._writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 2.0
        )
        return connection

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: abc.Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Response:
        """Send a request and return the response.

        :raises OSError: if the connection breaks or times out
        """
        assert self._reader is not None and self._writer is not None
        content = b"" if body is None else json.dumps(body).encode()
        fields = {
            "host": "stand-in",
            "content-type": "application/json",
            **(headers or {}),
            "content-length": str(len(content)),
        }
        head = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        self._writer.write(
            f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + content
        )
        try:
            first, _, answer = await asyncio.wait_for(
                _read_message(self._reader), timeout_s
            )
        except (asyncio.IncompleteReadError, TimeoutError) as exc:
            raise OSError("no response") from exc
        return Response(int(first.split(" ")[1]), answer)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Response:
    """Make one call over a connection of its own."""
    connection = await Connection.open(host, port)
    try:
        return await connection.call(method, path, body, headers, timeout_s)
    finally:
        connection.close()
