"""Tests saving and loading an endpoint's record with the stand-in store."""

from collections import abc
import json

import anyio
import msgspec
import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge.hosted import _endpoint_record
from ferryledge import leases
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin as platform_standin
from ferryledge.platform.tests import heartbeats
from ferryledge import wire

_HEARTBEAT = leases.EndpointHeartbeat(
    "i-1",
    "desk",
    "127.0.0.1:1",
    wire.Resources(16000, 65536, 0),
    ("a", "r1-3"),
    False,
    0.0,
    482113,
    4,
)


@pytest.fixture
def server() -> platform_standin.StoreServer:
    return platform_standin.StoreServer()


def _with_record(
    server: platform_standin.StoreServer,
    use: abc.Callable[[_endpoint_record.EndpointRecord], abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(server.handle)
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            store = platform.StoreClient(f"127.0.0.1:{port}")
            record = _endpoint_record.EndpointRecord(store, "side-1", 12)
            group.start_soon(record.run)
            await use(record)
            group.cancel_scope.cancel()

    anyio.run(main)


async def _load_until_found(
    record: _endpoint_record.EndpointRecord,
) -> leases.EndpointHeartbeat:
    while True:
        heartbeat = await record.load()
        if heartbeat is not None:
            return heartbeat
        await anyio.sleep(0.01)


def test_first_start_loads_nothing(
    server: platform_standin.StoreServer,
) -> None:
    async def use(record: _endpoint_record.EndpointRecord) -> None:
        assert await record.load() is None

    _with_record(server, use)


def test_saved_heartbeat_is_loaded(
    server: platform_standin.StoreServer,
) -> None:
    async def use(record: _endpoint_record.EndpointRecord) -> None:
        record.save(_HEARTBEAT)
        heartbeat = await _load_until_found(record)
        assert heartbeat.has_same_description(_HEARTBEAT)

    _with_record(server, use)


def test_save_is_retried_while_the_store_is_busy(
    server: platform_standin.StoreServer,
) -> None:
    server.behaviour = platform_standin.StoreBehaviour.BUSY

    async def use(record: _endpoint_record.EndpointRecord) -> None:
        record.save(_HEARTBEAT)
        await anyio.sleep(0.1)
        server.behaviour = platform_standin.StoreBehaviour.UP
        heartbeat = await _load_until_found(record)
        assert heartbeat.has_same_description(_HEARTBEAT)

    _with_record(server, use)


def test_invalid_record_is_ignored(
    server: platform_standin.StoreServer,
) -> None:
    server.put(_endpoint_record.ENDPOINTS_TOPIC, "side-1", b"{}")

    async def use(record: _endpoint_record.EndpointRecord) -> None:
        assert await record.load() is None

    _with_record(server, use)


_PLAIN = json.loads(msgspec.json.encode(_HEARTBEAT))
_ODD_RECORDS = odd_values.variants(_PLAIN)


@pytest.mark.parametrize(
    "value", _ODD_RECORDS.values(), ids=_ODD_RECORDS.keys()
)
def test_odd_record_is_ignored_or_can_be_reported(value: bytes) -> None:
    """Guards against a record that ends the agent at each of its starts."""
    unreadable: list[str] = []
    record = _endpoint_record.EndpointRecord(
        platform.StoreClient("127.0.0.1:9"),
        "side-1",
        12,
        lambda topic, record, reason: unreadable.append(topic),
    )
    heartbeat = record._decode(platform.KeyedRecord("side-1", value))
    if heartbeat is None:
        assert unreadable == [_endpoint_record.ENDPOINTS_TOPIC]
        return
    heartbeats.encode_report(heartbeat)
    assert leases.is_endpoint_id(heartbeat.endpoint_id)
