"""Computes the change that turns one configuration into another."""

import typing

from ferryledge.configlog import _entities


def change_between(
    current: _entities.Snapshot,
    wanted: tuple[_entities.Entity, ...],
    change_id: str,
    author: str,
    reason: str,
    at: float,
    delete_missing: bool = True,
) -> _entities.Change:
    """Return the change that turns the current entities into the wanted ones.

    :param current: the configuration in force
    :param wanted: all entities of the new configuration
    :param change_id: unique id of the change
    :param author: who makes the change
    :param reason: why it is made
    :param at: time of the change in seconds since 1970
    :param delete_missing: whether entities that ``wanted`` lacks are deleted
    """
    current_by_key = {
        _entities.key_of(entity): entity for entity in current.entities
    }
    wanted_by_key = {_entities.key_of(entity): entity for entity in wanted}
    puts = tuple(
        entity
        for key, entity in wanted_by_key.items()
        if current_by_key.get(key) != entity
    )
    deletes: typing.Iterable[_entities.EntityKey] = ()
    if delete_missing:
        deletes = [key for key in current_by_key if key not in wanted_by_key]
    return _entities.Change(
        id=change_id,
        base=current.version,
        author=author,
        reason=reason,
        at=at,
        puts=puts,
        deletes=tuple(deletes),
    )
