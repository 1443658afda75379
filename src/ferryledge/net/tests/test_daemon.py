"""Signals to a daemon."""

import os
import signal

import anyio

from ferryledge import net


def test_hangup_reloads_and_does_not_end_the_process() -> None:
    reloads = []

    async def main(drain: anyio.Event) -> None:
        await anyio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        while not reloads:
            await anyio.sleep(0)

    code = net.run_daemon(main, str, lambda: reloads.append(True))

    assert code == 0
    assert reloads == [True]
