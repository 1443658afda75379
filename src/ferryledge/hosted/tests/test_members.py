"""Tests reading entries' addresses from the store."""

import typing

import anyio
import msgspec
import pytest

from ferryledge.hosted import _members
from ferryledge.hosted.tests import slow_store
from ferryledge.net.tests import paused_clock
from ferryledge import platform
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
