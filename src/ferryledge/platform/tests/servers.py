"""Servers that stand for the store or an endpoint."""

from collections import abc

import anyio

from ferryledge import net

Use = abc.Callable[[int], abc.Awaitable[None]]


def serve(handler: net.Handler, use: Use) -> None:
    """Serve calls while a client uses the server.

    :param handler: answers each call
    :param use: the client; called with the server's port
    """

    async def main() -> None:
        async with anyio.create_task_group() as group:
            port = await group.start(
                net.serve_http,
                net.asgi_app(handler),
                "127.0.0.1",
                0,
                anyio.Event(),
            )
            await use(port)
            group.cancel_scope.cancel()

    anyio.run(main)


def serve_body(content: bytes, use: Use) -> None:
    """Answer each call with the same body while a client uses the server."""

    async def answer(request: net.Request) -> net.HttpResponse:
        return net.HttpResponse(200, content)

    serve(answer, use)
