"""A configuration is written just before the store goes down."""

import asyncio
import json
import sys

from harness import deployment
from harness import main
from harness import store

_ENTRIES = 3
#: The queue of the clients, and others that get no jobs.
_OLD_QUEUES = ["tariff-check", *(f"idle-{number}" for number in range(40))]
_NEW_QUEUE = "release-status"
_BOUNDS = {
    **deployment.SMALL_BOUNDS,
    "ContactMs": 4000,
    "AckMs": 6000,
    "CatchUpS": 6,
    "DrainMs": 3000,
    "ConfigApplyMs": 3000,
    "MaxSkewMs": 6000,
    "EvacuateMs": 5000,
}
#: Factor on the store's answers while it is slow, and for how long.
_SLOW_X = 60.0
#: Seconds from the first record to the outage, and its length.
_OUTAGE_AT_S = 0.84
_OUTAGE_S = 4.2
#: How long a zone is evacuated.
_EVACUATED_S = 8.0
#: Seconds after the outage at which every bound has passed: ``ContactMs``,
#: ``ConfigApplyMs`` and ``MaxSkewMs`` one after the other.
_BOUND_S = 13.0
#: Seconds over which the daemons are asked after that.
_ASKED_S = 12.0


async def _write(
    world: deployment.Deployment, record: deployment.Record
) -> None:
    """Take one zone back, change the configuration, evacuate another zone."""
    world.write_record("evacuate/hall-a", b"")
    record.write("operator", "hall-a taken back")
    await asyncio.sleep(0.1)
    world.write_config(2, [*_OLD_QUEUES, _NEW_QUEUE])
    await asyncio.sleep(0.1)
    world.write_record("evacuate/hall-b", b"{}")
    record.write("operator", "evacuation of hall-b written")


async def _play(record: deployment.Record, trouble: bool) -> int:
    world = deployment.Deployment(record, entries=_ENTRIES, bounds=_BOUNDS)
    async with world:
        world.write_config(1, _OLD_QUEUES)
        if not await world.wait_until_ready(range(_ENTRIES)):
            record.write("case", "the entries are not ready")
            return main.EXIT_NOT_RUN
        await asyncio.sleep(1.0)
        world.write_record("evacuate/hall-a", b"{}")
        record.write("operator", "evacuation of hall-a written")
        await asyncio.sleep(_EVACUATED_S - 0.5)
        if trouble:
            world.store.slowness = _SLOW_X
            record.write("platform", f"the store is slow, {_SLOW_X:g} times")
        await asyncio.sleep(0.5)
        await _write(world, record)
        await asyncio.sleep(_OUTAGE_AT_S - 0.2)
        if trouble:
            world.store.outage = store.Outage.BUSY
            record.write("platform", "the store is down, busy")
        await asyncio.sleep(_OUTAGE_S)
        world.store.outage = store.Outage.NONE
        world.store.slowness = 1.0
        record.write("platform", "the store is well")
        left_s = _EVACUATED_S - _OUTAGE_AT_S - _OUTAGE_S
        await asyncio.sleep(left_s)
        world.write_record("evacuate/hall-b", b"")
        record.write("operator", "hall-b taken back")
        await asyncio.sleep(_BOUND_S - left_s)
        return await _judge(world, record)


async def _judge(
    world: deployment.Deployment, record: deployment.Record
) -> int:
    """CONFIG: no daemon answers 404 for the route of version 2 any more."""
    broken = False
    for _ in range(4):
        for number in range(_ENTRIES):
            answer = await world.call(number, "GET", f"/{_NEW_QUEUE}/")
            if answer is None:
                record.write("case", "a count was not answered")
                return main.EXIT_NOT_RUN
            if answer.status == 404:
                broken = True
                record.write(
                    "CONFIG", f"front-{number} has no route of version 2"
                )
        job = {
            "Spec": json.dumps({"ms": [100], "cpu": 500}),
            "Steps": [{"Count": 1, "Cpu": 500, "EstimateMs": 100}],
            "BestEffort": True,
        }
        name = f"{int(record.now() * 1000):016x}"
        await world.call(0, "POST", f"/{_NEW_QUEUE}/{name}", job)
        await asyncio.sleep(_ASKED_S / 4)
    record.write("case", "the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main.run(_play))
