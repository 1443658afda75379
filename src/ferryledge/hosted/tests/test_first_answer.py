"""Tests recovery from a store call that hangs at the start of a process.

Guards against entries that refuse jobs for lack of a configuration until
their first call times out, although the store answers again.
"""

import math

import anyio
import pytest

from ferryledge.hosted import _first_answer
from ferryledge import net
from ferryledge.net.tests import paused_clock
from ferryledge import platform
from ferryledge.platform import standin

#: Seconds after which a call without an answer ends.
_CALL_S = 1.5


class _Store:
    """Answers only calls that begin after its recovery.

    :param back_s: seconds from the start until the recovery
    :param busy: whether earlier calls are refused at once instead of hanging
    :param takes_s: seconds that the first call takes, if it is answered
    """

    def __init__(
        self, back_s: float, busy: bool = False, takes_s: float = 0.005
    ) -> None:
        self._back_s = back_s
        self._busy = busy
        self._takes_s = takes_s
        self.calls = 0

    async def call(self) -> str:
        """Make one call."""
        self.calls += 1
        is_back = anyio.current_time() >= self._back_s
        if not is_back and not self._busy:
            await anyio.sleep(_CALL_S)
        await anyio.sleep(self._takes_s if self.calls == 1 else 0.005)
        if not is_back:
            raise platform.StoreError("no answer")
        return "answer"


class _Follower:
    """Needs one answer, as the configuration's follower does."""

    def __init__(self, store: _Store) -> None:
        self._store = store
        self.runs = 0
        self.done_at = math.inf
        self.done = anyio.Event()

    async def run(self) -> None:
        """Call the store until it answers."""
        self.runs += 1
        while True:
            try:
                await self._store.call()
            except platform.StoreError:
                await anyio.sleep(0.25)
                continue
            self.done_at = anyio.current_time()
            self.done.set()
            return


def _start(store: _Store) -> tuple[_Follower, int]:
    """Run a follower; return it and the number of probes."""
    follower = _Follower(store)
    probes = 0

    async def probe() -> str:
        nonlocal probes
        probes += 1
        return await store.call()

    async def main() -> None:
        await _first_answer.run(follower.run, probe, follower.done)

    paused_clock.run(main)
    return follower, probes


def test_store_that_answers_is_not_probed() -> None:
    follower, probes = _start(_Store(0.0))
    assert follower.runs == 1
    assert probes == 0


def test_call_to_a_slow_store_is_not_restarted() -> None:
    follower, probes = _start(_Store(0.0, takes_s=1.2))
    assert follower.runs == 1
    assert probes == 1


@pytest.mark.parametrize("back_s", [0.05, 0.15, 0.2, 0.3, 0.7])
def test_hanging_call_is_restarted_soon(back_s: float) -> None:
    follower, _ = _start(_Store(back_s))
    assert follower.done_at - back_s < 0.6
    assert follower.runs == 2


@pytest.mark.parametrize("back_s", [3.0, 6.0, 12.0])
def test_long_outage_takes_few_probes(back_s: float) -> None:
    follower, probes = _start(_Store(back_s))
    assert follower.done_at - back_s < 1.1
    assert probes < back_s + 4


def test_probes_of_a_store_that_refuses_calls_continue() -> None:
    follower, probes = _start(_Store(0.4, busy=True))
    assert follower.done_at - 0.4 < 0.6
    assert probes > 1


def test_answer_from_elsewhere_ends_the_probes() -> None:
    store = _Store(math.inf)
    probes = 0

    async def probe() -> str:
        nonlocal probes
        probes += 1
        return await store.call()

    async def main() -> None:
        done = anyio.Event()
        with anyio.move_on_after(9.0):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _first_answer.run, anyio.sleep_forever, probe, done
                )
                await anyio.sleep(0.7)
                done.set()

    paused_clock.run(main)
    assert probes == 2


def test_first_answer_of_several_attempts_is_returned() -> None:
    store = _Store(0.2)

    async def main() -> float:
        assert await _first_answer.first_answer(store.call) == "answer"
        return anyio.current_time()

    assert paused_clock.run(main) == pytest.approx(0.255)
    assert store.calls == 2


def test_probe_is_answered_by_an_empty_log() -> None:
    server = standin.StoreServer()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            port = await group.start(
                net.serve_http,
                net.asgi_app(server.handle),
                "127.0.0.1",
                0,
                anyio.Event(),
            )
            await _first_answer.probe(f"127.0.0.1:{port}")
            group.cancel_scope.cancel()

    anyio.run(main)


def test_cancellation_does_not_restart_the_operation() -> None:
    store = _Store(math.inf)
    follower = _Follower(store)

    async def main() -> None:
        with anyio.move_on_after(0.5):
            await _first_answer.run(follower.run, store.call, follower.done)

    paused_clock.run(main)
    assert follower.runs == 1
