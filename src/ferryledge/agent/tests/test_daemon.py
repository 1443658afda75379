"""Planned stops of an agent beside entries whose streams break."""

import contextlib
import dataclasses

import anyio
import pytest

from ferryledge import agent
from ferryledge import net
from ferryledge.soak import _proxy
from ferryledge import wire

pytestmark = pytest.mark.anyio

_KEY = "test-key-test-key-test"
_HOST = "127.0.0.1"
#: Seconds for which a leaving agent keeps its tickets.
_LINGER_S = 0.3
#: Longer than a stop takes that waits for nobody.
_STOP_S = _LINGER_S + 0.5
#: Shorter than an agent waits for an entry that confirms nothing.
_LIMIT_S = 5.0
#: So many of the largest results do not fit the buffers of sockets.
_TASKS = 14
_LARGE_RESULT = b'"' + b"x" * 1_000_000 + b'"'


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


class _Entry:
    """The streams of an entry that orders nothing by itself."""

    def __init__(self):
        self.events = []
        self.confirms = True
        self.mesh = net.Mesh((_KEY,), self._hello, self._receive)

    def _hello(self):
        return wire.Hello(wire.Role.ENTRY, "entry-1", "e1", "north")

    def _receive(self, event):
        self.events.append(event)
        if event == wire.Received("agent-1", wire.Leaving()) and self.confirms:
            self.confirm()

    def confirm(self):
        self.send(wire.Leaving(confirms=True))

    def send(self, message):
        self.mesh.send("agent-1", message)

    def count(self, kind):
        """Return the number of events or messages of a kind."""
        subjects = [getattr(one, "message", one) for one in self.events]
        return sum(isinstance(one, kind) for one in subjects)


class _Endpoint:
    """Ends its tasks when it is told."""

    def __init__(self):
        self.started = anyio.Event()
        self.release = anyio.Event()
        self.result = b"1"

    async def handle(self, request):
        await request.body()
        self.started.set()
        await self.release.wait()
        return net.HttpResponse(200, self.result)


@dataclasses.dataclass
class _Stop:
    """An agent, the stream of an entry to it, and what ends the agent."""

    entry: _Entry
    endpoint: _Endpoint
    proxy: _proxy.Proxy
    address: net.PeerAddress
    group: anyio.abc.TaskGroup
    drain: anyio.Event
    ended: anyio.Event

    async def connect(self):
        ups = self.entry.count(wire.PeerUp)
        self.group.start_soon(self.entry.mesh.keep_dialling, self.address)
        await _until(lambda: self.entry.count(wire.PeerUp) > ups)

    async def disconnect(self):
        self.entry.mesh.stop_dialling("agent-1")
        self.entry.mesh.close("agent-1")
        await anyio.sleep(0.05)

    async def start_tasks(self, count=1):
        (up,) = [e for e in self.entry.events if isinstance(e, wire.PeerUp)]
        self.entry.send(
            wire.StartTasks(
                up.hello.incarnation,
                "e1.1",
                "s",
                5.0,
                0,
                tuple(range(count)),
                (b"1",) * count,
            )
        )
        with anyio.fail_after(_LIMIT_S):
            await self.endpoint.started.wait()


async def _until(condition):
    with anyio.fail_after(_LIMIT_S):
        while not condition():
            await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def _running():
    """Run an agent whose endpoint has one task to run."""
    endpoint = _Endpoint()
    async with anyio.create_task_group() as group:
        port = await group.start(
            net.serve_http,
            net.asgi_app(endpoint.handle),
            _HOST,
            0,
            anyio.Event(),
        )
        daemon = agent.Agent(
            agent.AgentSettings(
                name="agent-1",
                zone="north",
                peer_keys=_KEY,
                endpoint_url=f"http://{_HOST}:{port}",
                slots=_TASKS,
                ticket_linger_s=_LINGER_S,
            )
        )
        drain = anyio.Event()
        ended = anyio.Event()

        async def run(*, task_status):
            await daemon.run(drain, task_status=task_status)
            ended.set()

        await group.start(run)
        proxy = _proxy.Proxy((_HOST, 0), (_HOST, daemon.peer_port))
        await proxy.start()
        address = net.PeerAddress("agent-1", _HOST, proxy.port)
        stop = _Stop(_Entry(), endpoint, proxy, address, group, drain, ended)
        await stop.connect()
        yield stop
        group.cancel_scope.cancel()
    await proxy.close()


async def test_stop_ends_once_entries_know_of_it():
    async with _running() as stop:
        stop.drain.set()
        with anyio.fail_after(_LIMIT_S):
            await stop.ended.wait()
        assert stop.entry.count(wire.Leaving) == 1


async def test_stop_waits_for_an_entry_that_connects_again_meanwhile():
    """Guards against orders of an entry that was greeted before the stop."""
    async with _running() as stop:
        stop.drain.set()
        await _until(lambda: stop.entry.count(wire.Leaving) == 1)
        await stop.disconnect()
        stop.entry.confirms = False
        await stop.connect()
        await anyio.sleep(_STOP_S)
        assert not stop.ended.is_set()
        stop.entry.confirm()
        with anyio.fail_after(_LIMIT_S):
            await stop.ended.wait()


async def test_stop_waits_for_an_entry_that_lacks_a_result():
    """Guards against a result that is lost with the agent."""
    async with _running() as stop:
        await stop.start_tasks()
        stop.drain.set()
        await _until(lambda: stop.entry.count(wire.Leaving) == 1)
        await stop.disconnect()
        stop.endpoint.release.set()
        await anyio.sleep(_STOP_S)
        await stop.connect()
        stop.entry.send(wire.Reconcile((0,), ("e1.1",)))
        await _until(lambda: stop.entry.count(wire.TasksFinished) == 1)
        with anyio.fail_after(_LIMIT_S):
            await stop.ended.wait()


async def test_stop_does_not_wait_for_an_entry_that_left():
    async with _running() as stop:
        stop.entry.send(wire.Leaving())
        stop.drain.set()
        await _until(lambda: stop.entry.count(wire.Leaving) == 1)
        await stop.disconnect()
        # Less than a stop waits for an entry that may come back.
        with anyio.fail_after(_LIMIT_S - 1.0):
            await stop.ended.wait()


async def test_stop_waits_until_a_slow_entry_has_taken_all_results():
    """Guards against results that are dropped with the stream."""
    async with _running() as stop:
        stop.endpoint.result = _LARGE_RESULT
        await stop.start_tasks(_TASKS)
        stop.drain.set()
        await _until(lambda: stop.entry.count(wire.Leaving) == 1)
        await anyio.sleep(_LINGER_S)
        stop.proxy.weather.cut_back = True
        stop.endpoint.release.set()
        await anyio.sleep(_STOP_S)
        stop.proxy.weather.cut_back = False
        await _until(lambda: stop.entry.count(wire.TasksFinished) == _TASKS)
        with anyio.fail_after(_LIMIT_S):
            await stop.ended.wait()
