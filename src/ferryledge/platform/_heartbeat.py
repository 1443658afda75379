"""Heartbeats that an endpoint sends to the agent beside it."""

import typing

import msgspec

from ferryledge import leases
from ferryledge import wire


class HeartbeatError(Exception):
    """The body is no heartbeat."""


_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class _Capacity(msgspec.Struct, frozen=True, rename="pascal"):
    #: Thousandths of a core.
    cpu: _Count
    mem_mb: _Count
    gpu: _Count


class _Beat(msgspec.Struct, frozen=True, rename="pascal"):
    """A heartbeat; one without any of these comes from another writer."""

    #: Name of the service that it runs tasks of.
    backend: str
    #: Where it takes calls, as ``host:port``.
    address: str
    zone: str
    #: Of its software.
    version: str
    slots: _Count
    state: typing.Literal["ready", "draining"]
    #: How much longer it is slow from its start.
    cold_ms: float
    capacity: _Capacity
    #: Its kind and its rack.
    labels: tuple[str, ...]
    #: Its steady clock.
    clock_ms: _Count
    #: Rises with each heartbeat.
    seq: _Count
    #: While draining: the least time until it is gone.
    remaining_ms: float = 0
    #: Unix time of its start in ms.
    born: _Count = msgspec.field(default=0, name="born")


def parse_heartbeat(endpoint_id: str, body: bytes) -> leases.EndpointHeartbeat:
    """Return what a heartbeat tells.

    :param endpoint_id: the id in the call's path
    :param body: the call's body
    :raises HeartbeatError: if it is no heartbeat
    """
    try:
        beat = msgspec.json.decode(body, type=_Beat)
    except msgspec.DecodeError as exc:
        raise HeartbeatError(f"no heartbeat: {exc}") from exc
    capacity = beat.capacity
    return leases.EndpointHeartbeat(
        endpoint_id,
        beat.backend,
        beat.address,
        wire.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        beat.labels,
        beat.state == "draining",
        beat.remaining_ms / 1000.0,
        beat.clock_ms,
        beat.seq,
        beat.born,
        max(0.0, beat.cold_ms / 1000.0),
    )


class _LastWord(msgspec.Struct, frozen=True):
    #: Unix time of the endpoint's start in ms.
    born: _Count = 0


def parse_deregister(endpoint_id: str, body: bytes) -> leases.EndpointLeft:
    """Return what an endpoint's last word tells.

    :param endpoint_id: the id in the call's path
    :param body: the call's body; it may be empty
    """
    try:
        last = msgspec.json.decode(body, type=_LastWord)
    except msgspec.DecodeError:
        last = _LastWord()
    return leases.EndpointLeft(endpoint_id, last.born)
