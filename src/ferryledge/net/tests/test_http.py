"""Calls over kept connections."""

from collections import abc
import itertools
import typing

import anyio
import pytest

from ferryledge import net

Use = abc.Callable[[net.HttpCaller, "_Origin"], abc.Awaitable[None]]

_OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
_CLOSING = (
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}"
)
_CHUNKED = (
    b"HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\n{}\r\n0\r\n\r\n"
)


class _Origin:
    """Answers each request with given bytes and counts connections."""

    def __init__(self) -> None:
        self.answer: bytes | None = _OK
        self.connections = 0
        self.close_after_answer = False
        self.requests: list[bytes] = []

    async def serve(self, stream: typing.Any) -> None:
        self.connections += 1
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if self.answer is None:
                    continue
                await stream.send(self.answer)
                if self.close_after_answer:
                    return


def _run(use: Use) -> _Origin:
    origin = _Origin()

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, origin.serve)
            caller = net.HttpCaller(f"http://127.0.0.1:{port}", 2)
            await use(caller, origin)
            await caller.close()
            group.cancel_scope.cancel()

    anyio.run(main)
    return origin


@pytest.mark.parametrize("answer", [_OK, _CHUNKED])
def test_calls_share_a_connection(answer: bytes) -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.answer = answer
        for _ in range(5):
            response = await caller.call("POST", "/hold", b"{}")
            assert response.content == b"{}"

    assert _run(use).connections == 1


def test_connection_that_the_server_ends_is_not_used_again() -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.answer = _CLOSING
        for _ in range(2):
            assert (await caller.call("GET", "/")).status == 200

    assert _run(use).connections == 2


def test_connection_closed_meanwhile_is_replaced() -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.close_after_answer = True
        for _ in range(2):
            assert (await caller.call("GET", "/")).status == 200
            await anyio.sleep(0.05)

    assert _run(use).connections == 2


def test_missing_answer_is_told_apart_from_a_missing_connection() -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.answer = None
        with pytest.raises(net.NoAnswerError):
            await caller.call("GET", "/", answer_s=0.05)
        nobody = net.HttpCaller("http://127.0.0.1:1", 1)
        with pytest.raises(net.ConnectError):
            await nobody.call("GET", "/")

    _run(use)


def test_unreadable_answer_is_no_answer() -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.answer = b"SMTP ready\r\n\r\n"
        with pytest.raises(net.NoAnswerError):
            await caller.call("GET", "/")

    _run(use)


def test_silent_connection_is_given_up_and_replaced() -> None:
    """One that is silent for good costs a call, and no more."""
    answers = itertools.chain([None], itertools.repeat(_OK))

    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        origin.answer = next(answers)
        with pytest.raises(net.NoAnswerError):
            await caller.call("GET", "/", answer_s=0.05)
        origin.answer = next(answers)
        assert (await caller.call("GET", "/", answer_s=0.5)).status == 200

    assert _run(use).connections == 2


def test_headers_replace_the_usual_ones() -> None:
    async def use(caller: net.HttpCaller, origin: _Origin) -> None:
        await caller.call("GET", "/a?b=c", headers=[("host", "desk.example")])

    (request,) = _run(use).requests
    assert request.startswith(b"GET /a?b=c HTTP/1.1\r\nhost: desk.example\r\n")
