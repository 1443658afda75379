"""The choice of the entries to which an agent keeps streams."""

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
    """An agent whose streams to reachable entries open at once."""

    def __init__(self, name: str = "agent-0") -> None:
        self.selection = _entry_selection.EntrySelection(name)
        self.now = 0.0
        self.streams: set[str] = set()
        self.dialled: set[str] = set()
        self.announced: list[str] = []
        self.down: set[str] = set()
        self.busy: set[str] = set()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self._open()
            self.act()
            self.now = round(self.now + 0.1, 3)

    def act(self) -> None:
        for action in self.selection.plan(self.now, self.busy.__contains__):
            match action:
                case _agent_events.DialEntries(entries):
                    self.dialled |= {entry.name for entry in entries}
                case _agent_events.SendMessage(peer, wire.Leaving()):
                    self.announced.append(peer)
                case _agent_events.DisconnectEntry(name):
                    self.dialled.discard(name)
                    self.close(name)

    def _open(self) -> None:
        for name in sorted(self.dialled - self.streams - self.down):
            self.streams.add(name)
            self.selection.join(self.now, name)

    def close(self, name: str) -> None:
        self.streams.discard(name)
        self.selection.leave(self.now, name)


@pytest.fixture
def agent() -> _Agent:
    agent = _Agent()
    agent.selection.add_addresses(0.0, _ENTRIES)
    agent.run(5.0)
    return agent


def test_agent_connects_to_few_entries(agent: _Agent) -> None:
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT


def test_agent_connects_to_all_of_few_entries() -> None:
    agent = _Agent()
    agent.selection.add_addresses(0.0, _ENTRIES[:3])
    agent.run(5.0)
    assert len(agent.streams) == 3


def test_settled_agent_needs_no_more_checks(agent: _Agent) -> None:
    assert agent.selection.due_at == float("inf")


def test_entries_get_nearly_equal_numbers_of_agents() -> None:
    counts: dict[str, int] = collections.Counter()
    for number in range(240):
        agent = _Agent(f"side-{number}")
        agent.selection.add_addresses(0.0, _ENTRIES)
        agent.run(0.3)
        counts.update(agent.streams)
    mean = 240 * _entry_selection.ENTRIES_PER_AGENT / len(_ENTRIES)
    assert all(0.7 * mean < count < 1.3 * mean for count in counts.values())


def test_lost_entry_gets_a_substitute_until_it_returns(
    agent: _Agent,
) -> None:
    before = set(agent.streams)
    lost = min(before)
    agent.down.add(lost)
    agent.close(lost)
    agent.run(1.0)
    assert agent.streams == before - {lost}
    agent.run(2.0)
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT
    agent.down.clear()
    agent.run(_LONG_S)
    assert agent.streams == before


def test_closing_of_a_stream_is_announced(agent: _Agent) -> None:
    better = wire.EntryAddress("entry-new", "10.0.1.0", 7000)
    while agent.streams == {entry.name for entry in _ENTRIES} & agent.streams:
        better = wire.EntryAddress(f"{better.name}x", "10.0.1.0", 7000)
        agent.selection.add_addresses(agent.now, (better,))
        agent.run(0.5)
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT + 1
    while not agent.announced:
        agent.run(0.1)
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT + 1
    agent.run(1.0)
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT


def test_entry_invited_again_after_the_announcement_gets_a_new_stream(
    agent: _Agent,
) -> None:
    """The entry sends no orders on a stream whose closing was announced."""
    inviter = _unserved(agent)
    agent.selection.handle_message(agent.now, wire.Invite(inviter))
    while inviter.name not in agent.announced:
        agent.run(0.1)
    agent.selection.handle_message(agent.now, wire.Invite(inviter))
    dropped = False
    for _ in range(20):
        agent.run(0.1)
        dropped = dropped or inviter.name not in agent.streams
    assert dropped
    assert inviter.name in agent.streams


def test_announced_stream_is_closed_while_another_entry_is_down(
    agent: _Agent,
) -> None:
    inviter = _unserved(agent)
    chosen = set(agent.streams)
    agent.selection.handle_message(agent.now, wire.Invite(inviter))
    while inviter.name not in agent.announced:
        agent.run(0.1)
    lost = min(chosen)
    agent.down.add(lost)
    agent.close(lost)
    agent.run(1.0)
    assert inviter.name not in agent.streams


def test_stream_is_kept_while_its_entry_has_runs_here(agent: _Agent) -> None:
    agent.selection.handle_message(agent.now, wire.Invite(_unserved(agent)))
    agent.run(1.0)
    (inviter,) = agent.streams - set(_chosen_without_invitation(agent))
    agent.busy.add(inviter)
    agent.run(_LONG_S)
    assert inviter in agent.streams
    agent.busy.clear()
    agent.run(_LONG_S)
    assert inviter not in agent.streams


def test_invited_agent_stays_while_it_gets_orders(agent: _Agent) -> None:
    inviter = _unserved(agent)
    agent.selection.handle_message(agent.now, wire.Invite(inviter))
    for _ in range(6):
        agent.run(5.0)
        agent.selection.note_order(agent.now, inviter.name)
    assert inviter.name in agent.streams
    agent.run(_LONG_S)
    assert len(agent.streams) == _entry_selection.ENTRIES_PER_AGENT


def test_agent_without_streams_dials_a_few_others_at_once_and_later_all(
    agent: _Agent,
) -> None:
    agent.down = {entry.name for entry in _ENTRIES}
    for name in list(agent.streams):
        agent.close(name)
    agent.run(1.0)
    assert len(agent.dialled) == 2 * _entry_selection.ENTRIES_PER_AGENT
    agent.run(4.0)
    assert len(agent.dialled) == len(_ENTRIES)


def test_entries_that_are_gone_for_good_are_seldom_dialled(
    agent: _Agent,
) -> None:
    """The addresses of replaced machines stay known."""
    alive = {entry.name for entry in _ENTRIES[:4]}
    agent.down = {entry.name for entry in _ENTRIES} - alive
    for name in sorted(agent.streams - alive):
        agent.close(name)
    agent.run(60.0)
    assert agent.streams == alive
    dialled = []
    for _ in range(100):
        agent.run(1.0)
        dialled.append(len(agent.dialled))
    assert sum(dialled) / len(dialled) < 8.0


def test_entry_that_returns_after_long_is_served_again(agent: _Agent) -> None:
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
    agent.selection.add_addresses(agent.now, (moved,))
    actions = agent.selection.plan(agent.now, agent.busy.__contains__)
    assert [type(action) for action in actions] == [_agent_events.DialEntries]
    assert actions[0].entries == (moved,)


def _chosen_without_invitation(agent: _Agent) -> list[str]:
    """Return the entries that the agent would choose without invitations."""
    other = _Agent()
    other.selection.add_addresses(0.0, _ENTRIES)
    other.run(0.3)
    return sorted(other.streams)


def _unserved(agent: _Agent) -> wire.EntryAddress:
    return next(entry for entry in _ENTRIES if entry.name not in agent.streams)
