"""Measures over real sockets, in one process: what the way adds."""

import dataclasses
import json
import statistics

import anyio

from ferryledge import client
from ferryledge import configlog
from ferryledge import demo
from ferryledge import runtime

_SLEEP_MS = 50.0
_CALLS = 200
_ENTITIES: tuple[configlog.Entity, ...] = (
    configlog.Service("lookup"),
    configlog.Workspace("workspace"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class LiveResult:
    """Times of a 50 ms task, in seconds, called one after the other."""

    direct_p50_s: float
    through_p50_s: float
    #: How many times as long it takes through an entry and an agent.
    ratio_p50: float
    ratio_p95: float


async def _direct(url: str) -> list[float]:
    caller = runtime.HttpClient(url, 1)
    body = json.dumps({"sleep_ms": _SLEEP_MS}).encode()
    times = []
    for _ in range(_CALLS):
        started = anyio.current_time()
        await caller.call("POST", "/v1/tasks/lookup", body)
        times.append(anyio.current_time() - started)
    await caller.close()
    return times


async def _through(urls: tuple[str, ...]) -> list[float]:
    job = client.Job(
        "workspace", "lookup", (client.Task({"sleep_ms": _SLEEP_MS}),)
    )
    times = []
    async with client.Client(urls) as caller:
        for _ in range(_CALLS):
            started = anyio.current_time()
            await caller.submit(job)
            times.append(anyio.current_time() - started)
    return times


async def _measure() -> LiveResult:
    cluster = demo.LocalCluster(demo.ClusterOptions(), _ENTITIES)
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        await _through(cluster.urls)
        direct = await _direct(cluster.endpoint_urls[0])
        through = await _through(cluster.urls)
        group.cancel_scope.cancel()
    middle = statistics.median(direct)
    late = statistics.quantiles(direct, n=20)[-1]
    return LiveResult(
        round(middle, 5),
        round(statistics.median(through), 5),
        round(statistics.median(through) / middle, 4),
        round(statistics.quantiles(through, n=20)[-1] / late, 4),
    )


def measure_live() -> LiveResult:
    """Run the calls and return their times."""
    runtime.configure_logging("error", "bench")
    return anyio.run(_measure)
