"""What changed in a configuration is sent, and proved.

Entries sent each other the whole of a configuration, and each read it whole
from the store: 200 kB for a changed line, three times a second.
"""

import json
import random
import typing

import msgspec
import pytest

from ferryledge import leases
from ferryledge.leases import _config_exchange
from ferryledge.leases import _config_readers
from ferryledge import wire

_ROUTES = 1500


def _config(version: int, changed: int = 0, routes: int = _ROUTES) -> bytes:
    """Return a configuration of which some routes are not as usual."""
    rng = random.Random(1)
    table = [
        {
            "Name": f"r-{rng.getrandbits(32):08x}",
            "Hostname": f"h{rng.getrandbits(32):08x}.example",
            "Stretch": 2.0 if number >= changed else 3.0,
        }
        for number in range(routes)
    ]
    return json.dumps({"Version": version, "Routes": table}).encode()


def _holder(*configs: tuple[int, bytes]) -> leases.ConfigExchange:
    exchange = leases.ConfigExchange()
    for version, data in configs:
        exchange.learn(version, data, version)
    return exchange


def _size(delta: wire.ConfigDelta) -> int:
    return len(wire.encode(delta))


@pytest.mark.parametrize(
    "new",
    [
        _config(2),
        _config(2, changed=1),
        _config(2, changed=700),
        _config(2, routes=_ROUTES - 3),
        _config(2, routes=0),
        b"no JSON",
        b"",
    ],
)
def test_difference_makes_the_new_one(new: bytes) -> None:
    old = (1, _config(1))
    giver = _holder(old, (2, new))
    taker = _holder(old)
    assert taker.restore(giver.delta_for(taker.digest)) == new


def test_difference_costs_what_changed() -> None:
    old = (1, _config(1))
    giver = _holder(old, (2, _config(2, changed=1)))
    assert _size(giver.delta_for(_holder(old).digest)) < 500
    assert len(giver.data) > 100_000


def test_whole_is_sent_where_no_base_is_shared() -> None:
    giver = _holder((2, _config(2)))
    taker = _holder((1, _config(1)))
    delta = giver.delta_for(taker.digest)
    assert taker.restore(delta) == giver.data
    assert _size(delta) < len(giver.data) / 2


def test_base_ten_versions_back_is_not_kept() -> None:
    giver = _holder(*((n, _config(n)) for n in range(1, 12)))
    taker = _holder((1, _config(1)))
    assert giver.delta_for(taker.digest).base == b""


def test_order_of_bases_does_not_matter() -> None:
    """A difference that was overtaken by another is no harm."""
    first, second = (1, _config(1)), (2, _config(2, changed=1))
    giver = _holder(first, second, (3, _config(3, changed=2)))
    taker = _holder(first, second)
    assert taker.restore(giver.delta_for(_holder(first).digest)) == giver.data


@pytest.mark.parametrize(
    "field, value",
    [
        ("base", b"another"),
        ("digest", b"another"),
        ("packed", b"no text"),
        ("packed", wire.pack_bytes(b"another text")),
        ("pieces", (wire.ConfigPiece(0, 10**6, 0),)),
        ("pieces", (wire.ConfigPiece(-1, 1, 0),)),
        ("pieces", (wire.ConfigPiece(0, 1, -1),)),
    ],
)
def test_what_does_not_fit_is_refused(field: str, value: object) -> None:
    old = (1, _config(1))
    delta = _holder(old, (2, _config(2, 1))).delta_for(_holder(old).digest)
    wrong = msgspec.structs.replace(delta, **{field: value})
    with pytest.raises(_config_exchange.ExchangeError):
        _holder(old).restore(wrong)


def _hello(name: str, **fields: typing.Any) -> wire.Hello:
    role = wire.Role.AGENT if name.startswith("agent") else wire.Role.ENTRY
    return wire.Hello(role, name, f"{name}.1", "north", **fields)


def _entry(link: float = 250_000.0) -> leases.LeaseEntry:
    return leases.LeaseEntry(
        "entry-0",
        "entry-0.1",
        "north",
        random.Random(1),
        link_bytes_per_s=link,
    )


