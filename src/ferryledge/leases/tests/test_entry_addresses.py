"""Entries tell each other where entries listen."""

import random

from ferryledge import leases
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
