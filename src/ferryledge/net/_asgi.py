"""A minimal ASGI layer: one handler, size-limited bodies, JSON responses."""

from collections import abc
import json
import typing
from urllib import parse

import anyio
from anyio import lowlevel
import loguru
import msgspec

#: Maximum size of a request body in bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024
#: Time limit for receiving a request body, in seconds.
BODY_TIMEOUT_S = 10.0
#: Iterations of the event loop after which the end of a connection is known
#: that arrived together with its request.
_END_ITERATIONS = 2

Scope = typing.Any
Receive = abc.Callable[[], abc.Awaitable[typing.Any]]
Send = abc.Callable[[typing.Any], abc.Awaitable[None]]


class BodyError(Exception):
    """A request body is incomplete, too large or too slow.

    :param status: the HTTP status of the response
    :param message: what the client can do about it
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        #: The HTTP status of the response.
        self.status = status


class HttpResponse(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"
    #: Further chunks of the body, sent as they become available.
    stream: abc.AsyncIterator[bytes] | None = None

    def closing(self) -> "HttpResponse":
        """Return this response with a ``connection: close`` header."""
        headers = (*self.headers, ("connection", "close"))
        return msgspec.structs.replace(self, headers=headers)

    @classmethod
    def json(
        cls,
        status: int,
        value: object,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> "HttpResponse":
        """Return a response whose body is a value as JSON."""
        return cls(status, json.dumps(value).encode(), headers)


class Request:
    """An HTTP request."""

    def __init__(self, scope: Scope, receive: Receive) -> None:
        self._scope = scope
        self._receive = receive

    @property
    def method(self) -> str:
        """The method in upper case."""
        return typing.cast(str, self._scope["method"])

    @property
    def path(self) -> str:
        """The path without the query."""
        return typing.cast(str, self._scope["path"])

    @property
    def parts(self) -> tuple[str, ...]:
        """The non-empty segments of the path."""
        return tuple(part for part in self.path.split("/") if part)

    def query(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter, or the default."""
        raw = self._scope["query_string"].decode("latin-1")
        values = parse.parse_qs(raw).get(name)
        return values[0] if values else default

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        wanted = name.lower().encode("latin-1")
        for key, value in self._scope["headers"]:
            if key == wanted:
                return typing.cast(str, value.decode("latin-1"))
        return ""

    async def body(self) -> bytes:
        """Return the whole body.

        :raises BodyError: if the body is too large, or isn't received in time,
            or the client disconnects
        """
        # After a pause of this process, requests are read whose clients have
        # left and sent them again elsewhere.
        for _ in range(_END_ITERATIONS):
            await lowlevel.checkpoint()
        chunks: list[bytes] = []
        size = 0
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                while True:
                    event = await self._receive()
                    if event["type"] == "http.disconnect":
                        raise BodyError(400, "the connection was closed")
                    chunk = event.get("body", b"")
                    size += len(chunk)
                    if size > MAX_BODY_BYTES:
                        raise BodyError(
                            413, f"send at most {MAX_BODY_BYTES} bytes"
                        )
                    chunks.append(chunk)
                    if not event.get("more_body"):
                        return b"".join(chunks)
        except TimeoutError as exc:
            message = f"send the whole body within {BODY_TIMEOUT_S:g} seconds"
            raise BodyError(408, message) from exc

    async def disconnected(self) -> None:
        """Return when the client has disconnected."""
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                return


Handler = abc.Callable[[Request], abc.Awaitable[HttpResponse]]


def asgi_app(handler: Handler) -> typing.Any:
    """Return an ASGI application that passes all requests to a handler."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        response = await _respond(handler, Request(scope, receive))
        headers = [(b"content-type", response.content_type.encode("latin-1"))]
        headers += [
            (key.encode("latin-1"), value.encode("latin-1"))
            for key, value in response.headers
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await _send_body(response, send)

    return app


async def _respond(handler: Handler, request: Request) -> HttpResponse:
    try:
        return await handler(request)
    except BodyError as exc:
        return HttpResponse.json(
            exc.status,
            {"error": str(exc), "field": "body"},
            (("connection", "close"),),
        )
    except Exception:
        loguru.logger.exception("request failed", step=request.path)
        return HttpResponse.json(500, {"error": "internal error"})


async def _send_body(response: HttpResponse, send: Send) -> None:
    more = response.stream is not None
    event = {
        "type": "http.response.body",
        "body": response.body,
        "more_body": more,
    }
    await send(event)
    if response.stream is None:
        return
    async for chunk in response.stream:
        await send({**event, "body": chunk})
    await send({**event, "body": b"", "more_body": False})
