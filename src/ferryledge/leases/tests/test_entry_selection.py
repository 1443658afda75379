"""Which entries an agent keeps streams to."""

import collections

import pytest

from ferryledge.leases import _agent_events
from ferryledge.leases import _entry_selection
from ferryledge import wire

_ENTRIES = tuple(
    wire.EntryAddress(f"entry-{n}", f"10.0.0.{n}", 7000) for n in range(12)
)
_LONG_S = 20.0


class _Agent:
    """An agent's streams; those that it dials open at once."""

    def __init__(self, name: str = "agent-0") -> None:
        self.dealing = _entry_selection.Dealing(name)
        self.now = 0.0
        self.streams: set[str] = set()
        self.dialled: set[str] = set()
        self.told: list[str] = []
        self.down: set[str] = set()
        self.busy: set[str] = set()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self._open()
            self.act()
            self.now = round(self.now + 0.1, 3)

    def act(self) -> None:
        for action in self.dealing.plan(self.now, self.busy.__contains__):
            match action:
                case _agent_events.DialEntries(entries):
                    self.dialled |= {one.name for one in entries}
                case _agent_events.SendMessage(peer, wire.Leaving()):
                    self.told.append(peer)
                case _agent_events.DisconnectEntry(name):
                    self.dialled.discard(name)
                    self.close(name)

    def _open(self) -> None:
        for name in sorted(self.dialled - self.streams - self.down):
            self.streams.add(name)
            self.dealing.join(self.now, name)

    def close(self, name: str) -> None:
        self.streams.discard(name)
        self.dealing.leave(self.now, name)


@pytest.fixture
def agent() -> _Agent:
    agent = _Agent()
    agent.dealing.learn(0.0, _ENTRIES)
    agent.run(5.0)
    return agent


def test_few_entries_get_a_stream(agent: _Agent) -> None:
    assert len(agent.streams) == _entry_selection.STREAMS


def test_all_entries_get_one_where_they_are_few() -> None:
    agent = _Agent()
    agent.dealing.learn(0.0, _ENTRIES[:3])
    agent.run(5.0)
    assert len(agent.streams) == 3


def test_settled_agent_looks_no_more(agent: _Agent) -> None:
    assert agent.dealing.due_at == float("inf")


def test_entries_get_nearly_the_same_part_of_the_pool() -> None:
    parts: dict[str, int] = collections.Counter()
    for number in range(240):
        agent = _Agent(f"side-{number}")
        agent.dealing.learn(0.0, _ENTRIES)
        agent.run(0.3)
        parts.update(agent.streams)
    mean = 240 * _entry_selection.STREAMS / len(_ENTRIES)
    assert all(0.7 * mean < part < 1.3 * mean for part in parts.values())


def test_lost_entry_is_replaced_and_served_again_when_it_is_back(
    agent: _Agent,
) -> None:
    before = set(agent.streams)
    lost = min(before)
    agent.down.add(lost)
    agent.close(lost)
    agent.run(1.0)
    assert agent.streams == before - {lost}
    agent.run(2.0)
    assert len(agent.streams) == _entry_selection.STREAMS
    agent.down.clear()
    agent.run(_LONG_S)
    assert agent.streams == before


def test_entry_is_told_before_its_stream_is_closed(agent: _Agent) -> None:
    better = wire.EntryAddress("entry-new", "10.0.1.0", 7000)
    while agent.streams == {one.name for one in _ENTRIES} & agent.streams:
        better = wire.EntryAddress(f"{better.name}x", "10.0.1.0", 7000)
        agent.dealing.learn(agent.now, (better,))
        agent.run(0.5)
    assert len(agent.streams) == _entry_selection.STREAMS + 1
    while not agent.told:
        agent.run(0.1)
    assert len(agent.streams) == _entry_selection.STREAMS + 1
    agent.run(1.0)
    assert len(agent.streams) == _entry_selection.STREAMS


