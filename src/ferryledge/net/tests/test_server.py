"""The HTTP server."""

import asyncio
import gc
import socket
import typing

import anyio
import pytest

from ferryledge import net


_REQUEST = b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n"
#: The head of a request with a body of four bytes.
_POST = b"POST / HTTP/1.1\r\nhost: desk\r\ncontent-length: 4\r\n\r\n"


async def _handle(request: net.Request) -> net.HttpResponse:
    return net.HttpResponse.json(200, {})


def test_address_in_use_raises_an_error() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_handle)
            stop = anyio.Event()
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            with pytest.raises(ExceptionGroup) as error:
                await net.serve_until_cancelled(app, "127.0.0.1", port)
            assert error.group_contains(OSError)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_release_closes_connections_and_new_ones_are_served() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_handle)
            release = anyio.Event()
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event(), release
            )
            first = await anyio.connect_tcp("127.0.0.1", port)
            await first.send(_REQUEST)
            assert (await first.receive()).startswith(b"HTTP/1.1 200")
            release.set()
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await first.receive()
            second = await anyio.connect_tcp("127.0.0.1", port)
            await second.send(_REQUEST)
            assert (await second.receive()).startswith(b"HTTP/1.1 200")
            await first.aclose()
            await second.aclose()
            group.cancel_scope.cancel()

    anyio.run(main)


def test_server_stops_when_its_event_is_set() -> None:
    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_handle)
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            stop.set()
        with pytest.raises(OSError):
            await anyio.connect_tcp("127.0.0.1", port)

    anyio.run(main)


def test_idle_server_sets_no_timers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the periodic timer of the base class of the server."""
    timers: list[float] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_handle)
            await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            loop = asyncio.get_running_loop()
            call_at = loop.call_at

            def record(when: float, *args: typing.Any, **kwargs: typing.Any):
                timers.append(when)
                return call_at(when, *args, **kwargs)

            monkeypatch.setattr(loop, "call_at", record)
            await anyio.sleep(0.35)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(timers) == 1  # The sleep of the test.


def test_address_is_free_once_a_server_is_cancelled() -> None:
    """Guards against listening sockets that stay open until collected."""

    async def serve_once(port: int) -> int:
        async with anyio.create_task_group() as group:
            bound = await group.start(
                net.serve_http,
                net.asgi_app(_handle),
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


@pytest.mark.parametrize("use_uvloop", [False, True])
@pytest.mark.parametrize("is_connected", [False, True])
def test_request_of_a_client_that_has_left_is_not_read(
    is_connected: bool, use_uvloop: bool
) -> None:
    """Guards against work for clients that left while the process was paused.

    Their requests waited in the backlog or on an open connection.
    """
    read: list[bytes] = []

    async def handle(request: net.Request) -> net.HttpResponse:
        read.append(await request.body())
        return net.HttpResponse.json(200, {})

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(handle)
            stop = anyio.Event()
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            client = socket.create_connection(("127.0.0.1", port))
            if is_connected:
                await anyio.sleep(0.05)
            # The event loop stands still until the client has left.
            client.sendall(_POST + b"gone")
            client.close()
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await stream.send(_POST + b"here")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})
    assert read == [b"here"]
