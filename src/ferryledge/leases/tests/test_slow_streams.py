"""Streams that are slow, not silent, are not opened anew without end.

Configurations filled the links of entries for seconds. Answers came after up
to a second; agents took the streams for silent and opened new ones, each of
them a handshake over the same link, and all of them given up again.
"""

import collections

import pytest

from ferryledge import leases
from ferryledge.leases import _agent_events
from ferryledge.leases import _agent_notes
from ferryledge.leases import _owners
from ferryledge.leases import _stream_watch
from ferryledge.leases import _timing

_STEP_S = 0.01
_ASK_S = 0.2
_SECONDS = 10.0


class _Agent:
    """Asks one entry, whose answers take as long as they are told to."""

    def __init__(self) -> None:
        self.actions: list[object] = []
        self.owners = _owners.OwnerTable(_timing.LeaseTiming(), "agent-0")
        self.watch = _stream_watch.StreamWatch(
            self.owners,
            _agent_notes.AgentNotes(leases.AgentMeter()),
            self.actions.append,
        )
        self.owner = self.owners.join(0.0, "entry-0", "entry-0.1")
        self._coming: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._now = 0.0
        self._ask_at = 0.0

    def run(self, seconds: float, answer_s: float) -> int:
        """Return how many new streams were tried."""
        before = self.tries
        until = self._now + seconds
        while self._now < until:
            self._step(answer_s)
        return self.tries - before

    @property
    def tries(self) -> int:
        return sum(
            isinstance(one, _agent_events.ReopenStream) for one in self.actions
        )

    def _step(self, answer_s: float) -> None:
        self._now += _STEP_S
        self.watch.note_next_tick(self._now)
        if self._now >= self._ask_at:
            self._ask_at = self._now + _ASK_S
            ask = self.owners.ask(self.owner, self._now, True, False)
            self._coming.append((self._now + answer_s, ask.number))
        while self._coming and self._coming[0][0] <= self._now:
            _, number = self._coming.popleft()
            self.watch.note_answer(self._now, self.owner, number)
        self.watch.reopen_silent(self._now)


@pytest.fixture
def agent() -> _Agent:
    """Return an agent whose entry answered at once for a while."""
    agent = _Agent()
    assert agent.run(_SECONDS, 0.005) == 0
    return agent


def test_slow_stream_is_seldom_opened_anew(agent: _Agent) -> None:
    # Each 0.3 s it would be some thirty times.
    assert 0 < agent.run(_SECONDS, 0.8) < 15


def test_silent_stream_is_opened_anew_as_soon_as_ever(agent: _Agent) -> None:
    agent.run(_SECONDS, 0.8)
    agent.run(2.0, 0.005)
    assert agent.owner.false_alarms == 0
    # Silence from here on: three tries before the stream is given up.
    assert agent.run(1.0, 100.0) >= 3
