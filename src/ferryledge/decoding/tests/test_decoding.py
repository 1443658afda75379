"""Decoding of arbitrary texts."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from ferryledge import decoding
from ferryledge.decoding.tests import odd_values


class _Record(msgspec.Struct):
    name: decoding.Label
    number: decoding.Natural = 0
    left_ms: decoding.Milliseconds = 0.0
    rows: tuple[msgspec.Raw, ...] = ()


_PLAIN = {"name": "a", "number": 1, "left_ms": 2.5, "rows": [[1, "x"]]}
_VARIANTS = odd_values.variants(_PLAIN)


# Guards against an error that ends the process instead of being handled: deep
# nesting is reported as another kind of error than any other odd value.
@pytest.mark.parametrize("text", _VARIANTS.values(), ids=_VARIANTS.keys())
def test_odd_value_is_decoded_within_bounds_or_rejected(text: bytes) -> None:
    try:
        record = decoding.decode_json(text, _Record)
    except decoding.DecodingError:
        return
    assert decoding.is_natural(record.number)
    assert abs(record.left_ms) <= 1e11
    assert len(record.name) <= decoding.MAX_LABEL_CHARS


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_nothing_but_decoding_errors(
    data: bytes,
) -> None:
    with contextlib.suppress(decoding.DecodingError):
        decoding.decode_json(data, _Record)


@pytest.mark.parametrize("value", [0, 1, decoding.MAX_INTEGER])
def test_integers_in_bounds_are_natural(value: int) -> None:
    assert decoding.is_natural(value)


@pytest.mark.parametrize(
    "value", [-1, decoding.MAX_INTEGER + 1, 1.0, True, None, "1"]
)
def test_other_values_are_not_natural(value: object) -> None:
    assert not decoding.is_natural(value)
