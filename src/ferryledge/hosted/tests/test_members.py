"""Tests reading entries' addresses from the store."""

from collections import abc
import typing

import anyio
import msgspec
import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge.hosted import _members
from ferryledge.hosted.tests import slow_store
from ferryledge import net
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge.platform import standin as platform_standin
from ferryledge import wire


def _address(name: str, host: str, port: object) -> bytes:
    address = wire.EntryAddress(name, host, port)  # type: ignore[arg-type]
    return msgspec.json.encode(address)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b"[]",
        b"\xff\xfe",
        _address("b", "10.0.0.1", "7720"),
        _address("b", "10.0.0.1", 0),
        _address("b", "10.0.0.1", 70000),
        _address("b", "nowhere", 7720),
        _address("c", "10.0.0.1", 7720),
    ],
)
def test_invalid_record_is_ignored(value: bytes) -> None:
    valid = platform.KeyedRecord("a", _address("a", "10.0.0.1", 7720))
    entries = _members._decode((platform.KeyedRecord("b", value), valid))
    assert entries == (wire.EntryAddress("a", "10.0.0.1", 7720, 1),)


def test_address_has_the_position_of_its_record() -> None:
    """Guards against an order that does not follow the store's log."""
    records = (
        platform.KeyedRecord("a", _address("a", "10.0.0.1", 7720), 4),
        platform.KeyedRecord("a", _address("a", "10.0.0.2", 7720), 9),
    )
    first, second = _members._decode(records)
    assert second.is_newer_than(first)


# An address that was written while the store failed must be reported later,
# whichever call failed.
@pytest.mark.parametrize("outage_start", range(1, 120, 8))
def test_addresses_are_reported_after_an_outage(
    outage_start: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    known: dict[str, int] = {}

    def on_entries(entries: tuple[wire.EntryAddress, ...]) -> None:
        known.update({entry.name: entry.port for entry in entries})

    async def main() -> None:
        store = slow_store.Store(1e6, answer_s=0.24)
        client = typing.cast(platform.StoreClient, store)

        async def read_first(address: str) -> platform.KeyedPage:
            return await client.read_newest(_members.MEMBERS_TOPIC)

        monkeypatch.setattr(_members, "_read_first", read_first)
        store.put("a", _address("a", "10.0.0.1", 7720))
        async with anyio.create_task_group() as group:
            group.start_soon(_members.follow, client, "", on_entries)
            await anyio.sleep(0.5)
            store.put("b", _address("b", "10.0.0.2", 7720))
            store.put("a", _address("a", "10.0.0.1", 7721))
            await anyio.sleep(outage_start / 100.0)
            store.down = True
            store.put("c", _address("c", "10.0.0.3", 7720))
            await anyio.sleep(4.0)
            store.down = False
            await anyio.sleep(4.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert known == {"a": 7721, "b": 7720, "c": 7720}


_DEEP = odd_values.DEEP["nested 2000 levels"]
#: Odd records of an entry under the key "odd".
_RECORDS = {
    "nested": _DEEP.encode(),
    "nested name": f'[{_DEEP},"10.0.0.1",7720,0]'.encode(),
    "nested unknown element": f'["odd","10.0.0.1",7720,0,{_DEEP}]'.encode(),
    "large port": b'["odd","10.0.0.1",18446744073709551616,0]',
    "name of another entry": b'["other","10.0.0.1",1,0]',
    "not UTF-8": b"\xff\x00",
}


async def _until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.sleep(0.005)


# Guards against an odd record that ends those who read the list of entries, or
# stops them following it, wherever it stands and whatever replaces it.
@pytest.mark.parametrize("value", _RECORDS.values(), ids=_RECORDS.keys())
@pytest.mark.parametrize("known_before", [0, 1, 2])
def test_list_is_followed_beside_an_odd_record(
    value: bytes, known_before: int
) -> None:
    server = platform_standin.StoreServer()
    known: set[str] = set()

    def on_entries(entries: tuple[wire.EntryAddress, ...]) -> None:
        known.update(entry.name for entry in entries)

    def put(name: str, content: bytes = b"") -> None:
        plain = f'["{name}","10.0.0.1",7720,0]'.encode()
        server.put(_members.MEMBERS_TOPIC, name, content or plain)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(server.handle)
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            address = f"127.0.0.1:{port}"
            # The odd record is the first, the last or the only one of a read.
            names = ["a", "z"][:known_before]
            for name in names:
                put(name)
            put("odd", value)
            store = platform.StoreClient(address)
            group.start_soon(_members.follow, store, address, on_entries)
            await _until(lambda: known == set(names))
            put("b")
            await _until(lambda: "b" in known)
            put("odd", value)
            put("c")
            await _until(lambda: "c" in known)
            put("odd")
            await _until(lambda: "odd" in known)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert known == {*["a", "z"][:known_before], "b", "c", "odd"}
