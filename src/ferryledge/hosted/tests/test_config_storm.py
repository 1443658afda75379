"""Tests a follower whose versions change faster than the link carries them.

Guards against a follower that reads every version and falls further and
further behind.
"""

import typing

import anyio

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge.hosted.tests import slow_store
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge import wire

_LINK = 250_000.0
_BOUND_S = 3.0
_EVERY_S = 0.33
_VERSIONS = 30
_BODY = b"x" * 200_000


class _Recorder:
    """Records when each version and each set of cordons was reported."""

    def __init__(self) -> None:
        self.versions: dict[int, float] = {}
        self.zones: dict[tuple[str, ...], float] = {}

    def read(self, data: bytes) -> None:
        self.versions[int(data[:8])] = anyio.current_time()

    def cordoned(self, cordons: wire.CordonedZones) -> None:
        self.zones.setdefault(cordons.zones, anyio.current_time())


def _storm(
    lost: int = 0,
) -> tuple[slow_store.Store, _Recorder, dict[int, float], float]:
    """Write many versions and, halfway through them, a cordon."""
    recorder = _Recorder()
    written: dict[int, float] = {}

    async def main() -> tuple[slow_store.Store, float]:
        store = slow_store.Store(_LINK)
        follower = _config.OperatorFollower(
            store,
            recorder.read,
            recorder.cordoned,
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
    return store, recorder, written, cordoned_at


def _in_force_s(recorder: _Recorder, written: dict[int, float]) -> float:
    """Return the longest time from a write until it was in force."""
    return max(
        min(at for newer, at in recorder.versions.items() if newer >= version)
        - written_at
        for version, written_at in written.items()
    )


def test_versions_are_in_force_in_time() -> None:
    _, recorder, written, _ = _storm()
    assert _in_force_s(recorder, written) < _BOUND_S
    assert list(recorder.versions) == sorted(recorder.versions)


def test_replaced_versions_are_not_read() -> None:
    store, recorder, written, _ = _storm()
    storm_s = _EVERY_S * len(written)
    assert len(recorder.versions) < 0.4 * len(written)
    assert store.sent_bytes < 0.8 * _LINK * (storm_s + _BOUND_S)


def test_cordon_does_not_wait_for_a_configuration() -> None:
    _, recorder, _, cordoned_at = _storm()
    assert recorder.zones[("hall-a",)] - cordoned_at < 0.6
    # The cordon is reported once and not withdrawn.
    assert list(recorder.zones) == [(), ("hall-a",)]


def test_invalid_configuration_is_ignored() -> None:
    """The version before it stays in force, even if not read until then."""
    in_force: list[bytes] = []

    def read(data: bytes) -> None:
        if data.startswith(b"?"):
            raise platform.ConfigError("unreadable")
        in_force.append(data)

    async def main() -> None:
        store = slow_store.Store(_LINK)
        store.put("config", b"0" + _BODY)
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            read,
            lambda state: None,
            _config_pace.ConfigPace(_BOUND_S, _LINK),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.1)
            store.put("config", b"1")
            store.put("config", b"?")
            await anyio.sleep(_BOUND_S)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert in_force[-1] == b"1"


def test_repeated_cordons_do_not_wait_for_configurations() -> None:
    """Each cordon is written during the read of another configuration."""
    recorder = _Recorder()
    written: dict[str, float] = {}

    async def main() -> None:
        store = slow_store.Store(_LINK)
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            lambda data: None,
            recorder.cordoned,
            _config_pace.ConfigPace(_BOUND_S, _LINK),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            for number in range(4):
                await anyio.sleep(5.0)
                store.put("config", _BODY)
                await anyio.sleep(0.1)
                zone = f"hall-{number}"
                written[zone] = anyio.current_time()
                store.put(f"evacuate/{zone}", b"{}")
            await anyio.sleep(5.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    for zone, at in written.items():
        reported_at = min(
            t for zones, t in recorder.zones.items() if zone in zones
        )
        assert reported_at - at < 0.6


def test_follower_recovers_from_a_lost_answer() -> None:
    _, recorder, written, _ = _storm(lost=1)
    assert max(recorder.versions) == max(written)
    assert ("hall-a",) in recorder.zones
