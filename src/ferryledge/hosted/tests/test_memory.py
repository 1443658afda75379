"""What an agent keeps of its endpoint, against the stand-in store."""

from collections import abc

import anyio
import pytest

from ferryledge.hosted import _memory
from ferryledge import leases
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin as platform_standin
from ferryledge import wire

_SEEN = leases.EndpointHeartbeat(
    "i-1",
    "desk",
    "127.0.0.1:1",
    wire.Resources(16000, 65536, 0),
    ("a", "r1-3"),
    False,
    0.0,
    482113,
    4,
)


@pytest.fixture
def server() -> platform_standin.StoreServer:
    return platform_standin.StoreServer()


def _with_memory(
    server: platform_standin.StoreServer,
    use: abc.Callable[[_memory.EndpointMemory], abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(server.handle)
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            store = platform.StoreClient(f"127.0.0.1:{port}")
            memory = _memory.EndpointMemory(store, "side-1", 12)
            group.start_soon(memory.run)
            await use(memory)
            group.cancel_scope.cancel()

    anyio.run(main)


async def _recall_until_found(
    memory: _memory.EndpointMemory,
) -> leases.EndpointHeartbeat:
    while True:
        seen = await memory.recall()
        if seen is not None:
            return seen
        await anyio.sleep(0.01)


def test_nothing_is_recalled_at_the_first_start(
    server: platform_standin.StoreServer,
) -> None:
    async def use(memory: _memory.EndpointMemory) -> None:
        assert await memory.recall() is None

    _with_memory(server, use)


def test_what_was_remembered_is_recalled(
    server: platform_standin.StoreServer,
) -> None:
    async def use(memory: _memory.EndpointMemory) -> None:
        memory.remember(_SEEN)
        seen = await _recall_until_found(memory)
        assert seen.has_same_description(_SEEN)

    _with_memory(server, use)


def test_a_busy_store_is_tried_again(
    server: platform_standin.StoreServer,
) -> None:
    server.behaviour = platform_standin.StoreBehaviour.BUSY

    async def use(memory: _memory.EndpointMemory) -> None:
        memory.remember(_SEEN)
        await anyio.sleep(0.1)
        server.behaviour = platform_standin.StoreBehaviour.UP
        seen = await _recall_until_found(memory)
        assert seen.has_same_description(_SEEN)

    _with_memory(server, use)


def test_a_damaged_record_is_passed_over(
    server: platform_standin.StoreServer,
) -> None:
    server.put(_memory.ENDPOINTS_TOPIC, "side-1", b"{}")

    async def use(memory: _memory.EndpointMemory) -> None:
        assert await memory.recall() is None

    _with_memory(server, use)
