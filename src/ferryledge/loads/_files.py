"""Loads in files, in TOML."""

import pathlib
import tomllib

import pydantic

from ferryledge.loads import _patterns

_LOAD = pydantic.TypeAdapter(_patterns.Load)


class LoadError(Exception):
    """The file holds no load; the message says where and why."""


def read(path: pathlib.Path) -> _patterns.Load:
    """Return the load that a file holds.

    :raises LoadError: if it holds none
    """
    try:
        load = _LOAD.validate_python(tomllib.loads(path.read_text()))
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as exc:
        raise LoadError(f"{path}: {exc}") from exc
    except pydantic.ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise LoadError(f"{path}, {field}: {first['msg']}") from exc
    _check(path, load)
    return load


def _check(path: pathlib.Path, load: _patterns.Load) -> None:
    if not load.phases or load.phases[0].at > 0.0:
        raise LoadError(f"{path}, phases: begin with one at 0")
    names = {kind.name for kind in load.kinds}
    for phase in load.phases:
        for name in phase.kinds:
            if name not in names:
                known = ", ".join(sorted(names))
                raise LoadError(
                    f"{path}, phases: no kind {name!r}; known: {known}"
                )
    if not sum(load.entries) or not sum(kind.weight for kind in load.kinds):
        raise LoadError(f"{path}: give entries and kinds a weight above 0")
