"""Streams between two meshes, over loopback sockets."""

import asyncio
from collections import abc
import contextlib
import dataclasses

import anyio
import msgpack
import msgspec
import pytest

from ferryledge import net
from ferryledge.net import _stream
from ferryledge.soak import _proxy
from ferryledge import wire

pytestmark = pytest.mark.anyio

_KEYS = ("key",)
_HOST = "127.0.0.1"
_READ_BYTES = 64 * 1024
#: Bytes that each side of the authentication sends before its ``Hello``.
_DIALER_PROOF_BYTES = 56
_LISTENER_PROOF_BYTES = 52


@pytest.fixture(params=[False, True], ids=["python", "native"])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, bool]]:
    """Select the loop of asyncio, then uvloop, which daemons use."""
    return "asyncio", {"use_uvloop": request.param}


class _Side:
    """The mesh of one process, and the events of its streams."""

    def __init__(self, role: wire.Role, name: str, life: int = 1) -> None:
        self.events: list[wire.StreamEvent] = []
        self._hello = wire.Hello(role, name, f"{name}.{life}", "north")
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


async def test_message_that_cannot_be_encoded_is_lost_with_its_stream() -> (
    None
):
    """Guards against a value that ends the process that sends it on."""
    odd = wire.EndpointState(capacity=wire.Resources(2**64))
    async with _connected() as pair:
        pair.agent.mesh.send("entry-0", odd)
        assert pair.agent.mesh.unencodable == 1
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        pair.agent.mesh.send("entry-0", wire.GrantRequest(1))
        await _until(lambda: pair.entry.received(wire.GrantRequest(1)))


