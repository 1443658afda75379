"""What the store tells of entries."""

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
def test_record_of_another_writer_names_no_entry(value: bytes) -> None:
    good = platform.KeyedRecord("a", _address("a", "10.0.0.1", 7720))
    found = _members._decode((platform.KeyedRecord("b", value), good))
    assert found == (wire.EntryAddress("a", "10.0.0.1", 7720),)