def test_entry_that_was_told_and_is_chosen_again_gets_a_new_stream(
    agent: _Agent,
) -> None:
    """It takes the agent for one that leaves for as long as a stream lasts."""
    guest = _other(agent)
    agent.dealing.hear(agent.now, wire.Invite(guest))
    while guest.name not in agent.told:
        agent.run(0.1)
    agent.dealing.hear(agent.now, wire.Invite(guest))
    dropped = False
    for _ in range(20):
        agent.run(0.1)
        dropped = dropped or guest.name not in agent.streams
    assert dropped
    assert guest.name in agent.streams


def test_entry_that_was_told_is_closed_while_another_is_down(
    agent: _Agent,
) -> None:
    guest = _other(agent)
    chosen = set(agent.streams)
    agent.dealing.hear(agent.now, wire.Invite(guest))
    while guest.name not in agent.told:
        agent.run(0.1)
    lost = min(chosen)
    agent.down.add(lost)
    agent.close(lost)
    agent.run(1.0)
    assert guest.name not in agent.streams


def test_entry_with_runs_here_is_not_left(agent: _Agent) -> None:
    agent.dealing.hear(agent.now, wire.Invite(_other(agent)))
    agent.run(1.0)
    (guest,) = agent.streams - set(_names(agent))
    agent.busy.add(guest)
    agent.run(_LONG_S)
    assert guest in agent.streams
    agent.busy.clear()
    agent.run(_LONG_S)
    assert guest not in agent.streams


def test_invited_agent_stays_while_it_gets_orders(agent: _Agent) -> None:
    guest = _other(agent)
    agent.dealing.hear(agent.now, wire.Invite(guest))
    for _ in range(6):
        agent.run(5.0)
        agent.dealing.note_order(agent.now, guest.name)
    assert guest.name in agent.streams
    agent.run(_LONG_S)
    assert len(agent.streams) == _entry_selection.STREAMS


def test_agent_that_lost_all_dials_a_few_others_at_once_and_later_all(
    agent: _Agent,
) -> None:
    agent.down = {one.name for one in _ENTRIES}
    for name in list(agent.streams):
        agent.close(name)
    agent.run(1.0)
    assert len(agent.dialled) == 2 * _entry_selection.STREAMS
    agent.run(4.0)
    assert len(agent.dialled) == len(_ENTRIES)


def test_entries_that_are_gone_for_good_take_no_place(agent: _Agent) -> None:
    """Machines that were replaced stay known; twelve of sixteen are gone."""
    alive = {one.name for one in _ENTRIES[:4]}
    agent.down = {one.name for one in _ENTRIES} - alive
    for name in sorted(agent.streams - alive):
        agent.close(name)
    agent.run(60.0)
    assert agent.streams == alive
    dialled = []
    for _ in range(100):
        agent.run(1.0)
        dialled.append(len(agent.dialled))
    assert sum(dialled) / len(dialled) < 8.0


def test_entry_that_is_back_after_long_is_served_again(agent: _Agent) -> None:
    lost = min(agent.streams)
    agent.down.add(lost)
    agent.close(lost)
    agent.run(40.0)
    agent.down.clear()
    agent.run(70.0)
    assert lost in agent.streams


def test_changed_address_is_dialled(agent: _Agent) -> None:
    name = min(agent.streams)
    moved = wire.EntryAddress(name, "10.0.9.9", 7000)
    agent.dealing.learn(agent.now, (moved,))
    actions = agent.dealing.plan(agent.now, agent.busy.__contains__)
    assert [type(one) for one in actions] == [_agent_events.DialEntries]
    assert actions[0].entries == (moved,)


def _names(agent: _Agent) -> list[str]:
    """Return the entries that an agent of that name chooses by itself."""
    other = _Agent()
    other.dealing.learn(0.0, _ENTRIES)
    other.run(0.3)
    return sorted(other.streams)


def _other(agent: _Agent) -> wire.EntryAddress:
    return next(one for one in _ENTRIES if one.name not in agent.streams)
