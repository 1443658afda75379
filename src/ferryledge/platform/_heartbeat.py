"""Heartbeats that an endpoint sends to the agent beside it."""

import msgspec

from ferryledge import leases
from ferryledge import wire


class HeartbeatError(Exception):
    """The body is no heartbeat."""


class _Capacity(msgspec.Struct, frozen=True, rename="pascal"):
    #: Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct, frozen=True, rename="pascal"):
    #: Name of the service that it runs tasks of.
    backend: str
    #: Where it takes calls, as ``host:port``.
    address: str
    state: str
    capacity: _Capacity = _Capacity()
    #: Its kind and its rack.
    labels: tuple[str, ...] = ()
    #: Its steady clock.
    clock_ms: int = 0
    #: Rises with each heartbeat.
    seq: int = 0
    #: While draining: the least time until it is gone.
    remaining_ms: float = 0
    #: Unix time of its start in ms.
    born: int = msgspec.field(default=0, name="born")


def parse_heartbeat(endpoint_id: str, body: bytes) -> leases.EndpointSeen:
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
    return leases.EndpointSeen(
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
    )


class _LastWord(msgspec.Struct, frozen=True):
    #: Unix time of the endpoint's start in ms.
    born: int = 0


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
