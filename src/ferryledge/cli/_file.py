"""The configuration file that operators write, in TOML."""

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
    kind: str, number: int, table: typing.Any
) -> configlog.Entity:
    where = f"{kind} number {number + 1}"
    if not isinstance(table, dict):
        raise _options.InputError(f"{where}: write [[{kind}]]")
    model = _KINDS[kind]
    fields = {field.name for field in dataclasses.fields(model)} - {"kind"}
    for name in table:
        if configlog.EARLIER_SETTINGS.get(name, name) not in fields:
            known = ", ".join(sorted(fields))
            raise _options.InputError(
                f"{where}: no setting {name!r}; known: {known}"
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
            f"{where}, {field or 'table'}: {first['msg']}"
        ) from exc


def load(path: pathlib.Path) -> tuple[configlog.Entity, ...]:
    """Return the entities that a file holds, checked.

    :raises CommandError: if the file is wrong, with the place and reason
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as exc:
        raise _options.InputError(f"{path}: {exc}") from exc
    entities = []
    for written, tables in document.items():
        kind = configlog.EARLIER_KINDS.get(written, written)
        if kind not in _KINDS or not isinstance(tables, list):
            known = ", ".join(f"[[{name}]]" for name in _KINDS)
            raise _options.InputError(
                f"{path}: {written!r} is unknown; write {known}"
            )
        for number, table in enumerate(tables):
            entities.append(_parse_entity(kind, number, table))
    _check(path, tuple(entities))
    return tuple(entities)


def _check(path: pathlib.Path, entities: tuple[configlog.Entity, ...]) -> None:
    seen = set()
    for entity in entities:
        key = (entity.kind, entity.name)
        if key in seen:
            raise _options.InputError(
                f"{path}: {entity.kind} {entity.name!r} stands twice"
            )
        seen.add(key)
    problem = configlog.check_references(entities)
    if problem:
        raise _options.InputError(f"{path}: {problem}")
    for entity in entities:
        if isinstance(entity, configlog.Policy):
            for found in policy.check(entity):
                raise _options.InputError(
                    f"{path}: policy {found.policy!r}, {found.program}: "
                    f"{found.message}"
                )
