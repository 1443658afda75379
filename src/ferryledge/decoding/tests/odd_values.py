"""Odd JSON values that another program may write."""

import json
import typing

#: Nested more deeply than a decoder follows.
DEEP = {
    f"nested {depth} levels": "[" * depth + "]" * depth
    for depth in (2_000, 200_000)
}
#: Integers beyond what a message or a float holds, and beyond what ``int()``
#: parses.
LARGE = {
    "2^53": str(2**53),
    "2^63": str(2**63),
    "2^64": str(2**64),
    "10^30": "1" + "0" * 30,
    "10^400": "1" + "0" * 400,
    "10^4000": "1" + "0" * 4000,
    "10^5000": "1" + "0" * 5000,
}
NEGATIVE = {"-1": "-1", "-2^64": str(-(2**64)), "-10^400": "-1" + "0" * 400}
#: Values of another type than a number, or of no type.
OTHER = {
    "1.5": "1.5",
    "1e308": "1e308",
    "-1e308": "-1e308",
    "1e400": "1e400",
    "5e-324": "5e-324",
    "NaN": "NaN",
    "null": "null",
    "true": "true",
    "text": '"x"',
    "empty text": '""',
    "lone surrogate": '"\\ud800"',
    "NUL": '"\\u0000"',
    "long text": '"' + "x" * 100_000 + '"',
    "list": "[]",
    "table": "{}",
}
#: All of them, as JSON texts by name.
ALL = DEEP | LARGE | NEGATIVE | OTHER
#: Those that a decoder accepts beside others, as it must read past them.
DECODABLE = {
    name: text
    for name, text in ALL.items()
    if name not in DEEP
    and name not in ("10^5000", "1e400", "NaN", "lone surrogate")
}


def variants(
    plain: typing.Any, odd_values: dict[str, str] | None = None
) -> dict[str, bytes]:
    """Return JSON texts of a value, in each of which one place is odd.

    :param plain: the value; its lists and tables are followed
    :param odd_values: the odd values as JSON texts; defaults to all
    """
    texts = {}
    for path in _paths(plain):
        for name, odd in (odd_values or ALL).items():
            title = ".".join(map(str, path))
            texts[f"{title}={name}"] = _render(plain, path, odd).encode()
    return texts


def _paths(
    value: typing.Any, path: tuple[str | int, ...] = ()
) -> list[tuple[str | int, ...]]:
    """Return the paths of a value, of its parts and of unknown fields."""
    paths = [path]
    match value:
        case dict():
            for key, inner in value.items():
                paths += _paths(inner, (*path, key))
            paths.append((*path, "Unknown"))
        case list():
            for index, inner in enumerate(value):
                paths += _paths(inner, (*path, index))
            paths.append((*path, len(value)))
    return paths


def _render(value: typing.Any, path: tuple[str | int, ...], odd: str) -> str:
    """Return a value as JSON with another text at one path."""
    if not path:
        return odd
    first, *rest = path
    if isinstance(value, dict):
        parts = {key: json.dumps(inner) for key, inner in value.items()}
        parts[str(first)] = _render(value.get(first), tuple(rest), odd)
        fields = [f'"{key}":{text}' for key, text in parts.items()]
        return "{" + ",".join(fields) + "}"
    texts = [json.dumps(inner) for inner in value]
    index = typing.cast(int, first)
    inner = value[index] if index < len(value) else None
    texts[index : index + 1] = [_render(inner, tuple(rest), odd)]
    return "[" + ",".join(texts) + "]"
