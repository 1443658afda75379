"""Earlier names, which operators' files may use and records keep.

Processes of two versions read one log while they are replaced, so the
records are read under both names and written under the earlier ones.
"""

import pydantic

#: Earlier kinds of entities, and what they are called now.
KINDS = {"team": "workspace"}
#: The availability zones of a place, now and earlier.
_ZONES, _EARLIER_ZONES = "zones", "halls"
#: Earlier settings of entities, and what they are called now.
SETTINGS = {_EARLIER_ZONES: _ZONES}
_KIND_IN_RECORDS = {now: earlier for earlier, now in KINDS.items()}


def _read_kind(kind: object) -> object:
    return KINDS.get(kind, kind) if isinstance(kind, str) else kind


def _write_kind(kind: str) -> str:
    return _KIND_IN_RECORDS.get(kind, kind)


#: How a record holds the kind of an entity.
KIND = (
    pydantic.BeforeValidator(_read_kind),
    pydantic.PlainSerializer(_write_kind),
)
#: How a record holds the availability zones of a place.
ZONES = pydantic.Field(
    validation_alias=pydantic.AliasChoices(_ZONES, _EARLIER_ZONES),
    serialization_alias=_EARLIER_ZONES,
)
