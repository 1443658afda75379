"""Entries tell each other where entries listen."""

import itertools
import random

import pytest

from ferryledge import leases
from ferryledge.leases import _cordons
from ferryledge.leases import _entry_selection
from ferryledge.leases import _peers
from ferryledge import wire

_NAMES = ("entry-0", "entry-1")
#: Rounds of messages after which two entries must have agreed.
_ROUNDS = 20


def _exchange(cores: dict[str, leases.LeaseEntry]) -> bool:
    """Deliver the address lists that are due; return whether any was."""
    sent = [
        (name, action)
        for name, core in cores.items()
        for action in core.tick(0.0)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.EntryList)
    ]
    for name, action in sent:
        event = wire.Received(name, action.message)
        cores[action.peer].receive(0.0, event)
    return bool(sent)


def test_two_addresses_of_an_entry_are_not_swapped_for_ever() -> None:
    """Each entry takes the other's address for newer than its own."""
    cores = {
        name: leases.LeaseEntry(name, f"{name}.1", "north", random.Random(0))
        for name in _NAMES
    }
    for name, peer in (_NAMES, _NAMES[::-1]):
        cores[name].receive(0.0, wire.PeerUp(cores[peer].hello()))
    assert any(not _exchange(cores) for _ in range(_ROUNDS))
    for name, host in zip(_NAMES, ("10.0.0.1", "10.0.0.2"), strict=True):
        address = wire.EntryAddress("entry-2", host, 1)
        cores[name].receive(0.0, leases.EntriesFound((address,)))
    assert any(not _exchange(cores) for _ in range(_ROUNDS))


def _address(host: str, version: int = 0) -> wire.EntryAddress:
    return wire.EntryAddress("entry-2", host, 1, version)


_ADDRESSES = (_address("10.0.0.9"), _address("10.0.0.5", 4), _address("b", 7))


@pytest.mark.parametrize("order", tuple(itertools.permutations(_ADDRESSES)))
def test_newest_record_of_an_entry_wins_in_any_order(
    order: tuple[wire.EntryAddress, ...],
) -> None:
    """Guards against an old list that is read late and replaces an address."""
    peers = _peers.EntryPeers("entry-0", _cordons.Cordons())
    selection = _entry_selection.EntrySelection("agent-0")
    for address in order:
        peers.learn_entries((address,))
        selection.add_addresses(0.0, (address,))
    assert peers.address_of("entry-2") == _address("b", 7)
    dialled = [
        action.entries
        for action in selection.plan(0.0, lambda _: False)
        if isinstance(action, leases.DialEntries)
    ]
    assert dialled == [(_address("b", 7),)]


def test_known_address_is_neither_dialled_nor_forwarded_again() -> None:
    """Guards against a new stream when an entry's record is read."""
    peers = _peers.EntryPeers("entry-0", _cordons.Cordons())
    peers.learn_entries((_address("10.0.0.1"),))
    assert peers.pop_actions()
    peers.learn_entries((_address("10.0.0.1", 3),))
    assert not peers.pop_actions()
    peers.learn_entries((_address("10.0.0.2", 2),))
    assert peers.address_of("entry-2") == _address("10.0.0.1", 3)


def test_entry_keeps_its_address_when_it_reads_an_old_record() -> None:
    """Guards against invitations to the address of an earlier start."""
    peers = _peers.EntryPeers("entry-2", _cordons.Cordons())
    peers.learn_entries((_address("10.0.0.2"),))
    peers.learn_entries((_address("10.0.0.1", 3),))
    assert peers.address_of("entry-2") == _address("10.0.0.2")
    peers.learn_entries((_address("10.0.0.2", 5),))
    assert peers.address_of("entry-2") == _address("10.0.0.2", 5)
