"""The driver of a core, on both event loops."""

import types
import typing

import anyio
import pytest

from ferryledge import net
from ferryledge.net import _suspension
from ferryledge.net.tests import paused_clock

_NEVER = float("inf")


@pytest.fixture(params=[False, True], ids=["python", "native"])
def backend_options(request: pytest.FixtureRequest) -> dict[str, bool]:
    """Select the loop of asyncio, then uvloop, which daemons use."""
    return {"use_uvloop": request.param}


class _Core:
    """A core that records its ticks and wakes at the first time in ``due``."""

    def __init__(self) -> None:
        self.events: list[object] = []
        self.ticks: list[float] = []
        self.due: list[float] = []
        self.error: Exception | None = None

    def receive(self, now: float, event: object) -> None:
        self.events.append(event)

    def tick(self, now: float) -> list[object]:
        if self.error is not None:
            raise self.error
        self.ticks.append(now)
        return [("did", event) for event in self.events]

    def wake_at(self) -> float:
        return self.due[0] if self.due else _NEVER


async def _drive(core: _Core, post: typing.Any) -> list[object]:
    done: list[object] = []
    driver: net.Driver[object, object] = net.Driver(core, done.append)
    async with anyio.create_task_group() as group:
        group.start_soon(driver.run)
        await anyio.sleep(0)
        await post(driver)
        group.cancel_scope.cancel()
    return done


def test_events_posted_together_share_a_tick(
    backend_options: dict[str, bool],
) -> None:
    core = _Core()

    async def post(driver: net.Driver[object, object]) -> None:
        await anyio.sleep(0.01)
        core.ticks.clear()
        for event in range(3):
            driver.post(event)
        await anyio.sleep(0.01)

    done = anyio.run(_drive, core, post, backend_options=backend_options)
    assert len(core.ticks) == 1
    assert done == [("did", 0), ("did", 1), ("did", 2)]


def test_tick_for_an_event_is_delayed_until_tick_by() -> None:
    core = _Core()
    tick_by = [_NEVER]

    async def main() -> None:
        driver: net.Driver[object, object] = net.Driver(
            core, [].append, tick_by=lambda: tick_by[0]
        )
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run)
            await anyio.sleep(1.0)
            driver.post("quiet")
            await anyio.sleep(1.0)
            tick_by[0] = 2.5
            driver.post("soon")
            await anyio.sleep(1.0)
            tick_by[0] = 3.0
            driver.post("now")
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert core.ticks == [2.5, 3.0]


@pytest.mark.parametrize("delay_s", [-1.0, 0.0, 0.02])
def test_core_ticks_at_its_wake_time(
    backend_options: dict[str, bool], delay_s: float
) -> None:
    core = _Core()

    async def post(driver: net.Driver[object, object]) -> None:
        core.due = [anyio.current_time() + delay_s]
        driver.post("go")
        with anyio.fail_after(5.0):
            while len(core.ticks) < 3:
                await anyio.sleep(0.001)
                if core.ticks and core.ticks[-1] >= core.due[0]:
                    core.due = [core.ticks[-1] + 0.002]

    anyio.run(_drive, core, post, backend_options=backend_options)


@pytest.mark.parametrize("delay_s", [0.0004, 0.0014, 0.0107])
def test_driver_does_not_spin_until_a_timer_is_due(
    backend_options: dict[str, bool], delay_s: float
) -> None:
    """Guards against a busy loop before a timer is due.

    uvloop rounds delays to milliseconds, so that a timer could fire early and
    be set again without a delay.
    """
    core = _Core()
    wake_checks: list[float] = []

    def record_check() -> float:
        wake_checks.append(anyio.current_time())
        done = core.ticks and core.ticks[-1] >= core.due[0]
        return _NEVER if done else core.due[0]

    core.wake_at = record_check  # type: ignore[method-assign]

    async def post(driver: net.Driver[object, object]) -> None:
        for _ in range(20):
            core.due = [anyio.current_time() + delay_s]
            driver.post("go")
            await anyio.sleep(delay_s + 0.01)

    core.due = [_NEVER]
    anyio.run(_drive, core, post, backend_options=backend_options)
    # After the tick for an event, when the timer fires, and after its tick.
    assert len(wake_checks) <= 1 + 3 * 20


def test_time_of_suspensions_counts() -> None:
    """Leases of other processes expire while the monotonic clock stops."""
    core = _Core()
    suspended = [0.0]

    async def main() -> None:
        driver: net.Driver[object, object] = net.Driver(
            core, [].append, suspended_s=lambda: suspended[0]
        )
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run)
            await anyio.sleep(1.0)
            core.due = [driver.now() + 0.5]
            driver.post("before")
            await anyio.sleep(0.1)
            suspended[0] = 30.0
            # The pending timer doesn't advance during the suspension.
            await anyio.sleep(0.5)
            core.due = [driver.now() + 0.5]
            driver.post("after")
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()

    paused_clock.run(main)
    assert core.ticks[:2] == [1.0, pytest.approx(31.5)]
    assert pytest.approx(32.1) in core.ticks


def test_no_suspension_is_measured_on_a_running_machine() -> None:
    suspension_clock = _suspension.SuspensionClock()
    assert [suspension_clock.suspended_s() for _ in range(1000)] == [
        0.0
    ] * 1000


def test_suspensions_are_added_up(monkeypatch: pytest.MonkeyPatch) -> None:
    boot = [100.0]
    clock = types.SimpleNamespace(
        clock_gettime=lambda _: boot[0], monotonic=lambda: 40.0
    )
    monkeypatch.setattr(_suspension, "time", clock)
    suspension_clock = _suspension.SuspensionClock()
    boot[0] += 0.001
    assert suspension_clock.suspended_s() == 0.0
    boot[0] += 5.0
    assert suspension_clock.suspended_s() == pytest.approx(5.0, abs=0.01)
    boot[0] += 30.0
    assert suspension_clock.suspended_s() == pytest.approx(35.0, abs=0.01)


def test_error_of_the_core_ends_the_process(
    backend_options: dict[str, bool],
) -> None:
    """Otherwise the process would go on without responding to requests."""
    core = _Core()

    async def post(driver: net.Driver[object, object]) -> None:
        core.error = RuntimeError("a fault")
        driver.post("go")
        await anyio.sleep(5.0)

    with pytest.raises(ExceptionGroup) as error:
        anyio.run(_drive, core, post, backend_options=backend_options)
    assert error.group_contains(RuntimeError, match="a fault")
