"""Tests of the compression of texts."""

import pytest

from ferryledge import wire


def test_text_round_trip() -> None:
    text = "brake caliper, ÄÖ, " * 100
    packed = wire.pack_text(text)
    assert wire.unpack_text(packed) == text
    assert len(packed) < len(text) / 2


@pytest.mark.parametrize(
    "data",
    [b"", b"plain", wire.pack_text("a" * 100)[:-3]],
    ids=["empty", "not packed", "cut off"],
)
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(wire.PackingError):
        wire.unpack_text(data)


def test_text_longer_than_a_message_is_rejected() -> None:
    packed = wire.pack_text("a" * (9 * 1024 * 1024))
    with pytest.raises(wire.PackingError):
        wire.unpack_text(packed)
