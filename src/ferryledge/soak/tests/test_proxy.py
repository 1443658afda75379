"""The proxy between the processes of a soak."""

import asyncio
from collections import abc
import contextlib
import random
import typing

import pytest

from ferryledge.soak import _proxy

_HOST = "127.0.0.1"
_Talk = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Dial = abc.Callable[[bytes], abc.Awaitable[_Talk]]
Use = abc.Callable[
    [_proxy.Proxy, Dial], abc.Coroutine[typing.Any, typing.Any, None]
]


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


def _play(use: Use) -> None:
    """Play with a proxy before a server that echoes what it gets."""

    async def main() -> None:
        server = await asyncio.start_server(_echo, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        proxy = _proxy.Proxy((_HOST, 0), (_HOST, port))
        await proxy.start()

        async def dial(first: bytes) -> _Talk:
            reader, writer = await asyncio.open_connection(_HOST, proxy.port)
            writer.write(first)
            assert await reader.readexactly(len(first)) == first
            return reader, writer

        await use(proxy, dial)
        await proxy.close()
        server.close()

    asyncio.run(main())


def test_one_process_is_cut_off_and_restored() -> None:
    async def use(proxy: _proxy.Proxy, dial: Dial) -> None:
        first = await dial(b"..agent-1.")
        other = await dial(b"..agent-12.")
        proxy.cut_off("agent-1")
        for talk in (first, other):
            talk[1].write(b"x")
        assert await other[0].readexactly(1) == b"x"
        held = asyncio.create_task(first[0].readexactly(1))
        await asyncio.sleep(0.05)
        assert not held.done()
        proxy.restore("agent-1")
        assert await held == b"x"

    _play(use)


@pytest.mark.parametrize(("share", "broken"), [(0.0, 0), (1.0, 4)])
def test_share_of_the_connections_breaks(share: float, broken: int) -> None:
    async def use(proxy: _proxy.Proxy, dial: Dial) -> None:
        talks = [await dial(b"..agent-%d." % n) for n in range(4)]
        proxy.reset_some(random.Random(1), share)
        ends = 0
        for reader, writer in talks:
            writer.write(b"x")
            try:
                ends += not await reader.read(1)
            except ConnectionResetError:
                ends += 1
        assert ends == broken

    _play(use)
