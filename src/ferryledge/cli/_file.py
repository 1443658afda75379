"""Loads the TOML file that holds the configuration."""

import dataclasses
import pathlib
import tomllib
import typing

import pydantic

from ferryledge.cli import _options
from ferryledge import configlog
from ferryledge import policy

_KINDS: dict[str, type[configlog.Entity]] = {
    "service": configlog.Service,
    "place": configlog.Place,
    "policy": configlog.Policy,
    "workspace": configlog.Workspace,
    "cordon": configlog.Cordon,
}


def _parse_entity(
    kind: str, index: int, table: typing.Any
) -> configlog.Entity:
    location = f"{kind} number {index + 1}"
    if not isinstance(table, dict):
        raise _options.InputError(f"{location}: not a table; write [[{kind}]]")
    model = _KINDS[kind]
    fields = {field.name for field in dataclasses.fields(model)} - {"kind"}
    for name in table:
        if configlog.EARLIER_SETTINGS.get(name, name) not in fields:
            known = ", ".join(sorted(fields))
            raise _options.InputError(
                f"{location}: no setting {name!r}; known settings: {known}"
            )
    adapter: pydantic.TypeAdapter[configlog.Entity] = pydantic.TypeAdapter(
        model
    )
    try:
        return adapter.validate_python(table)
    except pydantic.ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise _options.InputError(
            f"{location}, {field or 'table'}: {first['msg']}"
        ) from exc


def load(path: pathlib.Path) -> tuple[configlog.Entity, ...]:
    """Load and check a configuration file.

    :param path: the TOML file
    :return: the entities of the file
    :raises InputError: if the file is invalid; the message says where and
        why
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as exc:
        raise _options.InputError(f"{path}: {exc}") from exc
    entities = []
    for section, tables in document.items():
        kind = configlog.EARLIER_KINDS.get(section, section)
        if kind not in _KINDS or not isinstance(tables, list):
            known = ", ".join(f"[[{name}]]" for name in _KINDS)
            raise _options.InputError(
                f"{path}: invalid section {section!r}; write {known}"
            )
        for index, table in enumerate(tables):
            entities.append(_parse_entity(kind, index, table))
    _check(path, tuple(entities))
    return tuple(entities)


def _check(path: pathlib.Path, entities: tuple[configlog.Entity, ...]) -> None:
    keys = set()
    for entity in entities:
        key = (entity.kind, entity.name)
        if key in keys:
            raise _options.InputError(
                f"{path}: {entity.kind} {entity.name!r} is defined twice"
            )
        keys.add(key)
    problem = configlog.check_references(entities)
    if problem:
        raise _options.InputError(f"{path}: {problem}")
    for entity in entities:
        if isinstance(entity, configlog.Policy):
            for error in policy.check(entity):
                raise _options.InputError(
                    f"{path}: policy {error.policy!r}, {error.program}: "
                    f"{error.message}"
                )
