"""A store that is back while calls of a start still hang.

All machines got their power back 0.2 s before the store ended a silence of
5.8 s. The entries listened, had streams of all agents 0.1 s later and had no
configuration for 1.8 s: their first calls, begun in the silence, took their
whole time. Of the 382 jobs of those four seconds 29 were in time and 247
refused.
"""

import math

import anyio
import pytest

from ferryledge.hosted import _first_answer
from ferryledge.net.tests import paused_clock
from ferryledge import platform

#: Seconds after which a call without an answer ends.
_CALL_S = 1.5


class _Store:
    """Answers calls that are begun from some time on.

    :param back_s: when that is, in seconds from the start
    :param busy: whether it turns earlier calls away, instead of saying nothing
    """

    def __init__(self, back_s: float, busy: bool = False) -> None:
        self._back_s = back_s
        self._busy = busy
        self.calls = 0

    async def call(self) -> str:
        """Make one call."""
        self.calls += 1
        is_back = anyio.current_time() >= self._back_s
        if not is_back and not self._busy:
            await anyio.sleep(_CALL_S)
        await anyio.sleep(0.005)
        if not is_back:
            raise platform.StoreError("no answer")
        return "answer"


class _Follower:
    """Needs one answer, as what follows the configuration does."""

    def __init__(self, store: _Store) -> None:
        self._store = store
        self.runs = 0
        self.done_at = math.inf

    async def run(self) -> None:
        """Call the store until it answers."""
        self.runs += 1
        while True:
            try:
                await self._store.call()
            except platform.StoreError:
                await anyio.sleep(0.25)
                continue
            self.done_at = min(self.done_at, anyio.current_time())
            return


def _start(store: _Store) -> tuple[_Follower, int]:
    """Return what follows the store after a start, and how many probes."""
    follower = _Follower(store)
    probes = 0

    async def probe() -> str:
        nonlocal probes
        probes += 1
        return await store.call()

    async def main() -> None:
        first = _first_answer.FirstAnswer()
        async with anyio.create_task_group() as group:
            group.start_soon(first.run, follower.run)
            assert await first.wait(probe) == "answer"

    paused_clock.run(main)
    return follower, probes


def test_store_that_answers_gets_one_probe() -> None:
    follower, probes = _start(_Store(0.0))
    assert follower.runs == 1
    assert probes == 1


@pytest.mark.parametrize("back_s", [0.1, 0.2, 0.3, 0.7])
def test_what_hangs_is_begun_anew_soon_after(back_s: float) -> None:
    follower, _ = _start(_Store(back_s))
    assert follower.done_at - back_s < 0.6
    assert follower.runs == 2


@pytest.mark.parametrize("back_s", [3.0, 6.0, 12.0])
def test_long_silence_costs_few_probes(back_s: float) -> None:
    follower, probes = _start(_Store(back_s))
    assert follower.done_at - back_s < 1.1
    assert probes < back_s + 4


def test_store_that_turns_calls_away_is_probed_on() -> None:
    follower, probes = _start(_Store(0.4, busy=True))
    assert follower.done_at - 0.4 < 0.6
    assert probes > 1


def test_what_has_its_answer_is_left_alone() -> None:
    store = _Store(0.0)
    follower = _Follower(store)

    async def main() -> None:
        first = _first_answer.FirstAnswer()
        await first.run(follower.run)
        await first.wait(_Store(0.2).call)

    paused_clock.run(main)
    assert follower.runs == 1


def test_end_of_the_process_ends_what_runs() -> None:
    follower = _Follower(_Store(math.inf))

    async def main() -> None:
        first = _first_answer.FirstAnswer()
        with anyio.move_on_after(0.5):
            await first.run(follower.run)

    paused_clock.run(main)
    assert follower.runs == 1
