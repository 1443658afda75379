"""Runs a core: feeds it events, ticks it and carries out its actions."""

import asyncio
from collections import abc
import math
import typing

from ferryledge.net import _suspension

#: Ticks at least this often, in seconds.
_LONGEST_SLEEP_S = 60.0
_NEVER = float("inf")
#: The native loop counts milliseconds and rounds. A timer that goes off in
#: the millisecond before its time would be set anew without any delay until
#: that has passed, and the process would spin.
_GRAIN_S = 0.001
#: What a whole number of grains may be off by for being a float.
_ROUNDING = 1e-6


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

    By the event loop's callbacks and not by a task: to wait with a time-out
    took as long as the ticks themselves (0.39 and 0.36 s of 8 s, profile of an
    agent).

    :param driven: the core
    :param perform: carries out one action; must not block
    :param ticked: called after each tick
    :param tick_by: returns when the core wants to tick for the events since
        its last tick; none is at once for each
    :param asleep_s: returns for how long the machine was suspended so far;
        none measures it
    """

    def __init__(
        self,
        driven: Core[EventT, ActionT],
        perform: abc.Callable[[ActionT], None],
        ticked: abc.Callable[[], None] = _nothing,
        tick_by: abc.Callable[[], float] | None = None,
        asleep_s: abc.Callable[[], float] | None = None,
    ) -> None:
        self._core = driven
        self._perform = perform
        self._ticked = ticked
        self._tick_by = tick_by
        self._asleep_s = asleep_s or _suspension.Suspension().asleep_s
        self._loop: asyncio.AbstractEventLoop | None = None
        #: Ends with what a tick raised.
        self._failed: asyncio.Future[None] | None = None
        self._tick_planned = False
        self._timer: asyncio.Handle | None = None
        #: When the timer goes off.
        self._timer_at = _NEVER

    def now(self) -> float:
        """Return the time that the core goes by, in seconds.

        The loop's, and the machine's suspensions: what others granted this
        process, and what it believes of them, grows old meanwhile.
        """
        loop = self._loop or asyncio.get_running_loop()
        return loop.time() + self._asleep_s()

    def post(self, event: EventT) -> None:
        """Hand an event to the core; it ticks when it wants to."""
        now = self.now()
        self._core.receive(now, event)
        if self._tick_by is None:
            self._plan_tick()
            return
        due = self._tick_by()
        if due <= now:
            self._plan_tick()
        elif due < self._timer_at and self._loop is not None:
            self._set_timer(self._loop, due)

    async def run(self) -> None:
        """Tick for ever."""
        self._loop = asyncio.get_running_loop()
        self._failed = self._loop.create_future()
        if self._tick_planned:
            self._loop.call_soon(self._tick)
        else:
            self._plan_wake(self._loop)
        try:
            await self._failed
        finally:
            self._loop = None
            if self._timer is not None:
                self._timer.cancel()

    def _plan_tick(self) -> None:
        if self._tick_planned:
            return
        self._tick_planned = True
        if self._loop is not None:
            self._loop.call_soon(self._tick)

    def _tick(self) -> None:
        self._tick_planned = False
        if self._loop is None or self._failed is None:
            return
        try:
            for action in self._core.tick(self.now()):
                self._perform(action)
            self._ticked()
            self._plan_wake(self._loop)
        except Exception as exc:
            self._fail(exc)

    def _fail(self, exc: Exception) -> None:
        """Let :meth:`run` end with an error."""
        if self._failed is not None and not self._failed.done():
            self._failed.set_exception(exc)

    def _plan_wake(self, loop: asyncio.AbstractEventLoop) -> None:
        now = self.now()
        due = min(max(now, self._core.wake_at()), now + _LONGEST_SLEEP_S)
        if self._timer is None or not now < self._timer_at <= due:
            self._set_timer(loop, due)
        # Else it goes off sooner, and plans the next one.

    def _set_timer(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        delay_s = max(_GRAIN_S, due - self.now())
        delay_s = math.ceil(delay_s / _GRAIN_S - _ROUNDING) * _GRAIN_S
        self._timer = loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._timer_at = _NEVER
        if self._loop is None:
            return
        now = self.now()
        due_for_events = self._tick_by is not None and self._tick_by() <= now
        if due_for_events or self._core.wake_at() <= now:
            self._tick()
        else:
            self._plan_wake(self._loop)
