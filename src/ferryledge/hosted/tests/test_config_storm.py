"""A follower that is given many versions while reads take long.

It read each record of the log in turn. Versions came faster than the link
carried them, so it fell behind more with each, and an answer that held
several of them ran out of time and was read anew from its start.
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


class _Heard:
    """When what was written was in force here."""

    def __init__(self) -> None:
        self.versions: dict[int, float] = {}
        self.zones: dict[tuple[str, ...], float] = {}

    def read(self, data: bytes) -> None:
        self.versions[int(data[:8])] = anyio.current_time()

    def cordoned(self, state: wire.CordonedZones) -> None:
        self.zones.setdefault(state.zones, anyio.current_time())


def _storm(
    lost: int = 0,
) -> tuple[slow_store.Store, _Heard, dict[int, float], float]:
    """Write many versions and, in their midst, a cordon."""
    heard = _Heard()
    written: dict[int, float] = {}

    async def main() -> tuple[slow_store.Store, float]:
        store = slow_store.Store(_LINK)
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


def test_what_cannot_be_read_changes_nothing() -> None:
    """The one before it counts, also if both came during a read."""
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


def test_cordons_in_a_row_do_not_wait() -> None:
    """Each during the read of another configuration."""
    heard = _Heard()
    written: dict[str, float] = {}

    async def main() -> None:
        store = slow_store.Store(_LINK)
        follower = _config.OperatorFollower(
            typing.cast(platform.StoreClient, store),
            lambda data: None,
            heard.cordoned,
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
        heard_at = min(t for zones, t in heard.zones.items() if zone in zones)
        assert heard_at - at < 0.6


def test_lost_answer_is_made_up_for() -> None:
    _, heard, written, _ = _storm(lost=1)
    assert max(heard.versions) == max(written)
    assert ("hall-a",) in heard.zones
