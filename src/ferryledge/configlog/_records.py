"""Validated decoding of the log's records."""

import typing

import pydantic

from ferryledge.configlog import _entities

#: Largest record in bytes.
MAX_RECORD_BYTES = 4 * 1024 * 1024

_Record = typing.Annotated[
    _entities.Change | _entities.Checkpoint,
    pydantic.Field(discriminator="record"),
]
_RECORDS: pydantic.TypeAdapter[_entities.Change | _entities.Checkpoint] = (
    pydantic.TypeAdapter(_Record)
)
_SNAPSHOTS = pydantic.TypeAdapter(_entities.Snapshot)


class InvalidRecordError(Exception):
    """The record can't be understood.

    :param message: what is wrong
    :param newer: whether a newer program may understand it
    """

    def __init__(self, message: str, newer: bool = False) -> None:
        super().__init__(message)
        #: Whether a newer program may understand the record.
        self.newer = newer


class _Envelope(pydantic.BaseModel):
    """The fields that every format has."""

    format: int = _entities.FORMAT


def _explain(error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(part) for part in first["loc"])
    return f"{where or 'record'}: {first['msg']}"


def decode_record(
    data: bytes,
) -> _entities.Change | _entities.Checkpoint:
    """Return the record that the bytes hold.

    :raises InvalidRecordError: if they hold none
    """
    if len(data) > MAX_RECORD_BYTES:
        raise InvalidRecordError(f"larger than {MAX_RECORD_BYTES} bytes")
    try:
        envelope = _Envelope.model_validate_json(data)
        if envelope.format > _entities.FORMAT:
            raise InvalidRecordError(
                f"format {envelope.format} is newer than this program's "
                f"{_entities.FORMAT}; upgrade it",
                newer=True,
            )
        return _RECORDS.validate_json(data)
    except pydantic.ValidationError as exc:
        raise InvalidRecordError(_explain(exc)) from exc


def encode_record(
    record: _entities.Change | _entities.Checkpoint,
) -> bytes:
    """Return the record's bytes for the log."""
    return _RECORDS.dump_json(record, by_alias=True)


def decode_snapshot(data: bytes) -> _entities.Snapshot:
    """Return the snapshot that a peer or file holds.

    :raises InvalidRecordError: if it holds none
    """
    try:
        return _SNAPSHOTS.validate_json(data)
    except pydantic.ValidationError as exc:
        raise InvalidRecordError(_explain(exc)) from exc


def encode_snapshot(snapshot: _entities.Snapshot) -> bytes:
    """Return the snapshot as JSON text."""
    return _SNAPSHOTS.dump_json(snapshot, by_alias=True)
