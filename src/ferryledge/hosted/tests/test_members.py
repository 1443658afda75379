"""Tests the decoding of entries' records."""

import msgspec
import pytest

from ferryledge.hosted import _members
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
