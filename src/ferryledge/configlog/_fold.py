"""The rule by which every reader judges the log's records."""

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
    """The record says nothing new."""

    reason: str


Verdict = Accepted | Rejected | NotApplied


def check_references(
    entities: tuple[_entities.Entity, ...],
) -> str:
    """Return what is wrong between entities, or an empty string."""
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


def _apply(
    snapshot: _entities.Snapshot, change: _entities.Change
) -> tuple[_entities.Entity, ...]:
    table = {_entities.key_of(e): e for e in snapshot.entities}
    for key in change.deletes:
        table.pop(key, None)
    for entity in change.puts:
        table[_entities.key_of(entity)] = entity
    return tuple(sorted(table.values(), key=lambda one: (one.kind, one.name)))


def _audit(
    snapshot: _entities.Snapshot,
    change: _entities.Change,
    offset: int,
) -> _entities.AuditEntry:
    touched = {_entities.key_of(entity) for entity in change.puts}
    touched.update(change.deletes)
    before = tuple(
        one for one in snapshot.entities if _entities.key_of(one) in touched
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
    moved = dataclasses.replace(snapshot, through=offset + 1)
    if any(entry.id == change.id for entry in snapshot.history):
        return moved, NotApplied(f"change {change.id} was accepted before")
    if change.base != snapshot.version:
        reason = (
            f"based on version {change.base}, but version "
            f"{snapshot.version} is in force; look at it and publish again"
        )
        return moved, Rejected(change.id, reason)
    entities = _apply(snapshot, change)
    problem = check_references(entities)
    if problem:
        return moved, Rejected(change.id, problem)
    history = (*snapshot.history, _audit(snapshot, change, offset))
    folded = _entities.Snapshot(
        version=snapshot.version + 1,
        through=offset + 1,
        entities=entities,
        history=history[-_entities.HISTORY_KEPT :],
    )
    return folded, Accepted(change.id, folded.version)


def _fold_checkpoint(
    snapshot: _entities.Snapshot,
    checkpoint: _entities.Checkpoint,
    offset: int,
) -> tuple[_entities.Snapshot, Verdict]:
    if checkpoint.snapshot.version > snapshot.version:
        taken = dataclasses.replace(checkpoint.snapshot, through=offset + 1)
        return taken, Accepted("checkpoint", taken.version)
    moved = dataclasses.replace(snapshot, through=offset + 1)
    return moved, NotApplied("checkpoint is not newer")


def fold(
    snapshot: _entities.Snapshot,
    record: _entities.Change | _entities.Checkpoint,
    offset: int,
) -> tuple[_entities.Snapshot, Verdict]:
    """Apply one record of the log.

    The version never falls.

    :param snapshot: the state before the record
    :param record: the decoded record
    :param offset: the record's offset in the log
    :return: the state after it, and what became of the record
    """
    match record:
        case _entities.Change():
            return _fold_change(snapshot, record, offset)
        case _entities.Checkpoint():
            return _fold_checkpoint(snapshot, record, offset)
