"""Notices soon that the store answers, while a call to it goes without one.

It answers a start while a part of the store is silent: after a loss of power
an entry whose first call was lost had no configuration until that call's time
was over, and refused its clients long after the store was back. A later call
shows that it is; what hangs is then begun anew. Calls are not made shorter: a
large configuration takes a narrow link long.
"""

from collections import abc
import contextlib
import typing

import anyio

from ferryledge import platform

#: Seconds until the second try, and the most between two: a call costs the
#: store something also while it is silent.
_FIRST_GAP_S = 0.25
_LONGEST_GAP_S = 1.0
#: Seconds without an answer after which the store is probed.
_PATIENCE_S = 0.03
#: An offset that no log reaches: what is read from there on is small.
_BEYOND_THE_LOG = 2**40

AnswerT = typing.TypeVar("AnswerT")
Call = abc.Callable[[], abc.Awaitable[AnswerT]]
Act = abc.Callable[[], abc.Awaitable[None]]


async def first_answer(call: Call[AnswerT]) -> AnswerT:
    """Return the first answer to one of several tries.

    :param call: begins one, over a connection of its own
    """
    answer, _ = await _try(call)
    return answer


async def probe(address: str) -> None:
    """Return once the store answers for the log with configurations.

    :param address: ``host:port`` of the store
    :raises platform.StoreError: if it did not
    """
    store = platform.StoreClient(address)
    try:
        with contextlib.suppress(platform.RecordsGoneError):
            await store.read(platform.CONFIG_TOPIC, _BEYOND_THE_LOG, 0.0)
    finally:
        await store.close()


async def run(act: Act, look: Call[object], done: anyio.Event) -> None:
    """Run what calls the store; once more if its first call seems lost.

    A first probe that is answered shows a store that only takes its time.

    :param act: may be cancelled and begun anew
    :param look: a small call to the same part of the store, over a
        connection of its own
    :param done: set once it has its answer
    """
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:
            group.start_soon(_watch, scope, look, done)
            await act()
            group.cancel_scope.cancel()
    if scope.cancelled_caught:
        await act()


async def _watch(
    scope: anyio.CancelScope, look: Call[object], done: anyio.Event
) -> None:
    """Cancel a scope if the store is found to be back after a silence."""
    with anyio.move_on_after(_PATIENCE_S):
        await done.wait()
        return
    async with anyio.create_task_group() as group:

        async def end() -> None:
            await done.wait()
            group.cancel_scope.cancel()

        group.start_soon(end)
        _, tries = await _try(look)
        if tries > 1:
            scope.cancel()
        group.cancel_scope.cancel()


async def _try(call: Call[AnswerT]) -> tuple[AnswerT, int]:
    """Return the first answer, and how many tries were begun by then."""
    answers: list[AnswerT] = []
    tries = 0
    gap_s = _FIRST_GAP_S
    async with anyio.create_task_group() as group:

        async def one() -> None:
            with contextlib.suppress(platform.StoreError):
                answers.append(await call())
                group.cancel_scope.cancel()

        while True:
            tries += 1
            group.start_soon(one)
            await anyio.sleep(gap_s)
            gap_s = min(_LONGEST_GAP_S, 2.0 * gap_s)
    return answers[0], tries
