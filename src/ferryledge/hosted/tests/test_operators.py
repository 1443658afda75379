"""Tests following the operators' log with the stand-in store."""

import math

import anyio
from anyio import abc as anyio_abc
import pytest

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin
from ferryledge import wire

_TOPIC = platform.CONFIG_TOPIC


class _Recorder:
    """Records a follower's reports in order."""

    def __init__(self) -> None:
        self.reports: list[wire.CordonedZones | bytes] = []

    @property
    def zones(self) -> tuple[str, ...] | None:
        """The cordoned zones of the last report."""
        cordons = [
            report
            for report in self.reports
            if isinstance(report, wire.CordonedZones)
        ]
        return cordons[-1].zones if cordons else None


async def _serve(
    group: anyio_abc.TaskGroup, handle: net.Handler
) -> platform.StoreClient:
    """Serve a stand-in for the store and return a client of it."""
    port = await group.start(
        net.serve_http, net.asgi_app(handle), "127.0.0.1", 0, anyio.Event()
    )
    return platform.StoreClient(f"127.0.0.1:{port}")


async def _wait_for(recorder: _Recorder, zones: tuple[str, ...]) -> None:
    with anyio.fail_after(10.0):
        while recorder.zones != zones:
            await anyio.sleep(0.01)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
async def test_cordons_are_followed() -> None:
    store = standin.StoreServer()
    store.put(_TOPIC, "config", b"{}")
    store.put(_TOPIC, "evacuate/hall-a", b"{}")
    recorder = _Recorder()
    async with anyio.create_task_group() as group:
        client = await _serve(group, store.handle)
        follower = _config.OperatorFollower(
            client,
            recorder.reports.append,
            recorder.reports.append,
            _config_pace.ConfigPace(3.0, math.inf),
        )
        group.start_soon(follower.run)
        await _wait_for(recorder, ("hall-a",))
        with anyio.fail_after(10.0):
            while b"{}" not in recorder.reports:
                await anyio.sleep(0.01)
        # Cordons must be known before a configuration takes effect.
        first = recorder.reports[0]
        assert isinstance(first, wire.CordonedZones)
        assert first.zones == ("hall-a",)
        # The key alone decides; a cordon's value may be anything.
        store.put(_TOPIC, "evacuate/hall-b", b"\xff not JSON")
        await _wait_for(recorder, ("hall-a", "hall-b"))
        store.put(_TOPIC, "evacuate/hall-a", b"")
        await _wait_for(recorder, ("hall-b",))
        store.put(_TOPIC, "evacuate/hall-b", b"")
        await _wait_for(recorder, ())
        group.cancel_scope.cancel()
    versions = [
        report.version
        for report in recorder.reports
        if isinstance(report, wire.CordonedZones)
    ]
    assert versions == sorted(set(versions))


# A valid configuration was skipped if the store returned it together with an
# invalid one behind it, as it does with small records.
@pytest.mark.anyio
async def test_configuration_beside_an_invalid_one_is_read() -> None:
    store = standin.StoreServer()
    store.put(_TOPIC, "config", b"{}")
    store.put(_TOPIC, "config", b"?")
    in_force: list[bytes] = []

    def on_config(data: bytes) -> None:
        if data == b"?":
            raise platform.ConfigError("unreadable")
        in_force.append(data)

    async with anyio.create_task_group() as group:
        client = await _serve(group, store.handle)
        follower = _config.OperatorFollower(
            client,
            on_config,
            lambda cordons: None,
            _config_pace.ConfigPace(3.0, math.inf),
        )
        group.start_soon(follower.run)
        with anyio.fail_after(10.0):
            while not in_force:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert in_force == [b"{}"]


@pytest.mark.anyio
async def test_record_written_between_two_pages_is_not_skipped() -> None:
    """A paged list is no snapshot, so reading resumes at the first page's end.

    A record that is written between two pages may be on neither of them.
    """

    async def handle(request: net.Request) -> net.HttpResponse:
        first = not request.query("DependsOn", "")
        key = "a" if first else "b"
        item = {"TlsKey": key, "Value": "e30=", "Offset": 0}
        return net.HttpResponse.json(
            200,
            {"items": [item], "MorePages": first, "End": 5 if first else 9},
        )

    async with anyio.create_task_group() as group:
        store = await _serve(group, handle)
        page = await store.read_newest(_TOPIC)
        group.cancel_scope.cancel()
    assert [record.key for record in page.records] == ["a", "b"]
    assert page.next_offset == 5
    assert page.end == 9
