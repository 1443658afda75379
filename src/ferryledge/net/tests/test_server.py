"""Serving HTTP."""

import anyio
import pytest

from ferryledge import net


async def _answer(request: net.Request) -> net.HttpResponse:
    return net.HttpResponse.json(200, {})


def test_address_in_use_is_an_error_and_not_the_end_of_the_process() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_answer)
            stop = anyio.Event()
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            with pytest.raises(ExceptionGroup) as error:
                await net.serve_until_cancelled(app, "127.0.0.1", port)
            assert error.group_contains(OSError)
            group.cancel_scope.cancel()

    anyio.run(main)
