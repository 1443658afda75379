"""Streams between two meshes, over loopback sockets."""

from collections import abc
import contextlib
import dataclasses

import anyio
import pytest

from ferryledge import net
from ferryledge.soak import _proxy
from ferryledge import wire

pytestmark = pytest.mark.anyio

_KEYS = ("key",)
_HOST = "127.0.0.1"


@pytest.fixture(params=[False, True], ids=["python", "native"])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, bool]]:
    """Select the loop of asyncio, then uvloop, which daemons use."""
    return "asyncio", {"use_uvloop": request.param}


class _Side:
    """The mesh of one process, and the events of its streams."""

    def __init__(self, role: wire.Role, name: str) -> None:
        self.events: list[wire.StreamEvent] = []
        self._hello = wire.Hello(role, name, f"{name}.1", "north")
        self.mesh = net.Mesh(_KEYS, lambda: self._hello, self.events.append)

    def count(self, kind: type) -> int:
        """Return the number of events of a kind."""
        return sum(isinstance(event, kind) for event in self.events)

    def received(self, message: wire.Message) -> bool:
        """Return whether a message was received."""
        return any(
            isinstance(event, wire.Received) and event.message == message
            for event in self.events
        )


@dataclasses.dataclass
class _Pair:
    agent: _Side
    entry: _Side
    proxy: _proxy.Proxy
    group: anyio.abc.TaskGroup


async def _until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def _connected() -> abc.AsyncIterator[_Pair]:
    """Connect an agent to an entry through a proxy."""
    agent = _Side(wire.Role.AGENT, "agent-0")
    entry = _Side(wire.Role.ENTRY, "entry-0")
    async with anyio.create_task_group() as group:
        port = await group.start(entry.mesh.listen, _HOST, 0)
        proxy = _proxy.Proxy((_HOST, 0), (_HOST, port))
        await proxy.start()
        address = net.PeerAddress("entry-0", _HOST, proxy.port)
        group.start_soon(agent.mesh.keep_dialling, address)
        await _until(lambda: bool(agent.mesh.names() and entry.mesh.names()))
        yield _Pair(agent, entry, proxy, group)
        group.cancel_scope.cancel()
    await proxy.close()


async def test_new_stream_replaces_an_unresponsive_one() -> None:
    async with _connected() as pair:
        pair.proxy.silence()
        pair.agent.mesh.send("entry-0", wire.GrantRequest(1))
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        await _until(lambda: pair.entry.count(wire.PeerUp) == 2)
        pair.agent.mesh.send("entry-0", wire.GrantRequest(2))
        await _until(lambda: pair.entry.received(wire.GrantRequest(2)))
        pair.entry.mesh.send("agent-0", wire.LeaseGrant(2))
        await _until(lambda: pair.agent.received(wire.LeaseGrant(2)))
        assert not pair.entry.received(wire.GrantRequest(1))
        # The dialling loop doesn't open a third stream.
        await anyio.sleep(0.3)
        assert pair.agent.count(wire.PeerUp) == 2


async def test_keep_cancels_the_replacement_stream() -> None:
    async with _connected() as pair:
        pair.proxy.weather.delay_s = 0.05
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        await anyio.sleep(0.02)
        pair.agent.mesh.cancel_reopen("entry-0")
        pair.agent.mesh.send("entry-0", wire.GrantRequest(1))
        await _until(lambda: pair.entry.received(wire.GrantRequest(1)))
        await anyio.sleep(0.3)
        assert pair.agent.count(wire.PeerUp) == 1
        assert not pair.agent.count(wire.PeerDown)


async def test_closed_stream_is_dialled_again() -> None:
    async with _connected() as pair:
        pair.proxy.silence()
        pair.agent.mesh.close("entry-0")
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        pair.agent.mesh.send("entry-0", wire.GrantRequest(1))
        await _until(lambda: pair.entry.received(wire.GrantRequest(1)))
