"""Processes that follow the operators' log through simulated stores."""

import typing

import anyio
from anyio import abc as anyio_abc

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge.hosted.tests import slow_store
from ferryledge import platform
from ferryledge import wire

_BOUND_S = 2.0
_LINK_BYTES_PER_S = 1e8
_ANSWER_S = 0.004
#: A configuration that no process can decode.
INVALID = b"?"


class _Reader(_config.RemoteReader):
    """A reader on another machine that is always connected."""

    @property
    def available(self) -> bool:
        return True


class Log:
    """The operators' log and the stores that serve it."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.stores: list[slow_store.Store] = []

    @property
    def cordoned(self) -> tuple[str, ...]:
        """The cordoned zones, sorted."""
        newest = dict(self.records)
        zones = {
            platform.cordoned_zone(key)
            for key, value in newest.items()
            if value
        }
        return tuple(sorted(zone for zone in zones if zone is not None))

    def new_store(self) -> slow_store.Store:
        """Return another store that serves this log."""
        store = slow_store.Store(
            _LINK_BYTES_PER_S, self.records, answer_s=_ANSWER_S
        )
        self.stores.append(store)
        return store

    def put(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append((key, value))
        for store in self.stores:
            store.wake()

    def newest(self, end: int | None = None) -> int:
        """Return the newest valid version before an offset."""
        return max(
            int(value[:8])
            for key, value in self.records[:end]
            if key == platform.CONFIG_KEY and value != INVALID
        )


class Process:
    """A follower, and the processes that it passes configurations on to."""

    def __init__(
        self, log: Log, store: slow_store.Store, remote: bool = False
    ) -> None:
        self.log = log
        self.version = 0
        self.zones: tuple[str, ...] = ()
        self.peers: list[tuple[Process, float]] = []
        #: Whether the process has lost power.
        self.is_stopped = False
        self._group: anyio_abc.TaskGroup | None = None
        self.follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            self._on_config,
            self._on_cordons,
            _config_pace.ConfigPace(_BOUND_S, _LINK_BYTES_PER_S),
            _Reader() if remote else None,
        )

    async def run(self) -> None:
        """Follow the log until cancelled or stopped."""
        async with anyio.create_task_group() as self._group:
            await self.follower.run()

    def stop(self) -> None:
        """Stop for good."""
        self.is_stopped = True
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def _on_config(self, data: bytes) -> None:
        if data == INVALID:
            raise platform.ConfigError("unreadable")
        version, end = int(data[:8]), self.follower.log_end
        assert version == self.log.newest(end)
        self._learn(version, end, len(data))

    def _learn(self, version: int, end: int, size: int) -> None:
        if version <= self.version:
            return
        self.version = version
        self.follower.on_delivered(end, size)
        assert self._group is not None
        for peer, delay_s in self.peers:
            self._group.start_soon(
                self._deliver, peer, delay_s, version, end, size
            )

    async def _deliver(
        self,
        peer: "Process",
        delay_s: float,
        version: int,
        end: int,
        size: int,
    ) -> None:
        await anyio.sleep(delay_s)
        if not peer.is_stopped:
            peer._learn(version, end, size)

    def _on_cordons(self, cordons: wire.CordonedZones) -> None:
        self.zones = cordons.zones
