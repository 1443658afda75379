"""HTTP calls over persistent connections."""

from collections import abc
import itertools
import typing

import anyio
import pytest

from ferryledge import net

Use = abc.Callable[[net.HttpClient, "_Origin"], abc.Awaitable[None]]

#: Time limit of a test whose call hangs, in seconds.
_HANG_S = 20.0
_OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
_CLOSING = (
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}"
)
_CHUNKED = (
    b"HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\n{}\r\n0\r\n\r\n"
)


class _Origin:
    """Sends a fixed response to each request and counts connections."""

    def __init__(self) -> None:
        self.answer: bytes | None = _OK
        self.connections = 0
        self.close_after_response = False
        self._unresponsive = 0
        self.requests: list[bytes] = []

    def stop_responding(self) -> None:
        """Stop responding on the connections that are open now."""
        self._unresponsive = self.connections

    async def serve(self, stream: typing.Any) -> None:
        self.connections += 1
        number = self.connections
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if self.answer is None or number <= self._unresponsive:
                    continue
                await stream.send(self.answer)
                if self.close_after_response:
                    return


def _run(
    use: Use, replace_idle: bool = False, permit_s: float | None = None
) -> _Origin:
    origin = _Origin()

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, origin.serve)
            url = f"http://127.0.0.1:{port}"
            caller = net.HttpClient(url, 2, replace_idle, permit_s)
            await use(caller, origin)
            await caller.close()
            group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
    return origin


@pytest.mark.parametrize("answer", [_OK, _CHUNKED])
def test_calls_share_a_connection(answer: bytes) -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = answer
        for _ in range(5):
            response = await caller.call("POST", "/hold", b"{}")
            assert response.content == b"{}"

    assert _run(use).connections == 1


def test_connection_with_close_header_is_not_reused() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = _CLOSING
        for _ in range(2):
            assert (await caller.call("GET", "/")).status == 200

    assert _run(use).connections == 2


def test_idle_connection_closed_by_the_server_is_replaced() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.close_after_response = True
        for _ in range(2):
            assert (await caller.call("GET", "/")).status == 200
            await anyio.sleep(0.05)

    assert _run(use).connections == 2


def test_missing_response_and_failed_connect_raise_different_errors() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = None
        with pytest.raises(net.NoResponseError):
            await caller.call("GET", "/", answer_s=0.05)
        unreachable = net.HttpClient("http://127.0.0.1:1", 1)
        with pytest.raises(net.ConnectError):
            await unreachable.call("GET", "/")

    _run(use)


def test_malformed_response_raises_no_answer_error() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = b"SMTP ready\r\n\r\n"
        with pytest.raises(net.NoResponseError):
            await caller.call("GET", "/")

    _run(use)


def test_unresponsive_connection_is_replaced() -> None:
    """An unresponsive connection costs a single call."""
    responses = itertools.chain([None], itertools.repeat(_OK))

    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = next(responses)
        with pytest.raises(net.NoResponseError):
            await caller.call("GET", "/", answer_s=0.05)
        origin.answer = next(responses)
        assert (await caller.call("GET", "/", answer_s=0.5)).status == 200

    assert _run(use).connections == 2


@pytest.mark.parametrize(
    ("replace_idle", "expected_failures"), [(1, 1), (0, 2)]
)
def test_time_out_replaces_idle_connections(
    replace_idle: int, expected_failures: int
) -> None:
    """When all connections become unresponsive, only one call fails."""

    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(2):
                group.start_soon(caller.call, "GET", "/")
        origin.stop_responding()
        failures = 0
        for _ in range(3):
            try:
                await caller.call("GET", "/", answer_s=0.5)
            except net.NoResponseError:
                failures += 1
        assert failures == expected_failures

    _run(use, replace_idle=bool(replace_idle))


def test_unanswered_calls_release_their_permits() -> None:
    """Guards against calls that queue behind unanswered ones.

    Otherwise orders to an endpoint time out while lost ones hold all permits.
    """

    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        origin.answer = None
        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(caller.call, "GET", "/lost")
            with anyio.fail_after(_HANG_S):
                while len(origin.requests) < 4:
                    await anyio.sleep(0.001)
                origin.answer = _OK
                response = await caller.call("GET", "/")
            assert response.status == 200
            group.cancel_scope.cancel()

    assert _run(use, permit_s=0.005).connections == 5


def test_idle_connections_are_limited() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        for _ in range(2):
            async with anyio.create_task_group() as group:
                for _ in range(6):
                    group.start_soon(caller.call, "GET", "/")

    assert _run(use, permit_s=10.0).connections == 2


def test_headers_override_the_defaults() -> None:
    async def use(caller: net.HttpClient, origin: _Origin) -> None:
        await caller.call("GET", "/a?b=c", headers=[("host", "desk.example")])

    (request,) = _run(use).requests
    assert request.startswith(b"GET /a?b=c HTTP/1.1\r\nhost: desk.example\r\n")


@pytest.mark.parametrize("host", ["a..b", "x" * 300])
def test_invalid_host_is_a_connect_error(host: str) -> None:
    """Guards against an odd address that ends the process."""

    async def main() -> None:
        client = net.HttpClient(f"http://{host}:80", 1)
        with pytest.raises(net.ConnectError):
            await client.call("GET", "/")

    anyio.run(main)
