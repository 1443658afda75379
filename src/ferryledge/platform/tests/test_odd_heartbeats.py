"""Odd values in the calls that endpoints make to their agents."""

import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import platform
from ferryledge.platform.tests import heartbeats

_HEARTBEAT = {
    "Backend": "desk", "Address": "a:1", "Zone": "north", "Version": "v1",
    "Slots": 8, "State": "ready", "ColdMs": 0, "RemainingMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 100, "Gpu": 0},
    "Labels": ["a"], "ClockMs": 77, "Seq": 4, "born": 1_785_154_628_500,
}  # fmt: skip
_HEARTBEATS = odd_values.variants(_HEARTBEAT)


# Guards against heartbeats that end the agent, or that entries can't decode.
@pytest.mark.parametrize("body", _HEARTBEATS.values(), ids=_HEARTBEATS.keys())
def test_odd_heartbeat_is_refused_or_can_be_sent_on(body: bytes) -> None:
    try:
        heartbeat = platform.parse_heartbeat("i-1", body)
    except platform.HeartbeatError:
        return
    heartbeats.encode_report(heartbeat)


def test_heartbeat_with_too_many_labels_is_refused() -> None:
    """Guards against a report that no entry's decoder accepts."""
    body = json.dumps({**_HEARTBEAT, "Labels": ["x"] * 5000}).encode()
    with pytest.raises(platform.HeartbeatError, match="Labels"):
        platform.parse_heartbeat("i-1", body)


@pytest.mark.parametrize(
    "endpoint_id", ["", "i 1", "i-1\r\nx: y", "i-€", "\x00", "i" * 1000]
)
def test_id_that_fits_no_header_is_refused(endpoint_id: str) -> None:
    """Guards against calls to the endpoint that end the agent."""
    body = json.dumps(_HEARTBEAT).encode()
    with pytest.raises(platform.HeartbeatError, match="id"):
        platform.parse_heartbeat(endpoint_id, body)


_DEREGISTRATIONS = odd_values.variants({"born": 1})


@pytest.mark.parametrize(
    "body", _DEREGISTRATIONS.values(), ids=_DEREGISTRATIONS.keys()
)
def test_odd_deregistration_counts_as_one_without_a_start_time(
    body: bytes,
) -> None:
    assert platform.parse_deregister("i-1", body).born_ms in (0, 1)
