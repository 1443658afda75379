"""Entries request configurations from peers only if the store fails them.

Guards against entries that send a configuration unasked, which blocks narrow
links after a restart of all entries.
"""

import random

import pytest

from ferryledge import leases
from ferryledge import wire

#: Seconds within which a peer's configuration must be requested; the platform
#: allows two to three until it is in force.
_REQUEST_WITHIN_S = 1.0


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
def up_to_date() -> leases.LeaseEntry:
    """Return an entry that has read version 5 of the configuration."""
    core = _entry("entry-0")
    core.receive(0.0, leases.ConfigRead(5, b"{}"))
    return core


@pytest.mark.parametrize("version", [0, 4, 5])
def test_configuration_is_not_sent_unrequested(
    up_to_date: leases.LeaseEntry, version: int
) -> None:
    up_to_date.receive(0.0, wire.PeerUp(_hello("entry-1", version)))
    up_to_date.receive(0.1, leases.ConfigRead(6, b"{}"))
    actions = _run(up_to_date, 0.0, 2.0)
    assert not _sent(actions, wire.ConfigReply)
    assert ("entry-1", wire.KeepAlive(6)) in _sent(actions, wire.KeepAlive)


def test_requested_configuration_is_sent(
    up_to_date: leases.LeaseEntry,
) -> None:
    up_to_date.receive(0.0, wire.PeerUp(_hello("entry-1", 0)))
    up_to_date.receive(0.0, wire.Received("entry-1", wire.ConfigRequest()))
    told = _sent(up_to_date.tick(0.0), wire.ConfigReply)
    assert told == [("entry-1", wire.ConfigReply(5, b"{}"))]


def test_entry_without_store_requests_from_peer() -> None:
    core = _entry("entry-1")
    core.receive(0.0, wire.PeerUp(_hello("entry-0", 0)))
    core.receive(0.1, wire.Received("entry-0", wire.KeepAlive(5)))
    asked = _sent(_run(core, 0.1, 0.1 + _REQUEST_WITHIN_S), wire.ConfigRequest)
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


def test_entry_with_store_requests_nothing() -> None:
    core = _entry("entry-1")
    core.receive(0.0, wire.PeerUp(_hello("entry-0", 5)))
    actions = _run(core, 0.0, 0.1)
    core.receive(0.1, leases.ConfigRead(5, b"{}"))
    actions += _run(core, 0.1, 2.0)
    assert not _sent(actions, wire.ConfigRequest)


def test_requests_go_to_peers_in_turn() -> None:
    """A peer that does not answer may be cut off in one direction."""
    core = _entry("entry-1")
    for name in ("entry-0", "entry-2"):
        core.receive(0.0, wire.PeerUp(_hello(name, 5)))
    asked = _sent(_run(core, 0.0, _REQUEST_WITHIN_S), wire.ConfigRequest)
    assert {peer for peer, _ in asked} == {"entry-0", "entry-2"}


def test_cordons_of_disconnected_peer_are_handled() -> None:
    core = _entry("entry-1")
    core.receive(0.0, leases.CordonsRead(wire.CordonedZones(9, ("north",))))
    late = wire.Received("entry-0", wire.CordonedZones(3))
    core.receive(0.1, late)
    assert not _sent(core.tick(0.1), wire.CordonedZones)


# A configuration of another release that is invalid here must neither count as
# known nor be requested again and again.
def test_invalid_configuration_of_a_peer_is_rejected() -> None:
    core = leases.LeaseEntry(
        "entry-1",
        "entry-1.1",
        "north",
        random.Random(1),
        accepts_config=lambda data: data != b"?",
    )
    core.receive(0.0, wire.PeerUp(_hello("entry-0", 7)))
    assert _sent(_run(core, 0.0, 1.0), wire.ConfigRequest)
    core.receive(1.0, wire.Received("entry-0", wire.ConfigReply(7, b"?")))
    actions = _run(core, 1.0, 4.0)
    assert not _sent(actions, wire.ConfigRequest)
    assert not [a for a in actions if isinstance(a, leases.ApplyConfig)]
    # An older one that this entry reads is valid and newer than what it has.
    core.receive(4.0, leases.ConfigRead(6, b"{}"))
    core.receive(4.0, wire.Received("entry-0", wire.ConfigReply(8, b"{}")))
    applied = [
        action.version
        for action in _run(core, 4.0, 4.1)
        if isinstance(action, leases.ApplyConfig)
    ]
    assert applied == [6, 8]
