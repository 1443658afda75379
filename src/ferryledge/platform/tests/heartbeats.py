"""The report that carries a heartbeat's values to entries."""

from ferryledge import leases
from ferryledge import wire


def encode_report(heartbeat: leases.EndpointHeartbeat) -> None:
    """Encode a report of an endpoint with a hundred runs of its capacity."""
    capacity = heartbeat.capacity
    report = wire.EndpointState(
        heartbeat.incarnation,
        heartbeat.service,
        heartbeat.labels,
        capacity,
        capacity.minus(capacity, 100),
        remaining_s=heartbeat.remaining_s,
    )
    assert list(wire.Decoder().feed(wire.encode(report))) == [report]
