"""A job is cancelled after a configuration dropped its queue's route."""

import asyncio
import json
import os
import pathlib
import sys

from harness import deployment

_JOB = "7b41d09ce52f863a"
_QUEUE = "part-hold"
_OTHER_QUEUE = "trade-quote"
_ENTRIES = 3
_CANCEL_S = 3.0
_STOP_S = 0.05
#: A cancel without a 2xx or 410 counts from then on.
_ACK_S = 4.0
#: Seconds from the configuration to the first cancel: more than ``ContactMs``
#: and ``ConfigApplyMs``.
_SETTLED_S = 5.0
#: Milliseconds that a task of each step works.
_WORK_MS = [17_000, 500]
_DEADLINE_S = 40.0


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


async def _cancel(world: deployment.Deployment, path: str) -> bool:
    """Send the cancel to each daemon in turn until one acknowledges it."""
    for number in range(_ENTRIES):
        answer = await world.call(number, "DELETE", path)
        if answer is not None and answer.status in (200, 204, 410):
            return True
        await asyncio.sleep(1.0)
    return False


async def _play(record: deployment.Record, trouble: bool) -> int:
    world = deployment.Deployment(record, entries=_ENTRIES)
    async with world:
        world.write_config(1, [_QUEUE, _OTHER_QUEUE])
        if not await world.wait_until_ready(range(_ENTRIES)):
            record.write("case", "the entries are not ready")
            return 2
        path = f"/{_QUEUE}/{_JOB}"
        submission = asyncio.create_task(
            world.call(0, "POST", path, _job(), _DEADLINE_S)
        )
        await asyncio.sleep(1.0)
        if not any(what == "start" for _, what, _, _ in world.events):
            record.write("case", "the job did not start")
            return 2
        if trouble:
            world.write_config(2, [_OTHER_QUEUE])
        await asyncio.sleep(_SETTLED_S)
        sent_at = record.now()
        is_acked = await _cancel(world, path)
        counts_from = record.now() if is_acked else sent_at + _ACK_S
        await asyncio.wait([submission], timeout=_WORK_MS[0] / 1000.0 + 5.0)
        await asyncio.sleep(1.0)
        submission.cancel()
        return _judge(world, record, counts_from)


def _judge(
    world: deployment.Deployment, record: deployment.Record, counts_from: float
) -> int:
    """UNASKED: no start after ``cancel_ms``, nothing runs ``StopMs`` later."""
    broken = False
    for at, what, task, _ in world.events:
        late_s = at - counts_from - _CANCEL_S
        if what == "start" and late_s > 0.0:
            broken = True
            note = f"{task} started {late_s:.2f} s later than allowed"
            record.write("UNASKED", note)
        if what == "end" and late_s > _STOP_S:
            broken = True
            note = f"{task} ran {late_s:.2f} s longer than allowed"
            record.write("UNASKED", note)
    record.write("case", "the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def main() -> int:
    """Play the case and return the exit code."""
    record = deployment.Record(pathlib.Path("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"with{'' if trouble else 'out'} the disruption")
    try:
        return asyncio.run(_play(record, trouble))
    except OSError as exc:
        record.write("case", f"could not run: {exc}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
