"""The change that leads from one configuration to another."""

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
    """Return the change that makes the current entities the wanted ones.

    :param current: the configuration in force
    :param wanted: all entities as they should be
    :param change_id: unique name of the change
    :param author: who makes it
    :param reason: why
    :param at: seconds since 1970
    :param delete_missing: delete entities that are not wanted
    """
    have = {_entities.key_of(one): one for one in current.entities}
    want = {_entities.key_of(one): one for one in wanted}
    puts = tuple(one for key, one in want.items() if have.get(key) != one)
    deletes: typing.Iterable[_entities.EntityKey] = ()
    if delete_missing:
        deletes = [key for key in have if key not in want]
    return _entities.Change(
        id=change_id,
        base=current.version,
        author=author,
        reason=reason,
        at=at,
        puts=puts,
        deletes=tuple(deletes),
    )
