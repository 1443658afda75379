"""Tests when an agent retries a renewal of its endpoint's lease."""

import json
import math

import anyio
from anyio import lowlevel

from ferryledge.hosted import _agent
from ferryledge import leases
from ferryledge import platform

_SETTINGS = """
Node = "side-1"
Ip = "127.0.0.1"
Zone = "north"
PortRange = [7720, 7735]
"""
_HEARTBEAT = {
    "Backend": "desk", "Address": "a:1", "Zone": "north", "Version": "v1",
    "Slots": 8, "State": "ready", "ColdMs": 0, "RemainingMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 100, "Gpu": 0},
    "Labels": [], "ClockMs": 77, "Seq": 4, "born": 1_785_154_628_500,
}  # fmt: skip


class _Core:
    """A core that never retries a failed renewal by itself."""

    def renewal(self, now: float) -> leases.Renewal:
        return leases.Renewal("i-1", 0, 1, 0, 0, retry_s=math.inf)


class _Driver:
    def now(self) -> float:
        return 0.0

    def post(self, event: object) -> None:
        pass


class _Calls:
    """Calls to an endpoint that refuses connections."""

    def __init__(self) -> None:
        self.count = 0

    async def renew(self, renewal: leases.Renewal) -> leases.LeaseNotRenewed:
        self.count += 1
        return leases.LeaseNotRenewed(leases.CallFault.DOWN, "i-1")


def test_heartbeat_triggers_a_retry_after_a_refused_call() -> None:
    """A recovered endpoint is called again at its first heartbeat."""

    async def main() -> tuple[int, int]:
        agent = _agent.HostedAgent(
            platform.parse_settings(_SETTINGS), ("key",)
        )
        calls = _Calls()
        agent._core, agent._driver, agent._calls = _Core(), _Driver(), calls
        async with anyio.create_task_group() as group:
            group.start_soon(agent._renew)
            for _ in range(10):
                await lowlevel.checkpoint()
            refused = calls.count
            agent._heartbeat("i-1", json.dumps(_HEARTBEAT).encode())
            for _ in range(10):
                await lowlevel.checkpoint()
            group.cancel_scope.cancel()
        return refused, calls.count

    assert anyio.run(main) == (1, 2)
