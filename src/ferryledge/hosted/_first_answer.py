"""Detects early that the store answers again while a call to it hangs.

If the store is unavailable when a process starts, the first call may hang
until its timeout although the store has recovered meanwhile. Small probes on
separate connections detect the recovery, and the hanging call is restarted. A
shorter timeout would not do: a large configuration takes long to read over a
narrow link.
"""

from collections import abc
import contextlib
import typing

import anyio

from ferryledge import platform

#: Seconds from the first attempt to the second; the interval then doubles.
_FIRST_RETRY_S = 0.25
#: Maximum seconds between attempts. A call costs the store something also
#: while it does not answer.
_MAX_RETRY_S = 1.0
#: Seconds without an answer after which probes start.
_PROBE_DELAY_S = 0.03
#: An offset that no log reaches, so that a read from there returns no records.
_BEYOND_LOG_END = 2**40

AnswerT = typing.TypeVar("AnswerT")
Call = abc.Callable[[], abc.Awaitable[AnswerT]]
Operation = abc.Callable[[], abc.Awaitable[None]]


async def first_answer(call: Call[AnswerT]) -> AnswerT:
    """Return the first answer to repeated, overlapping attempts.

    :param call: makes one attempt on a connection of its own
    """
    answer, _ = await _first_of_retries(call)
    return answer


async def probe(address: str) -> None:
    """Return once the store answers a read of the configuration log.

    :param address: ``host:port`` of the store
    :raises platform.StoreError: if the store does not answer
    """
    store = platform.StoreClient(address)
    try:
        with contextlib.suppress(platform.RecordsGoneError):
            await store.read(platform.CONFIG_TOPIC, _BEYOND_LOG_END, 0.0)
    finally:
        await store.close()


async def run(
    operation: Operation, probe_store: Call[object], done: anyio.Event
) -> None:
    """Run an operation, and restart it once if its first call seems lost.

    If the very first probe is answered, the store is only slow and the
    operation continues.

    :param operation: calls the store; may be cancelled and restarted
    :param probe_store: makes a small call to the same part of the store on a
        connection of its own
    :param done: set once the operation has received its first answer
    """
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_after_outage, scope, probe_store, done)
            await operation()
            group.cancel_scope.cancel()
    if scope.cancelled_caught:
        await operation()


async def _cancel_after_outage(
    scope: anyio.CancelScope, probe_store: Call[object], done: anyio.Event
) -> None:
    """Cancel a scope if probes succeed only after a failed attempt."""
    with anyio.move_on_after(_PROBE_DELAY_S):
        await done.wait()
        return
    async with anyio.create_task_group() as group:

        async def stop_probing() -> None:
            await done.wait()
            group.cancel_scope.cancel()

        group.start_soon(stop_probing)
        _, attempts = await _first_of_retries(probe_store)
        if attempts > 1:
            scope.cancel()
        group.cancel_scope.cancel()


async def _first_of_retries(call: Call[AnswerT]) -> tuple[AnswerT, int]:
    """Return the first answer and the number of attempts made until then."""
    answers: list[AnswerT] = []
    attempts = 0
    interval_s = _FIRST_RETRY_S
    async with anyio.create_task_group() as group:

        async def attempt() -> None:
            with contextlib.suppress(platform.StoreError):
                answers.append(await call())
                group.cancel_scope.cancel()

        while True:
            attempts += 1
            group.start_soon(attempt)
            await anyio.sleep(interval_s)
            interval_s = min(_MAX_RETRY_S, 2.0 * interval_s)
    return answers[0], attempts
