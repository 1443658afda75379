"""Streams that are slow but not silent are seldom replaced.

Guards against agents that take slow answers over a busy link for silence and
add to its load with the handshakes of ever new streams.
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
_DURATION_S = 10.0


class _Agent:
    """Sends requests to one entry, whose answers take a given time."""

    def __init__(self) -> None:
        self.actions: list[object] = []
        self.owners = _owners.OwnerTable(_timing.LeaseTiming(), "agent-0")
        self.watch = _stream_watch.StreamWatch(
            self.owners,
            _agent_notes.AgentNotes(leases.AgentMeter()),
            self.actions.append,
        )
        self.owner = self.owners.join(0.0, "entry-0", "entry-0.1")
        self._answers_due: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._now = 0.0
        self._ask_at = 0.0

    def run(self, seconds: float, answer_s: float) -> int:
        """Run for some seconds and return the number of new streams."""
        before = self.reopened
        until = self._now + seconds
        while self._now < until:
            self._step(answer_s)
        return self.reopened - before

    @property
    def reopened(self) -> int:
        return sum(
            isinstance(action, _agent_events.ReopenStream)
            for action in self.actions
        )

    def _step(self, answer_s: float) -> None:
        self._now += _STEP_S
        self.watch.note_next_tick(self._now)
        if self._now >= self._ask_at:
            self._ask_at = self._now + _ASK_S
            ask = self.owners.ask(self.owner, self._now, True, False)
            self._answers_due.append((self._now + answer_s, ask.number))
        while self._answers_due and self._answers_due[0][0] <= self._now:
            _, number = self._answers_due.popleft()
            self.watch.note_answer(self._now, self.owner, number)
        self.watch.reopen_silent(self._now)


@pytest.fixture
def agent() -> _Agent:
    """Return an agent whose entry answered quickly so far."""
    agent = _Agent()
    assert agent.run(_DURATION_S, 0.005) == 0
    return agent


def test_slow_stream_is_seldom_reopened(agent: _Agent) -> None:
    # Without backoff it would be some thirty times.
    assert 0 < agent.run(_DURATION_S, 0.8) < 15


def test_silent_stream_is_reopened_quickly_after_slow_answers(
    agent: _Agent,
) -> None:
    agent.run(_DURATION_S, 0.8)
    agent.run(2.0, 0.005)
    assert agent.owner.false_alarms == 0
    # The entry is silent from here on.
    assert agent.run(1.0, 100.0) >= 3
