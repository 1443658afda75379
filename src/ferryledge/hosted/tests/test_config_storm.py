"""A follower that is given many versions while reads take long.

It read each record of the log in turn. Versions came faster than the link
carried them, so it fell behind more with each, and an answer that held
several of them ran out of time and was read anew from its start.
"""

import dataclasses

import anyio

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge import wire

_LINK = 250_000.0
_BOUND_S = 3.0
_EVERY_S = 0.33
_VERSIONS = 30
_BODY = b"x" * 200_000


@dataclasses.dataclass(slots=True)
class _Store:
    """A log whose answers take the time that their bytes take."""

    log: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    grown: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    #: Bytes of configurations that were carried.
    carried: int = 0
    #: Calls that get no answer.
    lost: int = 0

    def put(self, key: str, value: bytes) -> None:
        self.log.append((key, value))
        self.grown.set()
        self.grown = anyio.Event()

    async def newest(
        self,
        topic: str,
        partition: int = 0,
        after: str = "",
        rate: platform.Rate | None = None,
    ) -> platform.KeyedPage:
        kept = {
            key: platform.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(self.log)
            if key > after
        }
        end = len(self.log)
        records = tuple(one for one in kept.values() if one.value)
        await self._carry(records, rate)
        return platform.KeyedPage(records, end, 0, end)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        most_kb: int = 1024,
        rate: platform.Rate | None = None,
    ) -> platform.KeyedPage:
        with anyio.move_on_after(wait_s):
            while len(self.log) <= offset:
                await self.grown.wait()
        end = len(self.log)
        most = 1 if most_kb == 1 else 5
        records = tuple(
            platform.KeyedRecord(key, value, number)
            for number, (key, value) in enumerate(self.log)
            if offset <= number < offset + most
        )
        await self._carry(records, rate)
        return platform.KeyedPage(records, offset + len(records), offset, end)

    async def _carry(
        self,
        records: tuple[platform.KeyedRecord, ...],
        rate: platform.Rate | None,
    ) -> None:
        if self.lost:
            self.lost -= 1
            await anyio.sleep(1.5)
            raise platform.StoreError("no answer in time")
        size = sum(len(one.value) for one in records)
        speed = _LINK if rate is None else min(_LINK, rate(size))
        self.carried += size
        await anyio.sleep(size / speed)


class _Heard:
    """When what was written was in force here."""

    def __init__(self) -> None:
        self.versions: dict[int, float] = {}
        self.zones: dict[tuple[str, ...], float] = {}

    def read(self, data: bytes) -> None:
        self.versions[int(data[:8])] = anyio.current_time()

    def cordoned(self, state: wire.CordonedZones) -> None:
        self.zones.setdefault(state.zones, anyio.current_time())


def _storm(lost: int = 0) -> tuple[_Store, _Heard, dict[int, float], float]:
    """Write many versions and, in their midst, a cordon."""
    heard = _Heard()
    written: dict[int, float] = {}

    async def main() -> tuple[_Store, float]:
        store = _Store()
        follower = _config.OperatorFollower(
            store,
            heard.read,
            heard.cordoned,
            _config_pace.ConfigPace(_BOUND_S, _LINK),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(1.0)
            for version in range(_VERSIONS):
                written[version] = anyio.current_time()
                store.put("config", f"{version:08}".encode() + _BODY)
                if version == _VERSIONS // 2:
                    store.put("evacuate/hall-a", b"{}")
                    store.lost = lost
                    cordoned_at = anyio.current_time()
                await anyio.sleep(_EVERY_S)
            await anyio.sleep(10.0)
            group.cancel_scope.cancel()
        return store, cordoned_at

    store, cordoned_at = paused_clock.run(main)
    return store, heard, written, cordoned_at


def _in_force_s(heard: _Heard, written: dict[int, float]) -> float:
    """Return how long after it was written a version was in force."""
    return max(
        min(at for one, at in heard.versions.items() if one >= version)
        - written_at
        for version, written_at in written.items()
    )


def test_versions_are_in_force_in_time() -> None:
    _, heard, written, _ = _storm()
    assert _in_force_s(heard, written) < _BOUND_S
    assert list(heard.versions) == sorted(heard.versions)


def test_replaced_versions_are_not_read() -> None:
    store, heard, written, _ = _storm()
    storm_s = _EVERY_S * len(written)
    assert len(heard.versions) < 0.4 * len(written)
    assert store.carried < 0.8 * _LINK * (storm_s + _BOUND_S)


def test_cordon_does_not_wait_for_a_configuration() -> None:
    _, heard, _, cordoned_at = _storm()
    assert heard.zones[("hall-a",)] - cordoned_at < 0.6
    # It never goes back.
    assert list(heard.zones) == [(), ("hall-a",)]


def test_lost_answer_is_made_up_for() -> None:
    _, heard, written, _ = _storm(lost=1)
    assert max(heard.versions) == max(written)
    assert ("hall-a",) in heard.zones