def _requests(core: leases.LeaseEntry, now: float) -> list[tuple[str, object]]:
    return [
        (action.peer, action.message)
        for action in core.tick(now)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.ConfigRequest)
    ]


def _applied(core: leases.LeaseEntry, now: float) -> list[int]:
    return [
        action.version
        for action in core.tick(now)
        if isinstance(action, leases.ApplyConfig)
    ]


def test_entry_with_a_narrow_link_asks_an_agent() -> None:
    core = _entry()
    core.receive(0.0, wire.PeerUp(_hello("agent-0")))
    assert not _requests(core, 0.0)
    core.receive(0.1, wire.PeerUp(_hello("agent-1", reads_configs=True)))
    [(peer, request)] = _requests(core, 0.1)
    assert (peer, request) == ("agent-1", wire.ConfigRequest(follow=True))


def test_entry_with_a_wide_link_asks_none() -> None:
    core = _entry(link=25_000_000.0)
    core.receive(0.0, wire.PeerUp(_hello("agent-1", reads_configs=True)))
    assert not _requests(core, 0.0)
    assert not core.peers.config_reader


def test_another_agent_is_asked_if_one_is_lost_or_fails() -> None:
    core = _entry()
    for name in ("agent-0", "agent-1", "agent-2"):
        core.receive(0.0, wire.PeerUp(_hello(name, reads_configs=True)))
    [(first, _)] = _requests(core, 0.0)
    core.receive(0.1, leases.ConfigFetchFailed())
    [(second, _)] = _requests(core, 0.1)
    core.receive(0.2, wire.PeerDown(second, f"{second}.1"))
    [(third, _)] = _requests(core, 0.2)
    assert len({first, second, third}) == 3


def test_what_an_agent_brings_is_in_force_and_never_goes_back() -> None:
    core = _entry()
    core.receive(0.0, wire.PeerUp(_hello("agent-0", reads_configs=True)))
    core.receive(0.0, leases.ConfigRead(1, _config(1), 1))
    core.tick(0.0)
    agent = _holder((1, _config(1)), (2, _config(2, 1)))
    late = agent.delta_for(core.peers.digest)
    agent.learn(3, _config(3, 2), 3)
    newest = agent.delta_for(core.peers.digest)
    core.receive(0.1, wire.Received("agent-0", newest))
    assert _applied(core, 0.1) == [3]
    core.receive(0.2, wire.Received("agent-0", late))
    assert _applied(core, 0.2) == []
    assert core.peers.version == 3


def test_whole_is_asked_for_if_a_difference_does_not_fit() -> None:
    core = _entry()
    core.receive(0.0, wire.PeerUp(_hello("agent-0", reads_configs=True)))
    core.tick(0.0)
    agent = _holder((1, _config(1)), (2, _config(2, 1)))
    delta = agent.delta_for(_holder((1, _config(1))).digest)
    core.receive(0.1, wire.Received("agent-0", delta))
    assert _requests(core, 0.1) == [
        ("agent-0", wire.ConfigRequest(follow=True))
    ]


def test_entry_of_the_release_before_is_sent_the_whole() -> None:
    core = _entry()
    core.receive(0.0, leases.ConfigRead(1, b"{}"))
    core.receive(0.0, wire.PeerUp(_hello("entry-1")))
    core.receive(0.0, wire.PeerUp(_hello("entry-2", config_deltas=True)))
    for name in ("entry-1", "entry-2"):
        core.receive(0.0, wire.Received(name, wire.ConfigRequest()))
    sent = {
        action.peer: type(action.message)
        for action in core.tick(0.0)
        if isinstance(action, leases.SendMessage)
        and isinstance(action.message, wire.ConfigReply | wire.ConfigDelta)
    }
    assert sent["entry-1"] is wire.ConfigReply
    assert sent["entry-2"] is wire.ConfigDelta


def test_narrow_is_what_a_large_configuration_holds_up() -> None:
    assert _config_readers.is_narrow_link(250_000.0)
    assert not _config_readers.is_narrow_link(25.0e6 / 8.0)
    assert not _config_readers.is_narrow_link(float("inf"))
