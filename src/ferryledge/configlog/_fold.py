"""The rule by which every reader applies the records of the log.

It depends on nothing but the records and their order, so all readers of the
same prefix of the log hold the same configuration.
"""

import dataclasses

from ferryledge.configlog import _entities


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force."""

    change_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change has no effect, for a reason that its author can act on."""

    change_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotApplied:
    """The record is a duplicate, outdated or invalid and has no effect."""

    reason: str


Verdict = Accepted | Rejected | NotApplied


def check_references(
    entities: tuple[_entities.Entity, ...],
) -> str:
    """Check that the policies that services name exist.

    :return: a description of the first dangling reference, or an empty
        string
    """
    policies = {e.name for e in entities if e.kind == "policy"}
    for entity in entities:
        if not isinstance(entity, _entities.Service):
            continue
        if entity.policy and entity.policy not in policies:
            return (
                f"service {entity.name!r} names the policy "
                f"{entity.policy!r}, which does not exist"
            )
    return ""


def _apply_change(
    snapshot: _entities.Snapshot, change: _entities.Change
) -> tuple[_entities.Entity, ...]:
    by_key = {_entities.key_of(e): e for e in snapshot.entities}
    for key in change.deletes:
        by_key.pop(key, None)
    for entity in change.puts:
        by_key[_entities.key_of(entity)] = entity
    return tuple(
        sorted(by_key.values(), key=lambda item: (item.kind, item.name))
    )


def _audit_entry(
    snapshot: _entities.Snapshot,
    change: _entities.Change,
    offset: int,
) -> _entities.AuditEntry:
    changed_keys = {_entities.key_of(entity) for entity in change.puts}
    changed_keys.update(change.deletes)
    before = tuple(
        previous
        for previous in snapshot.entities
        if _entities.key_of(previous) in changed_keys
    )
    return _entities.AuditEntry(
        version=snapshot.version + 1,
        offset=offset,
        id=change.id,
        author=change.author,
        reason=change.reason,
        at=change.at,
        before=before,
        after=change.puts,
    )


def _fold_change(
    snapshot: _entities.Snapshot, change: _entities.Change, offset: int
) -> tuple[_entities.Snapshot, Verdict]:
    unchanged = dataclasses.replace(snapshot, through=offset + 1)
    if any(entry.id == change.id for entry in snapshot.history):
        return unchanged, NotApplied(f"change {change.id} was accepted before")
    if change.base != snapshot.version:
        reason = (
            f"based on version {change.base}, but version "
            f"{snapshot.version} is in force; review it and publish again"
        )
        return unchanged, Rejected(change.id, reason)
    entities = _apply_change(snapshot, change)
    problem = check_references(entities)
    if problem:
        return unchanged, Rejected(change.id, problem)
    history = (*snapshot.history, _audit_entry(snapshot, change, offset))
    changed = _entities.Snapshot(
        version=snapshot.version + 1,
        through=offset + 1,
        entities=entities,
        history=history[-_entities.HISTORY_KEPT :],
    )
    return changed, Accepted(change.id, changed.version)


def _fold_checkpoint(
    snapshot: _entities.Snapshot,
    checkpoint: _entities.Checkpoint,
    offset: int,
) -> tuple[_entities.Snapshot, Verdict]:
    if checkpoint.snapshot.version > snapshot.version:
        newer = dataclasses.replace(checkpoint.snapshot, through=offset + 1)
        return newer, Accepted("checkpoint", newer.version)
    unchanged = dataclasses.replace(snapshot, through=offset + 1)
    return unchanged, NotApplied("checkpoint is not newer")


def fold(
    snapshot: _entities.Snapshot,
    record: _entities.Change | _entities.Checkpoint,
    offset: int,
) -> tuple[_entities.Snapshot, Verdict]:
    """Apply one record of the log.

    The version of the result is never lower than that of ``snapshot``.

    :param snapshot: the state before the record
    :param record: the decoded record
    :param offset: the record's offset in the log
    :return: the state after the record, and whether the record took effect
    """
    match record:
        case _entities.Change():
            return _fold_change(snapshot, record, offset)
        case _entities.Checkpoint():
            return _fold_checkpoint(snapshot, record, offset)
