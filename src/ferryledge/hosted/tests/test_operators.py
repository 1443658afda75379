"""What operators write reaches an entry, also while the store fails."""

import math

import anyio
import pytest

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin
from ferryledge import wire

_TOPIC = platform.CONFIG_TOPIC


class _Heard:
    """What a follower told, in its order."""

    def __init__(self) -> None:
        self.told: list[wire.CordonedZones | bytes] = []

    @property
    def zones(self) -> tuple[str, ...] | None:
        """The zones that are cordoned by the last word."""
        states = [
            one for one in self.told if isinstance(one, wire.CordonedZones)
        ]
        return states[-1].zones if states else None


async def _until(heard: _Heard, zones: tuple[str, ...]) -> None:
    with anyio.fail_after(10.0):
        while heard.zones != zones:
            await anyio.sleep(0.01)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
async def test_cordons_are_followed() -> None:
    store = standin.StoreServer()
    store.put(_TOPIC, "config", b"{}")
    store.put(_TOPIC, "evacuate/hall-a", b"{}")
    heard = _Heard()
    async with anyio.create_task_group() as group:
        port = await group.start(
            net.serve_http,
            net.asgi_app(store.handle),
            "127.0.0.1",
            0,
            anyio.Event(),
        )
        follower = _config.OperatorFollower(
            platform.StoreClient(f"127.0.0.1:{port}"),
            heard.told.append,
            heard.told.append,
            _config_pace.ConfigPace(3.0, math.inf),
        )
        group.start_soon(follower.run)
        await _until(heard, ("hall-a",))
        with anyio.fail_after(10.0):
            while b"{}" not in heard.told:
                await anyio.sleep(0.01)
        # Nothing may be ordered by a configuration before that.
        first = heard.told[0]
        assert isinstance(first, wire.CordonedZones)
        assert first.zones == ("hall-a",)
        # Its value may come from a writer that nobody here knows.
        store.put(_TOPIC, "evacuate/hall-b", b"\xff not JSON")
        await _until(heard, ("hall-a", "hall-b"))
        store.put(_TOPIC, "evacuate/hall-a", b"")
        await _until(heard, ("hall-b",))
        store.put(_TOPIC, "evacuate/hall-b", b"")
        await _until(heard, ())
        group.cancel_scope.cancel()
    versions = [
        one.version
        for one in heard.told
        if isinstance(one, wire.CordonedZones)
    ]
    assert versions == sorted(set(versions))


@pytest.mark.anyio
async def test_what_is_written_between_two_pages_is_read() -> None:
    """A list of records in pages is no snapshot: each has an end of its own.

    A record that came after the first page, under a key that it had passed,
    is on no page and before the last one's end.
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
        port = await group.start(
            net.serve_http, net.asgi_app(handle), "127.0.0.1", 0, anyio.Event()
        )
        store = platform.StoreClient(f"127.0.0.1:{port}")
        page = await store.newest(_TOPIC)
        group.cancel_scope.cancel()
    assert [record.key for record in page.records] == ["a", "b"]
    assert page.next_offset == 5
