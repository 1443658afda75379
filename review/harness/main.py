"""Plays a case and turns its result into an exit code."""

import asyncio
from collections import abc
import os
import pathlib
import signal

from harness import deployment

#: The case could not run.
EXIT_NOT_RUN = 2

Play = abc.Callable[[deployment.Record, bool], abc.Awaitable[int]]


def run(play: Play) -> int:
    """Play a case in this folder and return its exit code.

    :param play: plays the case, given the record and whether the disruption
        takes place; returns 1 if the rule was broken and 0 if it held
    """
    record = deployment.Record(pathlib.Path("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"with{'' if trouble else 'out'} the disruption")

    async def play_until_told() -> int:
        # Ends the processes too if the case takes too long.
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(record, trouble)

    try:
        return asyncio.run(play_until_told())
    except (OSError, asyncio.CancelledError) as exc:
        record.write("case", f"could not run: {exc!r}")
        return EXIT_NOT_RUN
