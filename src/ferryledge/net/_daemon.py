"""Runs a daemon and handles its signals."""

from collections import abc
import signal
import sys

import anyio
import loguru

#: Exit code when a second signal aborted unfinished work.
EXIT_ABORTED = 1
#: Selects uvloop, which takes less processor time than asyncio's event loop.
_BACKEND_OPTIONS = {"use_uvloop": True}

Main = abc.Callable[[anyio.Event], abc.Awaitable[None]]
DescribeUnfinished = abc.Callable[[], str]
Reload = abc.Callable[[], None]


async def _watch_signals(
    drain: anyio.Event,
    scope: anyio.CancelScope,
    describe_unfinished: DescribeUnfinished,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if not drain.is_set():
                loguru.logger.info(
                    "stopping: {} to finish; a second signal cuts it off",
                    describe_unfinished(),
                    step="drain",
                )
                drain.set()
                continue
            loguru.logger.warning(
                "stopped at once; cut off: {}",
                describe_unfinished(),
                step="drain",
            )
            sys.stderr.flush()
            scope.cancel()
            return


async def _watch_reloads(reload: Reload) -> None:
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            loguru.logger.info("reloading the settings", step="reload")
            reload()


async def _run(
    main: Main, describe_unfinished: DescribeUnfinished, reload: Reload
) -> int:
    drain = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_reloads, reload)
        group.start_soon(
            _watch_signals, drain, group.cancel_scope, describe_unfinished
        )
        await main(drain)
        group.cancel_scope.cancel()
        return 0
    return EXIT_ABORTED


def ignore_reload() -> None:
    """Ignore a request to reload the settings."""


def run_daemon(
    main: Main,
    describe_unfinished: DescribeUnfinished,
    reload: Reload = ignore_reload,
) -> int:
    """Run a daemon until it has drained.

    The first SIGTERM or SIGINT makes the daemon drain; a second one stops it
    immediately and logs the work that was aborted.

    :param main: the daemon; returns when the event that it is passed is set
        and all work is done
    :param describe_unfinished: describes the work in progress, for the log
    :param reload: called on SIGHUP; defaults to ignoring it
    :return: the exit code
    """
    return anyio.run(
        _run,
        main,
        describe_unfinished,
        reload,
        backend_options=_BACKEND_OPTIONS,
    )
