"""An agent that starts again gives up the runs that it has adopted.

An executor crashes and comes back under a new id. The agent's write of that
to the store gets no answer, and is done later. A moment later the agent is
killed and starts again, while its executor has runs at work. Exits with 1 if
two runs of a task were at work at the same time.
"""

import asyncio
import os
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / "harness-2"))

import deployment as deployment_module  # noqa: E402
import executor as executor_module  # noqa: E402
import record as record_module  # noqa: E402

#: Seconds for which the executor is down; spokewell-cork names 4.5.
DOWN_S = 0.8
#: Seconds by which the unanswered write is late; the pages say 1 to 6.
LATE_S = 4.0
#: Seconds after the executor's start in which its agent is killed, as soon as
#: there are runs. The agent writes again 2 s after the write without an answer.
KILL_S = ((0.4, 0.9), (1.55, 2.0))
#: Runs that the executor has by then.
LEAST_RUNS = 3
#: Seconds until the platform starts a killed process again.
RESTART_S = 0.02
JOBS_PER_S = 8.0
TASKS = 4
WORK_S = 1.8
#: The disruptions strike that often, a machine at a time.
ROUNDS = 14
#: Seconds between them.
CALM_S = 3.5


async def strike(
    deployment: deployment_module.Deployment,
    record: record_module.Record,
    is_troubled: bool,
) -> None:
    """Submit jobs all the time, with the disruptions among them."""
    running = []
    is_over = asyncio.Event()
    entries = range(len(deployment.entries))

    async def submit() -> None:
        count = 0
        while not is_over.is_set():
            first = count % len(entries)
            order = (first, (first + 1) % len(entries))
            job = deployment_module.make_job(TASKS, WORK_S)
            client = deployment.client(job, order)
            running.append(asyncio.create_task(client.run()))
            count += 1
            await asyncio.sleep(1.0 / JOBS_PER_S)

    load = asyncio.create_task(submit())
    struck: set[int] = set()
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        if is_troubled:
            await _disrupt(deployment, record, struck)
        if record.overlaps:
            break
    is_over.set()
    await load
    await asyncio.wait(running)
    await asyncio.sleep(1.0)


async def _disrupt(
    deployment: deployment_module.Deployment,
    record: record_module.Record,
    struck: set[int],
) -> None:
    """Crash the busiest executor, then kill the agent beside it.

    :param struck: the machines that were struck already; others come first
    """
    executors = deployment.executors
    if len(struck) == len(executors):
        struck.clear()
    victim = max(
        (n for n in range(len(executors)) if n not in struck),
        key=lambda n: len(executors[n].runs),
    )
    struck.add(victim)
    executor, agent = executors[victim], deployment.agents[victim]
    if os.environ.get("STORE", "late") == "late":
        deployment.agent_gates[victim].late_writes = 1
        deployment.agent_gates[victim].late_s = LATE_S
    await executor.crash()
    await asyncio.sleep(DOWN_S)
    await executor.start()
    await _wait_for_runs(executor, record)
    record.note("case", f"{executor.id} has {len(executor.runs)} runs")
    await agent.restart_killed(RESTART_S)


async def _wait_for_runs(
    executor: executor_module.Executor, record: record_module.Record
) -> None:
    began = record.now()
    while True:
        passed_s = record.now() - began
        is_time = any(first <= passed_s <= last for first, last in KILL_S)
        if is_time and len(executor.runs) >= LEAST_RUNS:
            await executor.lease_extended.wait()
            return
        if passed_s > KILL_S[-1][1]:
            return
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    sys.exit(asyncio.run(deployment_module.play(_FOLDER, strike)))
