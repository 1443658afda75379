"""An agent reads configurations for entries with narrow links."""

import math
import typing

import anyio

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge.hosted import _config_reader
from ferryledge.hosted.tests import slow_store
from ferryledge import leases
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge.platform import standin
from ferryledge import wire

_SETTINGS = platform.Settings("agent-0", "127.0.0.1", "north", (7000, 7009))
_QUEUES = [f"queue-{number}" for number in range(300)]


def _config_of(version: int) -> bytes:
    return standin.render_config(version, _QUEUES)


def _hello(name: str) -> wire.Hello:
    return wire.Hello(wire.Role.ENTRY, name, f"{name}.1", "north")


class _Agent:
    """A reader, its store and what it sent."""

    def __init__(self) -> None:
        self.store = slow_store.Store(math.inf)
        self.sent: list[tuple[str, wire.Message]] = []
        self.reader = _config_reader.ConfigReader(
            typing.cast(platform.StoreClient, self.store),
            _SETTINGS,
            lambda peer, message: self.sent.append((peer, message)),
        )

    def join(self, name: str, digest: bytes = b"") -> None:
        request = wire.ConfigRequest(digest, follow=True)
        self.reader.take(wire.PeerUp(_hello(name)))
        assert self.reader.take(wire.Received(name, request))

    def leave(self, name: str) -> None:
        assert not self.reader.take(wire.PeerDown(name, f"{name}.1"))

    def deltas(self, name: str) -> list[wire.ConfigDelta]:
        return [
            message
            for peer, message in self.sent
            if peer == name and isinstance(message, wire.ConfigDelta)
        ]


def _run(use: typing.Callable[[_Agent], typing.Awaitable[None]]) -> _Agent:
    agent = _Agent()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(agent.reader.run)
            await use(agent)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    return agent


def test_entry_is_sent_what_changed() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", _config_of(1))
        agent.join("entry-0")
        await anyio.sleep(1.0)
        agent.store.put("config", _config_of(2))
        await anyio.sleep(1.0)

    whole, change = _run(use).deltas("entry-0")
    entry = leases.ConfigExchange()
    entry.learn(1, entry.restore(whole), whole.log_end)
    assert entry.restore(change) == _config_of(2)
    assert change.base
    assert change.log_end == 2


def test_nothing_is_read_for_nobody() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", _config_of(1))
        await anyio.sleep(1.0)
        assert not agent.store.carried
        agent.join("entry-0")
        await anyio.sleep(1.0)
        agent.leave("entry-0")
        read = agent.store.carried
        agent.store.put("config", _config_of(2))
        await anyio.sleep(3.0)
        assert agent.store.carried == read
        # It comes back, one version behind.
        agent.join("entry-0", _last_digest(agent))
        await anyio.sleep(1.0)

    deltas = _run(use).deltas("entry-0")
    assert [delta.version for delta in deltas] == [1, 2]


def _last_digest(agent: _Agent) -> bytes:
    """Return the digest of what an entry was sent last."""
    return agent.deltas("entry-0")[-1].digest


def test_unreadable_configuration_is_not_sent() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", b"no JSON")
        agent.join("entry-0")
        await anyio.sleep(1.0)

    assert not _run(use).deltas("entry-0")


class _Bringer(_config.ConfigBringer):
    """An agent that may fail to bring anything."""

    def __init__(self) -> None:
        self.misses = 0

    @property
    def present(self) -> bool:
        return True

    def missed(self) -> None:
        self.misses += 1


def _follow(brings: bool) -> tuple[slow_store.Store, _Bringer, list[float]]:
    """Write a large configuration that is brought at once, or never."""
    bringer = _Bringer()
    in_force: list[float] = []

    async def main() -> slow_store.Store:
        store = slow_store.Store(250_000.0)
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            lambda data: in_force.append(anyio.current_time()),
            lambda state: None,
            _config_pace.ConfigPace(3.0, 250_000.0),
            bringer,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(5.05)
            store.put("config", bytes(200_000))
            if brings:
                follower.bring(1, 200_000)
            await anyio.sleep(4.0)
            group.cancel_scope.cancel()
        return store

    return paused_clock.run(main), bringer, in_force


def test_what_is_brought_is_not_read() -> None:
    store, bringer, _ = _follow(brings=True)
    assert not store.carried
    assert not bringer.misses


def test_read_ends_when_the_same_is_brought() -> None:
    """An entry that starts reads at once, until an agent is found."""
    in_force: list[bytes] = []

    async def main() -> None:
        store = slow_store.Store(250_000.0)
        store.put("config", bytes(200_000))
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            in_force.append,
            lambda state: None,
            _config_pace.ConfigPace(3.0, 250_000.0),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.2)
            follower.bring(1, 200_000)
            await anyio.sleep(5.0)
            store.put("config", b"{}")
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert in_force == [b"{}"]


def test_what_is_not_brought_is_read_in_time() -> None:
    """The agent died midway, or the store turned it away."""
    _, bringer, in_force = _follow(brings=False)
    assert bringer.misses == 1
    assert in_force[0] - 5.05 < 3.0
