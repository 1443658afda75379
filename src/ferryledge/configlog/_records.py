"""Encodes and decodes the records of the log as validated JSON."""

import typing

import pydantic

from ferryledge.configlog import _entities

#: Maximum size of a record in bytes.
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
    """A record or snapshot can't be decoded.

    :param message: what is wrong
    :param newer: whether its format is newer than this program supports
    """

    def __init__(self, message: str, newer: bool = False) -> None:
        super().__init__(message)
        #: Whether the record's format is newer than this program supports.
        self.newer = newer


class _Envelope(pydantic.BaseModel):
    """The fields that records of all formats have."""

    format: int = _entities.FORMAT


def _describe(error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location or 'record'}: {first['msg']}"


def decode_record(
    data: bytes,
) -> _entities.Change | _entities.Checkpoint:
    """Decode a record of the log.

    :raises InvalidRecordError: if the bytes are not a valid record
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
        raise InvalidRecordError(_describe(exc)) from exc


def encode_record(
    record: _entities.Change | _entities.Checkpoint,
) -> bytes:
    """Encode a record for the log."""
    return _RECORDS.dump_json(record, by_alias=True)


def decode_snapshot(data: bytes) -> _entities.Snapshot:
    """Decode a snapshot that a peer sent or that a file holds.

    :raises InvalidRecordError: if the bytes are not a valid snapshot
    """
    try:
        return _SNAPSHOTS.validate_json(data)
    except pydantic.ValidationError as exc:
        raise InvalidRecordError(_describe(exc)) from exc


def encode_snapshot(snapshot: _entities.Snapshot) -> bytes:
    """Encode a snapshot as JSON."""
    return _SNAPSHOTS.dump_json(snapshot, by_alias=True)
