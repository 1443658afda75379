"""Tests which configuration an entry puts in force."""

import math
import random
import typing

import anyio

from ferryledge.hosted import _config_decoder
from ferryledge.hosted import _entry_config
from ferryledge.hosted import _metrics
from ferryledge.hosted.tests import slow_store
from ferryledge import leases
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge.platform import standin
from ferryledge import wire

_SETTINGS = platform.Settings("entry-0", "127.0.0.1", "north", (7000, 7009))
_UNDECODABLE = b'{"Version": "3"}'


class _Entry:
    """An entry's configuration, its core and its store."""

    def __init__(self) -> None:
        self.store = slow_store.Store(math.inf, answer_s=0.004)
        decoder = _config_decoder.ConfigDecoder()
        self._core = leases.LeaseEntry(
            "entry-0",
            "entry-0.1",
            "north",
            random.Random(1),
            accepts_config=decoder.accepts,
        )
        self.config = _entry_config.EntryConfig(
            _SETTINGS,
            typing.cast(platform.StoreClient, self.store),
            self._core,
            self.post,
            _metrics.Registry("entry"),
            decoder,
        )

    def post(self, event: leases.EntryEvent) -> None:
        """Let the core handle an event, and apply what it decides."""
        now = anyio.current_time()
        self._core.receive(now, event)
        for action in self._core.tick(now):
            if isinstance(action, leases.ApplyConfig):
                self.config.apply(action)

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        current = self.config.current
        return current.version if current is not None else 0


def _delivered(version: int, data: bytes, log_end: int) -> wire.Received:
    """Return a peer's message that carries a whole configuration."""
    exchange = leases.ConfigExchange()
    exchange.learn(version, data, log_end)
    return wire.Received("entry-1", exchange.delta_for(b""))


def _deliver(data: bytes) -> int:
    """Write two versions, and deliver the second before any is read.

    :param data: the second of them, version 3
    :return: the version in force some seconds later
    """

    async def main() -> int:
        entry = _Entry()
        entry.store.put("config", standin.render_config(1, ["quick"]))
        async with anyio.create_task_group() as group:
            group.start_soon(entry.config.run)
            await anyio.sleep(1.0)
            assert entry.version == 1
            entry.store.put("config", standin.render_config(2, ["quick"]))
            entry.store.put("config", data)
            entry.post(_delivered(3, data, 3))
            await anyio.sleep(5.0)
            group.cancel_scope.cancel()
        return entry.version

    return paused_clock.run(main)


def test_delivered_configuration_is_in_force() -> None:
    assert _deliver(standin.render_config(3, ["quick"])) == 3


# A peer of another release may deliver a configuration that this release can't
# decode; the valid one before it must not be lost.
def test_configuration_before_an_undecodable_delivery_is_in_force() -> None:
    assert _deliver(_UNDECODABLE) == 2
