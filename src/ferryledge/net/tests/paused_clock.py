"""An event loop whose clock jumps to the next timer when nothing is ready."""

import asyncio
from collections import abc
import selectors
import typing

import anyio

ResultT = typing.TypeVar("ResultT")


class _JumpingSelector(selectors.SelectSelector):
    """Advances its clock where another selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class _PausedLoop(asyncio.SelectorEventLoop):
    """A loop that takes its time from its selector."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


def run(
    function: abc.Callable[..., abc.Awaitable[ResultT]], *arguments: typing.Any
) -> ResultT:
    """Run a function on a clock that jumps ahead when all tasks wait."""
    return anyio.run(
        function, *arguments, backend_options={"loop_factory": _PausedLoop}
    )
