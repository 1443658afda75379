"""Virtual time: a queue of calls in the order of their time."""

from collections import abc
import heapq
import itertools
import typing

Call = abc.Callable[[], None]


class Clock:
    """Runs calls at their virtual times, in seconds."""

    def __init__(self) -> None:
        self._now = 0.0
        self._calls: list[tuple[float, int, Call]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self._now

    def at(self, when: float, call: Call) -> None:
        """Run a call at a time; calls of one time keep their order."""
        entry = (max(when, self._now), next(self._order), call)
        heapq.heappush(self._calls, entry)

    def after(self, delay: float, call: Call) -> None:
        """Run a call after a delay in seconds."""
        self.at(self._now + delay, call)

    def run(
        self,
        until: float,
        stop: abc.Callable[[], typing.Any] = lambda: False,
    ) -> None:
        """Run until a time, or until ``stop`` is true or nothing is left."""
        calls = self._calls
        while calls and calls[0][0] <= until and not stop():
            when, _, call = heapq.heappop(calls)
            self._now = when
            call()
        if not stop():
            self._now = max(self._now, until)
