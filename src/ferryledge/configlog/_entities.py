"""The entities of the configuration, and changes to them."""

import dataclasses
import typing

import annotated_types

from ferryledge.configlog import _earlier

#: Accepted changes kept in a snapshot for the audit trail.
HISTORY_KEPT = 256
#: Format of the records that this program writes and understands.
FORMAT = 1
#: Most entities in one change.
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
    #: Seconds after which a task's call is ended.
    timeout_s: typing.Annotated[Positive, annotated_types.Le(600)] = 30.0
    #: Whether a client may send the same request again.
    repeatable: bool = True
    #: Expected memory of one task in MB; 0 is not counted.
    memory_mb: Count = 0
    #: Name of the policy; empty is none.
    policy: typing.Annotated[str, annotated_types.MaxLen(64)] = ""
    kind: typing.Literal["service"] = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A named group of zones in which tasks may run."""

    name: Name
    zones: typing.Annotated[tuple[Name, ...], _earlier.ZONES]
    kind: typing.Literal["place"] = "place"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A short program; see :mod:`ferryledge.policy`."""

    name: Name
    #: How urgent a job is: a number, 1 is ordinary, larger goes earlier.
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
    #: Most slots in use at once in a region; 0 is no limit.
    quota_slots: Count = 0
    #: Share of the slots under contention, against other workspaces.
    weight: Positive = 1.0
    kind: typing.Annotated[typing.Literal["workspace"], *_earlier.KIND] = (
        "workspace"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Cordon:
    """An availability zone that takes no new work; what runs there ends."""

    #: The zone.
    name: Name
    kind: typing.Literal["cordon"] = "cordon"


Entity = Service | Place | Policy | Workspace | Cordon


@dataclasses.dataclass(frozen=True, slots=True)
class EntityKey:
    """Names one entity."""

    kind: typing.Annotated[
        typing.Literal["service", "place", "policy", "workspace", "cordon"],
        *_earlier.KIND,
    ]
    name: Name


def key_of(entity: Entity) -> EntityKey:
    """Return the entity's key."""
    return EntityKey(entity.kind, entity.name)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An operator's change, as it stands in the log."""

    #: Unique; finds the change again when an append's answer was lost.
    id: Name
    #: The version that the operator saw.
    base: Count
    #: Who made it.
    author: Name
    #: Why, in the operator's words.
    reason: typing.Annotated[str, annotated_types.MaxLen(500)]
    #: When, in seconds of the operator's clock since 1970; for reading.
    at: float
    puts: typing.Annotated[
        tuple[Entity, ...],
        annotated_types.MaxLen(MAX_ENTITIES),
    ] = ()
    deletes: typing.Annotated[
        tuple[EntityKey, ...], annotated_types.MaxLen(MAX_ENTITIES)
    ] = ()
    format: int = FORMAT
    record: typing.Literal["change"] = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change in the audit trail."""

    version: int
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
    #: Offset of the first record that is not folded in.
    through: int = 0
    entities: tuple[Entity, ...] = ()
    #: The last accepted changes, oldest first.
    history: tuple[AuditEntry, ...] = ()

    def find(self, kind: str, name: str) -> Entity | None:
        """Return the entity of that kind and name, or none."""
        for entity in self.entities:
            if entity.kind == kind and entity.name == name:
                return entity
        return None

    def of_kind(self, kind: str) -> list[Entity]:
        """Return all entities of one kind."""
        return [one for one in self.entities if one.kind == kind]


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """A snapshot in the log, so that older records may be forgotten."""

    snapshot: Snapshot
    #: Name of the process that appended it.
    author: str = ""
    format: int = FORMAT
    record: typing.Literal["checkpoint"] = "checkpoint"


EMPTY = Snapshot()
