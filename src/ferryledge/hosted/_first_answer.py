"""Notices soon that the store answers, while calls to it go without one.

It answers a start while the store is silent: after a loss of power an entry
whose first call was lost had no configuration until that call's time was
over, and refused its clients long after the store was back. A later call
shows that it is; what hangs is then begun anew.
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

AnswerT = typing.TypeVar("AnswerT")


class FirstAnswer:
    """Waits for the store's first answer to this process."""

    def __init__(self) -> None:
        self._scopes: list[anyio.CancelScope] = []

    async def wait(
        self, call: abc.Callable[[], abc.Awaitable[AnswerT]]
    ) -> AnswerT:
        """Return the first answer to one of several tries.

        :param call: begins one, over a connection of its own
        """
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
        if tries > 1:
            self._begin_anew()
        return answers[0]

    def _begin_anew(self) -> None:
        for scope in self._scopes:
            scope.cancel()

    async def run(self, act: abc.Callable[[], abc.Awaitable[None]]) -> None:
        """Run what calls the store, once more if that hangs by then.

        :param act: may be cancelled and begun anew
        """
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            await act()
        self._scopes.remove(scope)
        if scope.cancelled_caught:
            await act()
