"""Configurations reach entries that the store turns away, and no others.

After a loss of all power each entry read the configuration, and sent it to
all others, which had read it too. The entry with the slowest link was busy
with that for 0.5 s: its agents were connected up to 1.2 s after it listened,
where those of the others were after 0.1 s.
"""

import random

import pytest

from ferryledge import leases
from ferryledge import wire

#: Within this many seconds a peer's configuration is to be in force: the
#: platform allows two to three.
_AIM_S = 1.0


def _hello(name: str, version: int) -> wire.Hello:
    return wire.Hello(
        wire.Role.ENTRY, name, f"{name}.1", "north", config_version=version
    )


def _entry(name: str) -> leases.LeaseEntry:
    return leases.LeaseEntry(name, f"{name}.1", "north", random.Random(1))


def _sent(actions: list[object], kind: type) -> list[tuple[str, object]]:
    return [
        (action.peer, action.message)
        for action in actions
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, kind)
    ]


def _run(core: leases.LeaseEntry, since: float, until: float) -> list[object]:
    actions: list[object] = []
    steps = round((until - since) * 100)
    for step in range(steps):
        actions += core.tick(since + step / 100)
    return actions


@pytest.fixture
def informed() -> leases.LeaseEntry:
    """Return an entry that read configuration 5."""
    core = _entry("entry-0")
    core.receive(0.0, leases.ConfigRead(5, b"{}"))
    return core


@pytest.mark.parametrize("version", [0, 4, 5])
def test_configuration_is_sent_to_nobody_unasked(
    informed: leases.LeaseEntry, version: int
) -> None:
    informed.receive(0.0, wire.PeerUp(_hello("entry-1", version)))
    informed.receive(0.1, leases.ConfigRead(6, b"{}"))
    actions = _run(informed, 0.0, 2.0)
    assert not _sent(actions, wire.ConfigReply)
    assert ("entry-1", wire.KeepAlive(6)) in _sent(actions, wire.KeepAlive)


def test_entry_that_asks_is_sent_it(informed: leases.LeaseEntry) -> None:
    informed.receive(0.0, wire.PeerUp(_hello("entry-1", 0)))
    informed.receive(0.0, wire.Received("entry-1", wire.ConfigRequest()))
    told = _sent(informed.tick(0.0), wire.ConfigReply)
    assert told == [("entry-1", wire.ConfigReply(5, b"{}"))]


def test_entry_that_the_store_turns_away_asks_a_peer() -> None:
    core = _entry("entry-1")
    core.receive(0.0, wire.PeerUp(_hello("entry-0", 0)))
    core.receive(0.1, wire.Received("entry-0", wire.KeepAlive(5)))
    asked = _sent(_run(core, 0.1, 0.1 + _AIM_S), wire.ConfigRequest)
    assert asked
    assert asked[0][0] == "entry-0"
    core.receive(1.2, wire.Received("entry-0", wire.ConfigReply(5, b"{}")))
    applied = [
        action.version
        for action in core.tick(1.2)
        if isinstance(action, leases.ApplyConfig)
    ]
    assert applied == [5]
    assert not _sent(_run(core, 1.2, 3.0), wire.ConfigRequest)


def test_entry_that_reads_it_by_itself_asks_nobody() -> None:
    core = _entry("entry-1")
    core.receive(0.0, wire.PeerUp(_hello("entry-0", 5)))
    actions = _run(core, 0.0, 0.1)
    core.receive(0.1, leases.ConfigRead(5, b"{}"))
    actions += _run(core, 0.1, 2.0)
    assert not _sent(actions, wire.ConfigRequest)


def test_peers_are_asked_in_turn() -> None:
    """One that does not answer may be cut off in one direction."""
    core = _entry("entry-1")
    for name in ("entry-0", "entry-2"):
        core.receive(0.0, wire.PeerUp(_hello(name, 5)))
    asked = _sent(_run(core, 0.0, _AIM_S), wire.ConfigRequest)
    assert {peer for peer, _ in asked} == {"entry-0", "entry-2"}


def test_word_of_cordons_after_a_stream_broke_is_taken_in() -> None:
    core = _entry("entry-1")
    core.receive(0.0, leases.CordonsRead(wire.CordonedZones(9, ("north",))))
    late = wire.Received("entry-0", wire.CordonedZones(3))
    core.receive(0.1, late)
    assert not _sent(core.tick(0.1), wire.CordonedZones)
