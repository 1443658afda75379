"""A job is cancelled through an entry that was added while the job runs."""

import asyncio
import json
import sys

from harness import deployment
from harness import main

_JOB = "5c0e7a21d94b36f8"
_QUEUE = "part-hold"
_CANCEL_S = 3.0
_STOP_S = 0.05
#: Longest time after which an unanswered cancel counts as acknowledged.
_ACK_S = 4.0
#: Milliseconds that a task of each step works.
_WORK_MS = [9000, 500]
_DEADLINE_S = 30.0
#: Entries at the start, one in each zone; the next one stands in the zone of
#: the first.
_ENTRIES = 3


def _job() -> dict[str, object]:
    steps = [
        {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": _WORK_MS[0]},
        {
            "Count": 1,
            "Cpu": 500,
            "MemMb": 64,
            "EstimateMs": _WORK_MS[1],
            "DependsOn": [0],
        },
    ]
    spec = json.dumps({"ms": _WORK_MS, "cpu": 500})
    return {"Spec": spec, "Steps": steps, "BestEffort": True}


async def _play(record: deployment.Record, trouble: bool) -> int:
    world = deployment.Deployment(record, entries=_ENTRIES + 1)
    added = world.entries.pop()
    async with world:
        world.write_config(1, [_QUEUE])
        if not await world.wait_until_ready(range(_ENTRIES)):
            record.write("case", "the entries are not ready")
            return main.EXIT_NOT_RUN
        path = f"/{_QUEUE}/{_JOB}"
        submission = asyncio.create_task(
            world.call(0, "POST", path, _job(), _DEADLINE_S)
        )
        await asyncio.sleep(1.0)
        if not any(what == "start" for _, what, _, _ in world.events):
            record.write("case", "the job did not start")
            return main.EXIT_NOT_RUN
        chosen = 0
        if trouble:
            # add_nodes: the platform passes the client's next connection to
            # the entry that was added in its zone.
            record.write("platform", "front-3 is added in hall-a")
            world.entries.append(added)
            added.start()
            chosen = _ENTRIES
            if not await world.wait_until_ready([chosen]):
                record.write("case", "the added entry is not ready")
                return main.EXIT_NOT_RUN
            record.write("platform", "front-3 is ready and in")
        answer = await world.call(chosen, "DELETE", path)
        if answer is None or answer.status not in (200, 410):
            record.write("case", "the cancel was not acknowledged")
            return main.EXIT_NOT_RUN
        acked_at = record.now()
        await asyncio.wait([submission], timeout=_WORK_MS[0] / 1000.0 + 6.0)
        await asyncio.sleep(1.0)
        submission.cancel()
        return _judge(world, record, acked_at)


def _judge(
    world: deployment.Deployment, record: deployment.Record, acked_at: float
) -> int:
    """UNASKED: no start after ``cancel_ms``, nothing runs ``StopMs`` later."""
    broken = False
    for at, what, task, _ in world.events:
        late_s = at - acked_at - _CANCEL_S
        if what == "start" and late_s > 0.0:
            broken = True
            note = f"{task} started {late_s:.2f} s later than allowed"
            record.write("UNASKED", note)
        if what == "end" and late_s > _STOP_S:
            broken = True
            note = f"{task} ran {late_s:.2f} s longer than allowed"
            record.write("UNASKED", note)
    if broken:
        late = max(at for at, what, _, _ in world.events if what == "start")
        record.write(
            "UNASKED",
            f"last start {late - acked_at:.2f} s after the answer; without an "
            f"answer, {_ACK_S + _CANCEL_S:g} s would be allowed",
        )
    record.write("case", "the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main.run(_play))
