"""Tests configurations that an agent reads for entries with narrow links."""

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
    """A reader, its store and the messages that it sent."""

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
        self.reader.handle(wire.PeerUp(_hello(name)))
        assert self.reader.handle(wire.Received(name, request))

    def leave(self, name: str) -> None:
        assert not self.reader.handle(wire.PeerDown(name, f"{name}.1"))

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


def test_entry_is_sent_the_difference() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", _config_of(1))
        agent.join("entry-0")
        await anyio.sleep(1.0)
        agent.store.put("config", _config_of(2))
        await anyio.sleep(1.0)

    whole, difference = _run(use).deltas("entry-0")
    entry = leases.ConfigExchange()
    entry.learn(1, entry.restore(whole), whole.log_end)
    assert entry.restore(difference) == _config_of(2)
    assert difference.base
    assert difference.log_end == 2


def test_nothing_is_read_without_entries() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", _config_of(1))
        await anyio.sleep(1.0)
        assert not agent.store.sent_bytes
        agent.join("entry-0")
        await anyio.sleep(1.0)
        agent.leave("entry-0")
        sent_bytes = agent.store.sent_bytes
        agent.store.put("config", _config_of(2))
        await anyio.sleep(3.0)
        assert agent.store.sent_bytes == sent_bytes
        # The entry returns, one version behind.
        agent.join("entry-0", _last_digest(agent))
        await anyio.sleep(1.0)

    deltas = _run(use).deltas("entry-0")
    assert [delta.version for delta in deltas] == [1, 2]


def _last_digest(agent: _Agent) -> bytes:
    """Return the digest of the configuration that an entry was sent last."""
    return agent.deltas("entry-0")[-1].digest


def test_unreadable_configuration_is_not_sent() -> None:
    async def use(agent: _Agent) -> None:
        agent.store.put("config", b"no JSON")
        agent.join("entry-0")
        await anyio.sleep(1.0)

    assert not _run(use).deltas("entry-0")


class _AgentReader(_config.RemoteReader):
    """An agent that may fail to deliver configurations."""

    def __init__(self) -> None:
        self.timeouts = 0

    @property
    def available(self) -> bool:
        return True

    def timed_out(self) -> None:
        self.timeouts += 1


def _follow(
    delivery_s: float | None, cordon: bool = False
) -> tuple[slow_store.Store, _AgentReader, list[float]]:
    """Write a large configuration that an agent delivers.

    :param delivery_s: seconds until it is delivered; ``None`` is never
    :param cordon: whether a cordon is written just after it
    """
    remote = _AgentReader()
    in_force: list[float] = []

    async def main() -> slow_store.Store:
        store = slow_store.Store(250_000.0)
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            lambda data: in_force.append(anyio.current_time()),
            lambda state: None,
            _config_pace.ConfigPace(3.0, 250_000.0),
            remote,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(5.05)
            store.put("config", bytes(200_000))
            if cordon:
                store.put("evacuate/hall-a", b"{}")
            if delivery_s is not None:
                await anyio.sleep(delivery_s)
                follower.on_delivered(1, 200_000)
            await anyio.sleep(4.0)
            group.cancel_scope.cancel()
        return store

    return paused_clock.run(main), remote, in_force


def test_delivered_configuration_is_not_read() -> None:
    store, remote, _ = _follow(delivery_s=0.0)
    assert not store.sent_bytes
    assert not remote.timeouts


def test_delivery_cancels_the_read_of_the_same_version() -> None:
    """An entry that starts reads the store until an agent reads for it."""
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
            follower.on_delivered(1, 200_000)
            await anyio.sleep(5.0)
            store.put("config", b"{}")
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert in_force == [b"{}"]


# Guards against replacing an agent that delivered in time when a cordon
# follows the configuration in the log.
def test_delivery_before_a_cordon_is_in_time() -> None:
    store, remote, _ = _follow(delivery_s=0.9, cordon=True)
    assert store.sent_bytes < 200_000
    assert not remote.timeouts


def test_undelivered_configuration_is_read_in_time() -> None:
    """The agent may have crashed, or the store may have refused its calls."""
    _, remote, in_force = _follow(delivery_s=None)
    assert remote.timeouts == 1
    assert in_force[0] - 5.05 < 3.0
