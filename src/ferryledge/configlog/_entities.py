"""Entities of the configuration, and the records that change them.

The log stores changes and checkpoints under the names of their fields.
"""

import dataclasses
import typing

import annotated_types

from ferryledge.configlog import _earlier_names

#: Number of accepted changes that a snapshot keeps as its audit trail.
HISTORY_KEPT = 256
#: Newest record format that this program reads; it writes this format.
FORMAT = 1
#: Maximum number of puts, and of deletes, in one change.
MAX_ENTITIES = 1000

Name = typing.Annotated[
    str, annotated_types.MinLen(1), annotated_types.MaxLen(64)
]
Program = typing.Annotated[str, annotated_types.MaxLen(500)]
Positive = typing.Annotated[float, annotated_types.Gt(0)]
Count = typing.Annotated[int, annotated_types.Ge(0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of task that endpoints run."""

    name: Name
    #: Seconds after which the call of a task times out.
    timeout_s: typing.Annotated[Positive, annotated_types.Le(600)] = 30.0
    #: Whether a request may run more than once; else it needs a ticket.
    repeatable: bool = True
    #: Expected memory of one task in MB; 0 means not accounted for.
    memory_mb: Count = 0
    #: Name of the policy; empty if the service has none.
    policy: typing.Annotated[str, annotated_types.MaxLen(64)] = ""
    kind: typing.Literal["service"] = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A named group of availability zones in which tasks may run."""

    name: Name
    zones: typing.Annotated[tuple[Name, ...], _earlier_names.ZONES]
    kind: typing.Literal["place"] = "place"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Expressions over a job's facts; see :mod:`ferryledge.policy`."""

    name: Name
    #: Urgency of a job as a number: 1 is normal, higher runs earlier.
    urgency: Program = ""
    #: Whether a job may run in a zone.
    where: Program = ""
    #: Whether a job is refused.
    refuse: Program = ""
    kind: typing.Literal["policy"] = "policy"


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of clients with a quota."""

    name: Name
    #: Maximum number of slots in use in a region; 0 means unlimited.
    quota_slots: Count = 0
    #: Share of contended slots, relative to other workspaces.
    weight: Positive = 1.0
    kind: typing.Annotated[
        typing.Literal["workspace"], *_earlier_names.KIND
    ] = "workspace"


@dataclasses.dataclass(frozen=True, slots=True)
class Cordon:
    """Marks an availability zone that takes no new work.

    Tasks that run there already may finish.
    """

    #: Name of the zone.
    name: Name
    kind: typing.Literal["cordon"] = "cordon"


Entity = Service | Place | Policy | Workspace | Cordon


@dataclasses.dataclass(frozen=True, slots=True)
class EntityKey:
    """Identifies an entity; names are unique within a kind."""

    kind: typing.Annotated[
        typing.Literal["service", "place", "policy", "workspace", "cordon"],
        *_earlier_names.KIND,
    ]
    name: Name


def key_of(entity: Entity) -> EntityKey:
    """Return the key of an entity."""
    return EntityKey(entity.kind, entity.name)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An operator's change, as stored in the log."""

    #: Unique; identifies the change if the append's response is lost.
    id: Name
    #: The version that the change is based on.
    base: Count
    #: The operator who made the change.
    author: Name
    #: The operator's reason for the change.
    reason: typing.Annotated[str, annotated_types.MaxLen(500)]
    #: Seconds since 1970 by the operator's clock; informational only.
    at: float
    #: Entities to add or replace.
    puts: typing.Annotated[
        tuple[Entity, ...],
        annotated_types.MaxLen(MAX_ENTITIES),
    ] = ()
    #: Keys of the entities to delete; missing entities are ignored.
    deletes: typing.Annotated[
        tuple[EntityKey, ...], annotated_types.MaxLen(MAX_ENTITIES)
    ] = ()
    format: int = FORMAT
    record: typing.Literal["change"] = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change in the audit trail."""

    #: The version that the change led to.
    version: int
    #: Offset of the change in the log.
    offset: int
    id: str
    author: str
    reason: str
    at: float
    #: The entities that the change replaced or deleted.
    before: tuple[Entity, ...]
    #: The entities that the change put.
    after: tuple[Entity, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole configuration at one version."""

    version: int = 0
    #: Offset of the first record that the snapshot does not include.
    through: int = 0
    entities: tuple[Entity, ...] = ()
    #: The most recent accepted changes, oldest first.
    history: tuple[AuditEntry, ...] = ()

    def find(self, kind: str, name: str) -> Entity | None:
        """Return the entity of that kind and name, or ``None``."""
        for entity in self.entities:
            if entity.kind == kind and entity.name == name:
                return entity
        return None

    def of_kind(self, kind: str) -> list[Entity]:
        """Return all entities of one kind."""
        return [entity for entity in self.entities if entity.kind == kind]


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """A snapshot in the log, so that older records can be deleted."""

    snapshot: Snapshot
    #: Name of the process that appended the checkpoint.
    author: str = ""
    format: int = FORMAT
    record: typing.Literal["checkpoint"] = "checkpoint"


#: The configuration before the first change.
EMPTY_SNAPSHOT = Snapshot()
