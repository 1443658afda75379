"""What an agent reports is not taken for newer than it is."""

from ferryledge import leases
from ferryledge.leases import _owners
from ferryledge.leases import _timing
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_SETTLE_S = 2.0
_JOB = "b" * 16


def test_order_in_flight_is_not_lost_by_a_second_list() -> None:
    """An agent that finds an unknown run lists its runs to all entries."""
    world = worlds.World(seed=1, entries=2, agents=2)
    world.run(_SETTLE_S)
    world.cut("entry-1", "agent-0", 0.1, both=False)
    # The tasks fill both endpoints, so some are ordered at the agent.
    token = world.submit("entry-1", _JOB, count=8, work_s=0.6)
    world.run(0.005)
    unknown = leases.RunKey("a" * 16, 0, 0, 1)
    listing = leases.LeaseRenewed(
        world.now,
        world.nodes["agent-0"].core.link.incarnation,
        world.endpoints["agent-0"].clock_ms(world.now) + 1,
        (leases.ListedRun(unknown, 0.1),),
        (),
    )
    world.post("agent-0", listing)
    world.run(_SETTLE_S)
    assert isinstance(world.outcome(token), outcomes.Complete)
    assert not world.violations


def test_orders_of_an_earlier_stream_do_not_count_as_seen() -> None:
    """An entry numbers its orders on each stream from 1.

    It would release the capacity of an order that is still on its way.
    """
    owners = _owners.OwnerTable(_timing.LeaseTiming(), "agent-0")
    owner = owners.join(0.0, "entry-0", "entry-0.1")
    order = wire.OrderRuns(7, _JOB, "", wire.Resources(), (), "endpoint", 0.1)
    owners.note_order(owner, order)
    owners.leave("entry-0", "entry-0.1")
    owner = owners.join(1.0, "entry-0", "entry-0.1")
    assert owner.orders_seen == 0
