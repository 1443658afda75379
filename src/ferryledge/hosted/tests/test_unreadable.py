"""Records and answers that can't be read are counted and logged once."""

from collections import abc

import anyio
import loguru
import pytest

from ferryledge.hosted import _metrics
from ferryledge.hosted import _unreadable
from ferryledge.net.tests import paused_clock
from ferryledge import platform


@pytest.fixture
def lines() -> abc.Iterator[list[str]]:
    """Return a list that receives each logged line."""
    logged: list[str] = []
    handler_id = loguru.logger.add(lambda message: logged.append(str(message)))
    yield logged
    loguru.logger.remove(handler_id)


@pytest.fixture
def registry() -> _metrics.Registry:
    return _metrics.Registry("agent")


@pytest.fixture
def unreadable(registry: _metrics.Registry) -> _unreadable.UnreadableValues:
    return _unreadable.UnreadableValues(registry)


def _count(registry: _metrics.Registry, source: str) -> str:
    """Return the rendered count of a source."""
    for line in registry.render().decode().splitlines():
        if line.startswith("ferryledge_agent_unreadable_values_total"):
            name, _, value = line.rpartition(" ")
            if source in name:
                return value
    return ""


def test_record_is_logged_once_until_it_is_replaced(
    registry: _metrics.Registry,
    unreadable: _unreadable.UnreadableValues,
    lines: list[str],
) -> None:
    for offset in (3, 3, 3, 4):
        record = platform.KeyedRecord("odd", b"", offset)
        unreadable.note_record("keyed.t", record, ValueError("odd"))
    assert len(lines) == 2
    assert _count(registry, "record") == "4.0"


def test_answers_are_logged_once_a_minute(
    registry: _metrics.Registry,
    unreadable: _unreadable.UnreadableValues,
    lines: list[str],
) -> None:
    async def main() -> None:
        for _ in range(100):
            unreadable.note_answer("odd")
            await anyio.sleep(1.0)

    paused_clock.run(main)
    assert len(lines) == 2
    assert _count(registry, "answer") == "100.0"