class _Relay:
    """Passes streams on; holds up one way of a stream from the Hello on.

    What was held is passed on when it is released, even if its sender has
    closed the stream meanwhile.

    :param port: where streams go on loopback
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._holds_forth = False
        self._holds_back = False
        self._released = asyncio.Event()
        #: Whether the receiver has closed a stream that was held up.
        self.is_closed_by_receiver = False

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, _HOST, 0)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def hold_next(self, *, forth: bool) -> None:
        """Hold up one way of the next stream.

        :param forth: whether it is the dialler's bytes that are held up
        """
        self._holds_forth = forth
        self._holds_back = not forth

    def release(self) -> None:
        """Pass on what was held up, and all that follows it."""
        self._released.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        holds_forth, self._holds_forth = self._holds_forth, False
        holds_back, self._holds_back = self._holds_back, False
        far_reader, far_writer = await asyncio.open_connection(
            _HOST, self._port
        )
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._pass_on,
                reader,
                far_writer,
                _DIALER_PROOF_BYTES if holds_forth else 0,
                holds_back,
            )
            group.start_soon(
                self._pass_on,
                far_reader,
                writer,
                _LISTENER_PROOF_BYTES if holds_back else 0,
                holds_forth,
            )

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_after: int,
        comes_from_receiver: bool,
    ) -> None:
        """Pass on one way of a stream until its sender closes it.

        :param held_after: number of bytes after which it is held up; 0 if it
            isn't
        :param comes_from_receiver: whether the other way is held up
        """
        with contextlib.suppress(OSError, EOFError):
            for _ in range(held_after):
                writer.write(await reader.readexactly(1))
            if held_after:
                await self._released.wait()
            while data := await reader.read(_READ_BYTES):
                writer.write(data)
        if comes_from_receiver:
            self.is_closed_by_receiver = True
        if not held_after:
            # The receiver of a late Hello decides on the stream by itself.
            writer.close()


@dataclasses.dataclass
class _RelayedPair:
    agent: _Side
    entry: _Side
    relay: _Relay
    group: anyio.abc.TaskGroup

    async def check_messages(self) -> None:
        """Check that each side receives what the other sends now."""
        self.agent.mesh.send("entry-0", wire.GrantRequest(2))
        await _until(lambda: self.entry.received(wire.GrantRequest(2)))
        self.entry.mesh.send("agent-0", wire.LeaseGrant(2))
        await _until(lambda: self.agent.received(wire.LeaseGrant(2)))


@contextlib.asynccontextmanager
async def _relayed() -> abc.AsyncIterator[_RelayedPair]:
    """Connect an agent to an entry through a relay."""
    agent = _Side(wire.Role.AGENT, "agent-0")
    entry = _Side(wire.Role.ENTRY, "entry-0")
    async with anyio.create_task_group() as group:
        port = await group.start(entry.mesh.listen, _HOST, 0)
        relay = _Relay(port)
        await relay.start()
        address = net.PeerAddress("entry-0", _HOST, relay.port)
        group.start_soon(agent.mesh.keep_dialling, address)
        await _until(lambda: bool(agent.mesh.names() and entry.mesh.names()))
        yield _RelayedPair(agent, entry, relay, group)
        group.cancel_scope.cancel()
    relay.close()


async def test_late_hello_of_an_older_stream_replaces_no_newer_one() -> None:
    """Its messages would be taken for newer than those that came before."""
    async with _relayed() as pair:
        pair.relay.hold_next(forth=True)
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        pair.agent.mesh.send("entry-0", wire.GrantRequest(1))
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        await _until(lambda: pair.agent.count(wire.PeerUp) == 3)
        await _until(lambda: pair.entry.count(wire.PeerUp) == 2)
        pair.relay.release()
        await _until(
            lambda: (
                pair.relay.is_closed_by_receiver
                or pair.entry.received(wire.GrantRequest(1))
            )
        )
        assert not pair.entry.received(wire.GrantRequest(1))
        assert pair.entry.count(wire.PeerUp) == 2
        assert pair.entry.count(wire.PeerDown) == 1
        await pair.check_messages()
        assert pair.agent.count(wire.PeerUp) == 3
        assert not pair.entry.mesh.refused
        assert pair.entry.mesh.superseded == 1


async def test_late_answer_to_an_older_dial_replaces_no_newer_stream() -> None:
    """Two dials run side by side, and the first is answered last."""
    async with _relayed() as pair:
        pair.relay.hold_next(forth=False)
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        # The entry closes the first stream, and the agent dials again.
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        await _until(lambda: pair.entry.count(wire.PeerUp) == 3)
        pair.relay.release()
        await _until(
            lambda: (
                pair.relay.is_closed_by_receiver
                or pair.agent.count(wire.PeerUp) == 3
            )
        )
        assert pair.agent.count(wire.PeerUp) == 2
        assert pair.agent.count(wire.PeerDown) == 1
        await pair.check_messages()
        assert not pair.agent.mesh.refused
        assert pair.agent.mesh.superseded == 1


async def test_late_hello_of_a_former_incarnation_is_refused() -> None:
    async with _relayed() as pair:
        pair.relay.hold_next(forth=True)
        pair.group.start_soon(pair.agent.mesh.reopen, "entry-0")
        await _until(lambda: pair.agent.count(wire.PeerUp) == 2)
        pair.agent.mesh.stop_dialling("entry-0")
        successor = _Side(wire.Role.AGENT, "agent-0", 2)
        address = net.PeerAddress("entry-0", _HOST, pair.relay.port)
        pair.group.start_soon(successor.mesh.keep_dialling, address)
        await _until(lambda: pair.entry.count(wire.PeerUp) == 2)
        pair.relay.release()
        await _until(
            lambda: (
                pair.relay.is_closed_by_receiver
                or pair.entry.count(wire.PeerUp) == 3
            )
        )
        ups = [
            event.hello.incarnation
            for event in pair.entry.events
            if isinstance(event, wire.PeerUp)
        ]
        assert ups == ["agent-0.1", "agent-0.2"]
        successor.mesh.send("entry-0", wire.GrantRequest(3))
        await _until(lambda: pair.entry.received(wire.GrantRequest(3)))
        assert pair.entry.mesh.superseded == 1


async def _dial_as_older_build(port: int) -> _stream.Stream:
    """Open a stream whose ``Hello`` has no number."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(_stream.Stream, _HOST, port)
    await wire.connect(stream, _KEYS)
    hello = wire.Hello(wire.Role.AGENT, "agent-0", "agent-0.1", "north")
    array = msgspec.to_builtins(hello)
    stream.write(msgpack.packb(array[: array.index("north") + 1]))
    return stream


async def test_stream_of_an_older_build_replaces_the_one_before() -> None:
    entry = _Side(wire.Role.ENTRY, "entry-0")
    async with anyio.create_task_group() as group:
        port = await group.start(entry.mesh.listen, _HOST, 0)
        for number in range(1, 4):
            stream = await _dial_as_older_build(port)
            await _until(lambda n=number: entry.count(wire.PeerUp) == n)
            stream.write(wire.encode(wire.GrantRequest(number)))
            request = wire.GrantRequest(number)
            await _until(lambda r=request: entry.received(r))
        assert entry.count(wire.PeerDown) == 2
        group.cancel_scope.cancel()
