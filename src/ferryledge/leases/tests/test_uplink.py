"""What waits at the link of one's own machine."""

import random

import pytest

from ferryledge import leases
from ferryledge.leases import _pool_share
from ferryledge.leases import _uplink
from ferryledge.leases.tests import loads
from ferryledge import loads as worlds
from ferryledge import wire

_SIZE = 10_000 - _uplink.PACKET_BYTES
#: What a process counts on of a link that carries 125,000 bytes a second.
_USABLE = 100_000.0


@pytest.fixture
def link() -> _uplink.Uplink:
    return _uplink.Uplink(125_000.0)


def test_what_was_sent_leaves_at_the_rate_of_the_link(
    link: _uplink.Uplink,
) -> None:
    for _ in range(2):
        link.note_sent(1.0, _SIZE)
    assert link.wait_s(1.0) == pytest.approx(0.2)
    assert not link.is_free(1.0)
    assert link.free_at(1.0) == pytest.approx(1.17)
    assert link.is_free(1.171)
    assert link.wait_s(2.0) == 0.0


def test_unknown_link_is_always_free() -> None:
    link = _uplink.Uplink()
    link.note_sent(1.0, 10**9)
    assert link.is_free(1.0)
    assert not link.is_busy(1.0)


def test_link_is_busy_while_much_of_it_is_in_use(
    link: _uplink.Uplink,
) -> None:
    for tick in range(10):
        link.note_sent(tick / 10, 4_000)
    assert link.is_busy(0.9)
    assert not link.is_busy(3.0)


def test_share_of_the_pool_is_bounded_by_the_link(
    link: _uplink.Uplink,
) -> None:
    share = _pool_share.PoolShare(link)
    for tick in range(100):
        link.note_sent(tick / 100, 2_000 - _uplink.PACKET_BYTES)
        share.note_started(tick / 100, 0.5, 1, 2_000)
    # An order of 2,000 bytes keeps half a core-second of work going.
    cores = _USABLE / 2_000 * 0.5
    assert share.cores(1.0, 80.0, 1) == pytest.approx(cores, rel=0.02)


def test_idle_entry_is_not_bounded_by_a_wide_link() -> None:
    """Grants and reports go on while nothing is ordered for ten seconds."""
    link = _uplink.Uplink(125_000_000.0)
    share = _pool_share.PoolShare(link)
    for tick in range(100):
        share.note_started(tick / 100, 0.5, 1, 2_000)
    for tick in range(1100):
        link.note_sent(tick / 100, 300)
    assert share.cores(11.0, 80.0, 4) == 20.0


def _specs_sent(world: worlds.World) -> list[wire.OrderRuns]:
    orders: list[wire.OrderRuns] = []
    send = world._send

    def watch(source: str, target: str, event: wire.Received) -> None:
        if isinstance(event.message, wire.OrderRuns):
            orders.append(event.message)
        send(source, target, event)

    world._send = watch  # type: ignore[method-assign]
    load = loads.Load(share=0.5, tasks=2, spec_bytes=2_000, seconds=1.0)
    loads.play(world, load, random.Random(1))
    return orders


def test_specs_are_packed_while_the_link_is_busy() -> None:
    world = worlds.World(1, 1, 8, link_bytes_per_s=250_000.0)
    orders = _specs_sent(world)
    packed = [order for order in orders if order.packed_spec]
    assert len(packed) > len(orders) / 2
    assert not any(order.spec for order in packed)
    assert {order.spec for order in orders if not order.packed_spec}


def test_specs_are_sent_as_they_are_over_a_wide_link() -> None:
    orders = _specs_sent(worlds.World(1, 1, 8, link_bytes_per_s=10**8))
    assert not any(order.packed_spec for order in orders)


def test_agents_that_do_not_say_so_get_no_packed_specs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def hello(agent: leases.LeaseAgent) -> wire.Hello:
        name = agent._name
        return wire.Hello(wire.Role.AGENT, name, agent._incarnation, "north")

    monkeypatch.setattr(leases.LeaseAgent, "hello", hello)
    world = worlds.World(1, 1, 8, link_bytes_per_s=250_000.0)
    orders = _specs_sent(world)
    assert not any(order.packed_spec for order in orders)


def test_endpoint_gets_the_spec_as_the_client_sent_it() -> None:
    world = worlds.World(1, 1, 8, link_bytes_per_s=250_000.0)
    started: dict[str, str] = {}
    order = world._order

    def watch(agent: str, action: object) -> None:
        if isinstance(action, leases.StartRun):
            started[action.key.job] = action.spec
        order(agent, action)  # type: ignore[arg-type]

    world._order = watch  # type: ignore[method-assign]
    _specs_sent(world)
    sent = {job.job: job.spec for job in world.jobs.values()}
    assert started
    assert all(sent[job] == spec for job, spec in started.items())
