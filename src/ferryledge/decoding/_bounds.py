"""Types of fields with the bounds that every value from outside must meet.

The bounds are far above any real value. They ensure that sums and products
can be computed and encoded: a message carries integers of 64 bits.
"""

import typing

import msgspec

#: Greatest integer that all JSON decoders represent exactly. A thousand times
#: as much still fits in a message.
MAX_INTEGER = 2**53 - 1
#: Greatest duration in seconds, about three years.
_MAX_DURATION_S = 1e8
#: Maximum length of a label or name, in characters.
MAX_LABEL_CHARS = 256

#: An integer that is not negative.
Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
#: A duration in seconds, which may be negative.
Seconds = typing.Annotated[
    float, msgspec.Meta(ge=-_MAX_DURATION_S, le=_MAX_DURATION_S)
]
#: A duration in milliseconds, which may be negative.
Milliseconds = typing.Annotated[
    float,
    msgspec.Meta(ge=-1000.0 * _MAX_DURATION_S, le=1000.0 * _MAX_DURATION_S),
]
#: A label or the name of a service.
Label = typing.Annotated[str, msgspec.Meta(max_length=MAX_LABEL_CHARS)]


def is_natural(value: object) -> typing.TypeGuard[int]:
    """Return whether a decoded value is an integer within the bounds."""
    return type(value) is int and 0 <= value <= MAX_INTEGER
