"""Signal handling of daemons."""

import os
import signal

import anyio

from ferryledge import net


def test_sighup_reloads_settings_and_keeps_running() -> None:
    reloads = []

    async def main(drain: anyio.Event) -> None:
        await anyio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        while not reloads:
            await anyio.sleep(0)

    code = net.run_daemon(main, str, lambda: reloads.append(True))

    assert code == 0
    assert reloads == [True]
