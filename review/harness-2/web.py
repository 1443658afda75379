"""A small HTTP/1.1 server and client over asyncio, for the stand-ins."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json

_MAX_HEAD = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as a server reads it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response; ``silent`` ones are never sent."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    silent: bool = False

    @classmethod
    def of(cls, status: int, value: object = None) -> "Response":
        """Return a response with a JSON body."""
        text = b"" if value is None else json.dumps(value).encode()
        return cls(status, text)

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


SILENCE = Response(0, silent=True)
Handler = abc.Callable[[Request], abc.Awaitable[Response]]


async def _read_head(reader: asyncio.StreamReader) -> list[str]:
    head = await reader.readuntil(b"\r\n\r\n")
    return head.decode("latin-1").split("\r\n")[:-2]


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first, *rest = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    headers = _parse_headers(rest)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, raw_query = target.partition("?")
    pairs = (pair.partition("=") for pair in raw_query.split("&") if pair)
    query = {name: value for name, _, value in pairs}
    return Request(method, path, query, headers, body)


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; connections stay open until their client ends them."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                request = await _read_request(reader)
                response = await handler(request)
                if response.silent:
                    # Nothing more is said on this connection.
                    await reader.read()
                    break
                head = (
                    f"HTTP/1.1 {response.status} -\r\n"
                    f"content-type: {response.content_type}\r\n"
                    f"content-length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(
        connected, host, port, limit=_MAX_HEAD, backlog=512
    )


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response from a connection."""
    first, *rest = await _read_head(reader)
    status = int(first.split(" ")[1])
    headers = _parse_headers(rest)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Response(status, body)


def encode_request(
    method: str, path: str, headers: dict[str, str], value: object = None
) -> bytes:
    """Return the bytes of a request with a JSON body, or none."""
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    lines += [f"Content-Type: application/json\r\nContent-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    value: object = None,
    timeout_s: float = 1.0,
) -> Response | None:
    """Make one call on a connection of its own; ``None`` if it failed."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                headers = {"Host": f"{address[0]}:{address[1]}"}
                writer.write(encode_request(method, path, headers, value))
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
