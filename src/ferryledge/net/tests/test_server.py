"""Serving HTTP."""

import asyncio
import gc
import typing

import anyio
import pytest

from ferryledge import net


_REQUEST = b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n"


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


def test_released_connections_close_while_new_ones_are_served() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_answer)
            release = anyio.Event()
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event(), release
            )
            unused = await anyio.connect_tcp("127.0.0.1", port)
            await unused.send(_REQUEST)
            assert (await unused.receive()).startswith(b"HTTP/1.1 200")
            release.set()
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await unused.receive()
            fresh = await anyio.connect_tcp("127.0.0.1", port)
            await fresh.send(_REQUEST)
            assert (await fresh.receive()).startswith(b"HTTP/1.1 200")
            await unused.aclose()
            await fresh.aclose()
            group.cancel_scope.cancel()

    anyio.run(main)


def test_server_ends_with_its_event() -> None:
    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_answer)
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            stop.set()
        with pytest.raises(OSError):
            await anyio.connect_tcp("127.0.0.1", port)

    anyio.run(main)


def test_server_without_requests_does_not_wake(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer each tenth of a second took 20 wake-ups a second at rest.

    An agent serves heartbeats and figures, each with a server of its own,
    and a heartbeat comes each 1.5 s.
    """
    timers: list[float] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_answer)
            await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            loop = asyncio.get_running_loop()
            call_at = loop.call_at

            def count(when: float, *rest: typing.Any, **names: typing.Any):
                timers.append(when)
                return call_at(when, *rest, **names)

            monkeypatch.setattr(loop, "call_at", count)
            await anyio.sleep(0.35)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(timers) == 1  # Only the test's own.


def test_address_is_free_once_a_server_is_cancelled() -> None:
    """Its sockets stayed open until they were collected as garbage.

    Two soaks in one process take the same addresses one after the other; the
    second one ended in "Address already in use" now and then.
    """

    async def serve_once(port: int) -> int:
        async with anyio.create_task_group() as group:
            bound = await group.start(
                net.serve_http,
                net.asgi_app(_answer),
                "127.0.0.1",
                port,
                anyio.Event(),
            )
            group.cancel_scope.cancel()
        return int(bound)

    gc.disable()
    try:
        port = anyio.run(serve_once, 0)
        assert anyio.run(serve_once, port) == port
    finally:
        gc.enable()
