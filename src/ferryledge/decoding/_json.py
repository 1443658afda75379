"""Decodes JSON texts that other programs wrote."""

import typing

import msgspec

ValueT = typing.TypeVar("ValueT")


class DecodingError(ValueError):
    """The text is not valid JSON of the expected type."""


def decode_json(data: bytes, value_type: type[ValueT]) -> ValueT:
    """Return the value of a JSON text.

    :param data: the text
    :param value_type: type of the value; unknown fields are ignored
    :raises DecodingError: if the text is not valid JSON of this type, or is
        nested too deeply, which also applies to ignored fields
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except (ValueError, RecursionError) as exc:
        raise DecodingError(str(exc)) from exc
