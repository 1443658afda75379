"""A server that answers each call with the same body."""

from collections import abc

import anyio

from ferryledge import net


def serve(
    content: bytes, use: abc.Callable[[int], abc.Awaitable[None]]
) -> None:
    """Run a client of a server that answers each call with a body."""

    async def answer(request: net.Request) -> net.HttpResponse:
        return net.HttpResponse(200, content)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            port = await group.start(
                net.serve_http, net.asgi_app(answer), "127.0.0.1", 0,
                anyio.Event(),
            )  # fmt: skip
            await use(port)
            group.cancel_scope.cancel()

    anyio.run(main)
