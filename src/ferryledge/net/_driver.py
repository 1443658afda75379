"""Runs a core: passes events to it, ticks it and performs its actions."""

import asyncio
from collections import abc
import math
import typing

from ferryledge.net import _suspension

#: Maximum time between two checks whether the core is due, in seconds.
_MAX_SLEEP_S = 60.0
_NEVER = float("inf")
#: Delays are rounded up to the timer resolution of uvloop, in seconds. uvloop
#: rounds to milliseconds, and a timer that fires early would be set again with
#: no delay, so that the process would spin until the due time.
_TIMER_RESOLUTION_S = 0.001
#: Tolerance for the floating-point error of a multiple of the resolution.
_ROUNDING_TOLERANCE = 1e-6


EventT = typing.TypeVar("EventT", contravariant=True)
ActionT = typing.TypeVar("ActionT")


class Core(typing.Protocol[EventT, ActionT]):
    """The interface of a core that a driver runs."""

    def receive(self, now: float, event: EventT, /) -> None:
        """Process one event."""

    def tick(self, now: float) -> list[ActionT]:
        """Return the actions to perform, given the events so far."""

    def wake_at(self) -> float:
        """Return the latest time of the next tick."""


def _no_op() -> None:
    """Do nothing."""


class Driver(typing.Generic[EventT, ActionT]):
    """Ticks a core, once for all events that are ready.

    Uses callbacks of the event loop rather than a task, since a task that
    waits with a time-out is considerably more expensive.

    :param core: the core to run
    :param perform: performs one action; must not block
    :param after_tick: called after each tick
    :param tick_by: returns the latest time of the tick that handles the events
        since the last one; defaults to a tick as soon as an event is posted
    :param suspended_s: returns for how many seconds the machine has been
        suspended so far; defaults to a measurement by two clocks
    """

    def __init__(
        self,
        core: Core[EventT, ActionT],
        perform: abc.Callable[[ActionT], None],
        after_tick: abc.Callable[[], None] = _no_op,
        tick_by: abc.Callable[[], float] | None = None,
        suspended_s: abc.Callable[[], float] | None = None,
    ) -> None:
        self._core = core
        self._perform = perform
        self._after_tick = after_tick
        self._tick_by = tick_by
        self._suspended_s = (
            suspended_s or _suspension.SuspensionClock().suspended_s
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        #: Completes with the exception that a tick raised.
        self._failure: asyncio.Future[None] | None = None
        self._tick_scheduled = False
        self._timer: asyncio.Handle | None = None
        #: The time at which the timer fires.
        self._timer_at = _NEVER

    def now(self) -> float:
        """Return the time passed to the core, in seconds.

        It is the event loop's time plus the time for which the machine was
        suspended, since leases expire during a suspension as well.
        """
        loop = self._loop or asyncio.get_running_loop()
        return loop.time() + self._suspended_s()

    def post(self, event: EventT) -> None:
        """Pass an event to the core and schedule the tick for it."""
        now = self.now()
        self._core.receive(now, event)
        if self._tick_by is None:
            self._schedule_tick()
            return
        due = self._tick_by()
        if due <= now:
            self._schedule_tick()
        elif due < self._timer_at and self._loop is not None:
            self._set_timer(self._loop, due)

    async def run(self) -> None:
        """Tick the core until cancelled.

        :raises Exception: what a tick or an action raised
        """
        self._loop = asyncio.get_running_loop()
        self._failure = self._loop.create_future()
        if self._tick_scheduled:
            self._loop.call_soon(self._tick)
        else:
            self._schedule_wake(self._loop)
        try:
            await self._failure
        finally:
            self._loop = None
            if self._timer is not None:
                self._timer.cancel()

    def _schedule_tick(self) -> None:
        if self._tick_scheduled:
            return
        self._tick_scheduled = True
        if self._loop is not None:
            self._loop.call_soon(self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        if self._loop is None or self._failure is None:
            return
        try:
            for action in self._core.tick(self.now()):
                self._perform(action)
            self._after_tick()
            self._schedule_wake(self._loop)
        except Exception as exc:
            self._fail(exc)

    def _fail(self, exc: Exception) -> None:
        """Make :meth:`run` raise an exception."""
        if self._failure is not None and not self._failure.done():
            self._failure.set_exception(exc)

    def _schedule_wake(self, loop: asyncio.AbstractEventLoop) -> None:
        now = self.now()
        due = min(max(now, self._core.wake_at()), now + _MAX_SLEEP_S)
        if self._timer is None or not now < self._timer_at <= due:
            self._set_timer(loop, due)
        # Otherwise the pending timer fires earlier and sets the next one.

    def _set_timer(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        delay_s = max(_TIMER_RESOLUTION_S, due - self.now())
        delay_s = (
            math.ceil(delay_s / _TIMER_RESOLUTION_S - _ROUNDING_TOLERANCE)
            * _TIMER_RESOLUTION_S
        )
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
            self._schedule_wake(self._loop)
