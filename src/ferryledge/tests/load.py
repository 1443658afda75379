"""Clients for tests of separate processes, and checks of what they got."""

import collections
import dataclasses
import json
import random

import anyio

from ferryledge import client


@dataclasses.dataclass
class Sent:
    """A job and what its client was told."""

    job: client.Job
    reply: client.Reply = None


def make_jobs(count, seed, most_tasks=6, sleep_ms=(2, 20)):
    """Return jobs whose payloads are all different."""
    rng = random.Random(seed)
    jobs = []
    for number in range(count):
        repeatable = number % 4 != 0
        tasks = tuple(
            client.Task(
                {
                    "sleep_ms": rng.uniform(*sleep_ms),
                    "echo": f"{seed}-{number}-{index}",
                }
            )
            for index in range(rng.randint(1, most_tasks))
        )
        jobs.append(
            client.Job(
                "shop",
                "lookup" if repeatable else "hold",
                tasks,
                request_id=f"job-{seed}-{number}",
                repeatable=repeatable,
            )
        )
    return jobs


async def _send(caller, sent, limiter):
    async with limiter:
        sent.reply = await caller.submit(sent.job)


async def _drive(urls, jobs, at_once, options, meanwhile):
    sent = [Sent(job) for job in jobs]
    limiter = anyio.CapacityLimiter(at_once)
    async with (
        client.Client(urls, options) as caller,
        anyio.create_task_group() as group,
    ):
        for one in sent:
            group.start_soon(_send, caller, one, limiter)
        if meanwhile is not None:
            await anyio.to_thread.run_sync(meanwhile)
    return sent


def drive(urls, jobs, at_once=64, options=None, meanwhile=None):
    """Submit all jobs; ``meanwhile`` runs in a thread beside them."""
    return anyio.run(_drive, urls, jobs, at_once, options, meanwhile)


def check(sent, journal):
    """Check every promise against journals and replies."""
    starts = collections.Counter(
        (one["submission"], one["task"]) for one in journal
    )
    assert not [key for key, count in starts.items() if count > 1]
    echoes = collections.Counter(
        json.loads(one["payload"])["echo"] for one in journal
    )
    for one in sent:
        counts = [echoes[task.payload["echo"]] for task in one.job.tasks]
        _check_reply(one, counts)


def _check_reply(sent, counts):
    reply = sent.reply
    if reply.attempts == 1 or not sent.job.repeatable:
        assert max(counts) <= 1, sent
    if reply.complete:
        wanted = [task.payload["echo"] for task in sent.job.tasks]
        assert [one["echo"] for one in reply.results] == wanted
        return
    assert not reply.results
    if reply.ran == "no" and reply.attempts == 1:
        assert not any(counts), sent
