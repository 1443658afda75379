"""Earlier names of entity kinds and settings.

During an upgrade, processes of two versions read the same log. Records are
therefore read under both names and written under the earlier ones. The files
of operators may use either.
"""

import pydantic

#: Maps earlier kinds of entities to the current ones.
KINDS = {"team": "workspace"}
#: Current and earlier name of the availability zones of a place.
_ZONES, _EARLIER_ZONES = "zones", "halls"
#: Maps earlier names of the settings of entities to the current ones.
SETTINGS = {_EARLIER_ZONES: _ZONES}
_EARLIER_KINDS = {current: earlier for earlier, current in KINDS.items()}


def _read_kind(kind: object) -> object:
    return KINDS.get(kind, kind) if isinstance(kind, str) else kind


def _write_kind(kind: str) -> str:
    return _EARLIER_KINDS.get(kind, kind)


#: Annotations that decode and encode the kind of an entity.
KIND = (
    pydantic.BeforeValidator(_read_kind),
    pydantic.PlainSerializer(_write_kind),
)
#: Annotation that decodes and encodes the availability zones of a place.
ZONES = pydantic.Field(
    validation_alias=pydantic.AliasChoices(_ZONES, _EARLIER_ZONES),
    serialization_alias=_EARLIER_ZONES,
)
