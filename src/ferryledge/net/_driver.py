"""Runs a core: feeds it events, ticks it and carries out its actions."""

from collections import abc
import typing

import anyio

#: Ticks at least this often, in seconds.
_LONGEST_SLEEP_S = 60.0


EventT = typing.TypeVar("EventT", contravariant=True)
ActionT = typing.TypeVar("ActionT")


class Core(typing.Protocol[EventT, ActionT]):
    """What the driver needs of a core."""

    def receive(self, now: float, event: EventT, /) -> None:
        """Take in one event."""

    def tick(self, now: float) -> list[ActionT]:
        """Return the actions that the events so far call for."""

    def wake_at(self) -> float:
        """Return when to tick at the latest."""


def _nothing() -> None:
    """Do nothing after a tick."""


class Driver(typing.Generic[EventT, ActionT]):
    """Ticks a core once for all events that are ready.

    :param driven: the core
    :param perform: carries out one action; must not block
    :param ticked: called after each tick
    """

    def __init__(
        self,
        driven: Core[EventT, ActionT],
        perform: abc.Callable[[ActionT], None],
        ticked: abc.Callable[[], None] = _nothing,
    ) -> None:
        self._core = driven
        self._perform = perform
        self._ticked = ticked
        self._wake = anyio.Event()

    def post(self, event: EventT) -> None:
        """Hand an event to the core; it ticks soon."""
        self._core.receive(anyio.current_time(), event)
        self._wake.set()

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            await self._sleep()
            self._wake = anyio.Event()
            for action in self._core.tick(anyio.current_time()):
                self._perform(action)
            self._ticked()

    async def _sleep(self) -> None:
        if self._wake.is_set():
            await anyio.lowlevel.checkpoint()
            return
        now = anyio.current_time()
        delay = min(self._core.wake_at() - now, _LONGEST_SLEEP_S)
        with anyio.move_on_after(max(0.0, delay)):
            await self._wake.wait()
