"""Tests followers of the operators' log whose reads fail or are cancelled."""

from collections import abc
import typing

import anyio
import pytest

from ferryledge.hosted.tests import operator_processes
from ferryledge.hosted.tests import slow_store
from ferryledge.net.tests import paused_clock
from ferryledge import platform

#: Seconds until a slow store answers.
_SLOW_ANSWER_S = 0.24
_OUTAGE_S = 4.0
#: Seconds after an outage within which everything must be known.
_SETTLE_S = 4.0
_CORDON_A = "evacuate/hall-a"
_CORDON_B = "evacuate/hall-b"
#: Starts of outages, in hundredths of a second after the records. They cover
#: each read of the records by a store that is slow.
_OUTAGE_STARTS = range(1, 180, 8)


def _new_log() -> operator_processes.Log:
    """Return a log that holds version 1 and a cordon."""
    log = operator_processes.Log()
    log.put(platform.CONFIG_KEY, b"%08d" % 1)
    log.put(_CORDON_A, b"{}")
    return log


def _change(log: operator_processes.Log) -> None:
    """Lift a cordon, replace the configuration and cordon another zone."""
    log.put(_CORDON_A, b"")
    log.put(platform.CONFIG_KEY, b"%08d" % 2)
    log.put(_CORDON_B, b"{}")


async def _interrupt(store: slow_store.Store, after_s: float) -> None:
    """Take a slow store down for a while."""
    store.answer_s = _SLOW_ANSWER_S
    await anyio.sleep(after_s)
    store.down = True
    await anyio.sleep(_OUTAGE_S)
    store.down = False
    store.answer_s = 0.0


def _assert_changed(process: operator_processes.Process) -> None:
    assert process.version == 2
    assert process.zones == ("hall-b",)


_Steps = abc.Callable[
    [operator_processes.Log, slow_store.Store, operator_processes.Process],
    abc.Awaitable[None],
]


def _run(steps: _Steps, uptime_s: float = 2.0) -> operator_processes.Process:
    """Run a process beside steps, and for a while after them.

    :param uptime_s: seconds from the start of the process to the first step
    """

    async def main() -> operator_processes.Process:
        log = _new_log()
        store = log.new_store()
        process = operator_processes.Process(log, store)
        async with anyio.create_task_group() as group:
            group.start_soon(process.run)
            if uptime_s:
                await anyio.sleep(uptime_s)
            await steps(log, store, process)
            await anyio.sleep(_SETTLE_S)
            group.cancel_scope.cancel()
        return process

    return paused_clock.run(main)


def _change_before_an_outage(outage_start: int) -> _Steps:
    """Return steps that change the records before an outage.

    :param outage_start: hundredths of a second from the change to the outage
    """

    async def steps(
        log: operator_processes.Log,
        store: slow_store.Store,
        process: operator_processes.Process,
    ) -> None:
        _change(log)
        await _interrupt(store, outage_start / 100.0)

    return steps


# A configuration was never put in force if its read failed after the read of
# a record behind it.
@pytest.mark.parametrize("outage_start", _OUTAGE_STARTS)
def test_configuration_is_read_after_its_read_failed(
    outage_start: int,
) -> None:
    _assert_changed(_run(_change_before_an_outage(outage_start)))


# A process that started while the store failed never had a configuration.
@pytest.mark.parametrize("outage_start", _OUTAGE_STARTS)
def test_first_configuration_is_read_after_its_read_failed(
    outage_start: int,
) -> None:
    steps = _change_before_an_outage(outage_start)
    _assert_changed(_run(steps, uptime_s=0.0))


# A follower that is restarted while it reads must not skip what it had not
# read.
@pytest.mark.parametrize("stop", _OUTAGE_STARTS)
def test_configuration_is_read_after_its_read_was_cancelled(stop: int) -> None:
    async def main() -> operator_processes.Process:
        log = _new_log()
        _change(log)
        store = log.new_store()
        store.answer_s = _SLOW_ANSWER_S
        process = operator_processes.Process(log, store)
        with anyio.move_on_after(stop / 100.0):
            await process.run()
        with anyio.move_on_after(_SETTLE_S):
            await process.run()
        return process

    _assert_changed(paused_clock.run(main))


class _EmptyOnce(slow_store.Store):
    """Answers the first read without records."""

    def __init__(self, log: operator_processes.Log) -> None:
        super().__init__(1e8, log.records)
        self._was_read = False

    async def read(
        self, topic: str, offset: int, *args: typing.Any
    ) -> platform.KeyedPage:
        if self._was_read:
            return await super().read(topic, offset, *args)
        self._was_read = True
        return platform.KeyedPage((), offset, offset, len(self.log))


# An answer without the requested record counted as if it had been read.
def test_configuration_is_read_after_an_empty_answer() -> None:
    async def main() -> operator_processes.Process:
        log = operator_processes.Log()
        log.put(platform.CONFIG_KEY, b"%08d" % 1)
        process = operator_processes.Process(log, _EmptyOnce(log))
        with anyio.move_on_after(_SETTLE_S):
            await process.run()
        return process

    assert paused_clock.run(main).version == 1


# Guards against skipping a cordon before a delivered configuration when the
# list of cordons was read before that cordon was written.
def test_cordon_before_a_delivered_configuration_is_read() -> None:
    async def steps(
        log: operator_processes.Log,
        store: slow_store.Store,
        process: operator_processes.Process,
    ) -> None:
        store.down = True
        await anyio.sleep(1.0)
        store.answer_s, store.down = 1.0, False
        # The next attempt has begun by then and lists the cordons.
        await anyio.sleep(0.5)
        log.put(_CORDON_B, b"{}")
        log.put(platform.CONFIG_KEY, b"%08d" % 2 + bytes(200_000))
        process.follower.on_delivered(len(log.records), 200_008)
        await anyio.sleep(0.5)
        store.answer_s = 0.0

    process = _run(steps)
    assert process.zones == ("hall-a", "hall-b")
    # The configuration itself isn't read a second time.
    assert process.log.stores[0].sent_bytes < 200_000


# Guards against skipping a configuration when a cordon ended before the
# delivered configuration that precedes it.
def test_configuration_after_a_delivered_one_is_read() -> None:
    async def steps(
        log: operator_processes.Log,
        store: slow_store.Store,
        process: operator_processes.Process,
    ) -> None:
        store.down = True
        _change(log)
        process.follower.on_delivered(len(log.records), 8)
        await anyio.sleep(1.0)
        log.put(platform.CONFIG_KEY, b"%08d" % 3)
        store.down = False

    process = _run(steps)
    assert process.version == 3
    assert process.zones == ("hall-b",)


# A list names only the newest configuration. If that one is invalid, the one
# before it was skipped.
def test_configuration_before_a_listed_invalid_one_is_read() -> None:
    async def main() -> operator_processes.Process:
        log = _new_log()
        log.put(platform.CONFIG_KEY, operator_processes.INVALID)
        # More records than are read one by one before all keys are listed.
        for _ in range(10):
            log.put(_CORDON_B, b"{}")
            log.put(_CORDON_B, b"")
        process = operator_processes.Process(log, log.new_store())
        with anyio.move_on_after(_SETTLE_S):
            await process.run()
        return process

    process = paused_clock.run(main)
    assert process.version == 1
    assert process.zones == ("hall-a",)
