"""``python -m ferryledge.demo``: runs a load and prints a summary.

Part way through the run an agent is drained and a policy is published.
"""

import dataclasses
import json
import random
import sys

import anyio

from ferryledge import client
from ferryledge import configlog
from ferryledge import demo
from ferryledge.demo import _report
from ferryledge import runtime

_JOBS = 400
_ARRIVALS_PER_S = 25.0
_SEED = 7
#: Network time in the ideal response time of a job, in seconds.
_NETWORK_S = 0.002


@dataclasses.dataclass(frozen=True)
class JobKind:
    """A kind of job, with the ranges from which its tasks are drawn."""

    workspace: str
    service: str
    #: Least and greatest number of tasks.
    tasks: tuple[int, int]
    #: Shortest and longest duration of a task.
    sleep_ms: tuple[float, float]
    repeatable: bool = True


_JOB_KINDS = (
    JobKind("spokewell", "stock-check", (1, 4), (50, 120)),
    JobKind("spokewell", "quote", (3, 10), (80, 300)),
    JobKind("spokewell", "hold", (1, 1), (60, 150), repeatable=False),
    JobKind("gletscherpass", "seat-map", (1, 6), (50, 150)),
    JobKind("gletscherpass", "bag-tag", (1, 3), (60, 200), repeatable=False),
)
_ENTITIES: tuple[configlog.Entity, ...] = (
    *(
        configlog.Service(kind.service, 10.0, kind.repeatable)
        for kind in _JOB_KINDS
    ),
    configlog.Workspace("spokewell"),
    configlog.Workspace("gletscherpass"),
)
_POLICY: tuple[configlog.Entity, ...] = (
    configlog.Policy("counter", urgency="3 if tasks <= 4 else 1"),
    configlog.Service("stock-check", 10.0, policy="counter"),
)


def _print_line(text: str) -> None:
    print(text, flush=True)


def _make_job(rng: random.Random, number: int) -> client.Job:
    kind = rng.choice(_JOB_KINDS)
    tasks = tuple(
        client.Task(
            {
                "sleep_ms": round(rng.uniform(*kind.sleep_ms), 1),
                "echo": f"{number}-{index}",
            }
        )
        for index in range(rng.randint(*kind.tasks))
    )
    return client.Job(
        kind.workspace,
        kind.service,
        tasks,
        request_id=f"job-{number}",
        repeatable=kind.repeatable,
    )


async def _submit(
    job_client: client.Client, job: client.Job, samples: list[_report.Sample]
) -> None:
    started = anyio.current_time()
    reply = await job_client.submit(job)
    response_s = anyio.current_time() - started
    longest_s = max(task.payload["sleep_ms"] for task in job.tasks) / 1000.0
    samples.append(
        _report.Sample(job, reply, response_s, longest_s + _NETWORK_S)
    )


async def _run_load(cluster: demo.LocalCluster) -> demo.Summary:
    rng = random.Random(_SEED)
    samples: list[_report.Sample] = []
    before = cluster.messages
    async with (
        client.Client(cluster.urls) as job_client,
        anyio.create_task_group() as group,
    ):
        for number in range(_JOBS):
            await anyio.sleep(rng.expovariate(_ARRIVALS_PER_S))
            job = _make_job(rng, number)
            group.start_soon(_submit, job_client, job, samples)
            await _apply_events(cluster, number, len(samples))
    messages = cluster.messages - before
    return demo.summarise(samples, cluster.journal, messages)


async def _apply_events(
    cluster: demo.LocalCluster, number: int, answered: int
) -> None:
    """Report progress, drain an agent and publish a policy.

    Each happens after a fixed number of submitted jobs.
    """
    if number % 50 == 49:
        _print_line(f"  {number + 1} jobs submitted, {answered} answered")
    if number == _JOBS // 3:
        _print_line(
            "draining agent-1: it finishes its tasks and accepts no more"
        )
        cluster.drain("agent-1")
    if number == _JOBS // 2:
        _print_line("publishing a policy: small stock checks go first")
        await cluster.publish(_POLICY, "stock checks can't wait")


async def _main() -> demo.Summary:
    _print_line("starting the stand-ins, 2 entries and 3 agents")
    cluster = demo.LocalCluster(demo.ClusterOptions(), _ENTITIES)
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        _print_line(f"serving at {', '.join(cluster.urls)}")
        summary = await _run_load(cluster)
        versions = {
            entry.entry_core.rulebook.version for entry in cluster.entries
        }
        _print_line(f"configuration versions in force at the end: {versions}")
        group.cancel_scope.cancel()
    return summary


def main() -> int:
    """Run the demonstration.

    :returns: the exit code; 0 if no task started twice and no answer was
        partial
    """
    runtime.configure_logging("error", "demo")
    summary = anyio.run(_main)
    print(json.dumps(dataclasses.asdict(summary)), flush=True)
    return 1 if summary.double_starts or summary.partial_answers else 0


if __name__ == "__main__":
    sys.exit(main())
