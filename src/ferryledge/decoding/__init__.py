"""Decoding of values from outside the process, with bounds for numbers."""

from ferryledge.decoding import _bounds
from ferryledge.decoding import _json

MAX_INTEGER = _bounds.MAX_INTEGER
MAX_LABEL_CHARS = _bounds.MAX_LABEL_CHARS
DecodingError = _json.DecodingError
Label = _bounds.Label
Milliseconds = _bounds.Milliseconds
Natural = _bounds.Natural
Seconds = _bounds.Seconds
decode_json = _json.decode_json
is_natural = _bounds.is_natural

__all__ = [
    "MAX_INTEGER",
    "MAX_LABEL_CHARS",
    "DecodingError",
    "Label",
    "Milliseconds",
    "Natural",
    "Seconds",
    "decode_json",
    "is_natural",
]
