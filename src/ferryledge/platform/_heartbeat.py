"""Decoding of the heartbeats that an endpoint sends to its agent."""

import typing

import msgspec

from ferryledge import decoding
from ferryledge import leases
from ferryledge import wire

#: Maximum number of labels of an endpoint. They are part of each report to an
#: entry, whose arrays are limited.
_MAX_LABELS = 256


class HeartbeatError(Exception):
    """The heartbeat is not valid."""


class _Capacity(msgspec.Struct, frozen=True, rename="pascal"):
    #: Thousandths of a core.
    cpu: decoding.Natural
    mem_mb: decoding.Natural
    gpu: decoding.Natural


class _Heartbeat(msgspec.Struct, frozen=True, rename="pascal"):
    """A heartbeat; a body without the required fields is rejected."""

    #: Name of the service whose tasks the endpoint runs.
    backend: decoding.Label
    #: Address that the endpoint listens on, as ``host:port``.
    address: str
    zone: str
    #: Version of the endpoint's software.
    version: str
    slots: decoding.Natural
    state: typing.Literal["ready", "draining"]
    #: Milliseconds until the endpoint has warmed up after its start.
    cold_ms: decoding.Milliseconds
    capacity: _Capacity
    #: The endpoint's kind and rack.
    labels: typing.Annotated[
        tuple[decoding.Label, ...], msgspec.Meta(max_length=_MAX_LABELS)
    ]
    #: The endpoint's monotonic clock in milliseconds.
    clock_ms: decoding.Natural
    #: Sequence number, which increases with each heartbeat.
    seq: decoding.Natural
    #: While draining: milliseconds until the endpoint may shut down.
    remaining_ms: decoding.Milliseconds = 0
    #: Unix time of the endpoint's start in ms; 0 if it isn't reported.
    born: decoding.Natural = msgspec.field(default=0, name="born")


def parse_heartbeat(endpoint_id: str, body: bytes) -> leases.EndpointHeartbeat:
    """Decode a heartbeat.

    :param endpoint_id: the id in the request's path
    :param body: the request's body
    :raises HeartbeatError: if the id or the body is not valid
    """
    if not leases.is_endpoint_id(endpoint_id):
        raise HeartbeatError(
            "invalid heartbeat: the id must be printable ASCII without spaces"
        )
    try:
        heartbeat = decoding.decode_json(body, _Heartbeat)
    except decoding.DecodingError as exc:
        raise HeartbeatError(f"invalid heartbeat: {exc}") from exc
    capacity = heartbeat.capacity
    return leases.EndpointHeartbeat(
        endpoint_id,
        heartbeat.backend,
        heartbeat.address,
        wire.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        heartbeat.labels,
        heartbeat.state == "draining",
        heartbeat.remaining_ms / 1000.0,
        heartbeat.clock_ms,
        heartbeat.seq,
        heartbeat.born,
        max(0.0, heartbeat.cold_ms / 1000.0),
    )


class _Deregistration(msgspec.Struct, frozen=True):
    #: Unix time of the endpoint's start in ms; 0 if it isn't reported.
    born: decoding.Natural = 0


def parse_deregister(endpoint_id: str, body: bytes) -> leases.EndpointLeft:
    """Decode the call by which an endpoint announces its shutdown.

    :param endpoint_id: the id in the request's path
    :param body: the request's body; a malformed or empty body counts as one
        without a start time
    """
    try:
        deregistration = decoding.decode_json(body, _Deregistration)
    except decoding.DecodingError:
        deregistration = _Deregistration()
    return leases.EndpointLeft(endpoint_id, deregistration.born)
