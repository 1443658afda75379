"""Faults for the virtual world, and the steps of a job to inject them at."""

from collections import abc
import dataclasses
import functools

import msgspec

from ferryledge import leases
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

#: Seconds after which a client repeats a job whose entry was lost.
REPEAT_S = 1.3

InjectFault = abc.Callable[[worlds.World], None]


def _lose_orders(world: worlds.World) -> None:
    world.late_orders = 0.3
    world.at(1.0, lambda: setattr(world, "late_orders", 0.0))


def _cut(both: bool, from_entry: bool, for_s: float) -> InjectFault:
    def inject(world: worlds.World) -> None:
        for agent in world.agents[:2]:
            ends = ("entry-0", agent) if from_entry else (agent, "entry-0")
            world.cut(*ends, for_s, both)

    return inject


def _agent(act: abc.Callable[[worlds.World, str], None]) -> InjectFault:
    def inject(world: worlds.World) -> None:
        for agent in world.agents[:2]:
            act(world, agent)

    return inject


def _reset_streams(world: worlds.World) -> None:
    for agent in world.agents:
        world.break_stream(agent, "entry-0")


def _silence_streams(world: worlds.World) -> None:
    for agent in world.agents:
        world.silence_stream(agent, "entry-0")


def _stall_endpoint(world: worlds.World) -> None:
    endpoint = world.endpoints["agent-0"]
    endpoint.speed = 0.0
    world.at(3.0, lambda: setattr(endpoint, "speed", 1.0))


def _fail_north(world: worlds.World, agent: str) -> None:
    """Let an endpoint fail the runs of entries in the zone north."""
    name = world.endpoints[agent].name
    world.failing_for[name] = "north"
    world.at(2.0, lambda: world.failing_for.pop(name, None))


def _flap(world: worlds.World, agent: str) -> None:
    """Let an endpoint go down and come back three times."""
    for turn in range(3):
        crash = functools.partial(world.crash_endpoint, agent, 0.4)
        world.at(0.8 * turn, crash)


def _hang(world: worlds.World, agent: str) -> None:
    """Let half of the runs hang that start within the next two seconds."""
    name = world.endpoints[agent].name
    world.hanging[name] = 0.5
    world.at(2.0, lambda: world.hanging.pop(name, None))


def _lose_stops(world: worlds.World, agent: str) -> None:
    """Let the endpoint answer no stops for longer than a lease."""
    world.lost_stops.add(agent)
    world.at(2.0, lambda: world.lost_stops.discard(agent))


def _lose_stops_cut_off(world: worlds.World, agent: str) -> None:
    _lose_stops(world, agent)
    world.cut("entry-0", agent, 2.5)


def _restart_cut_off(world: worlds.World, agent: str) -> None:
    """Restart an agent within a lease while its entry is cut off."""
    world.kill(agent, 0.5)
    world.cut("entry-0", agent, 2.5)


def _drain(world: worlds.World, agent: str) -> None:
    world.endpoints[agent].draining = True
    world.heartbeat(agent)


def _replace_then_late_heartbeat(
    same_id: bool,
) -> abc.Callable[[worlds.World, str], None]:
    """Replace an endpoint, then deliver a delayed heartbeat of the old one."""

    def inject(world: worlds.World, agent: str) -> None:
        old = world.report_of(agent, 10**6)
        world.crash_endpoint(agent, 0.2, same_id)
        world.at(0.4, lambda: world.post(agent, old))

    return inject


def _restart(down_s: float) -> abc.Callable[[worlds.World, str], None]:
    """Restart an endpoint under the same id."""
    return lambda world, agent: world.crash_endpoint(agent, down_s, True)


def _restart_and_drain(world: worlds.World, agent: str) -> None:
    world.crash_endpoint(agent, 0.2, same_id=True)
    world.at(0.3, lambda: _drain(world, agent))


def _restart_both(world: worlds.World, agent: str) -> None:
    """Restart an endpoint under the same id while its agent is down."""
    world.kill(agent, 0.6)
    world.crash_endpoint(agent, 0.2, same_id=True)


def _leave(world: worlds.World, agent: str) -> None:
    """Let an agent close its stream to an entry for good, without notice."""
    world.dialled.discard((agent, "entry-0"))
    world.break_stream(agent, "entry-0")


def _invite(world: worlds.World) -> None:
    """Invite all agents to an entry."""
    address = world.addresses()[0]
    for agent in world.agents:
        event = wire.Received(world.entries[-1], wire.Invite(address))
        world.post(agent, event)


def _cordon(*zones: str) -> InjectFault:
    """Cordon zones for a second."""

    def inject(world: worlds.World) -> None:
        world.set_cordons(*zones)
        world.at(1.0, world.set_cordons)

    return inject


def _resize(world: worlds.World, agent: str) -> None:
    """Shrink an endpoint to a quarter for a second."""
    world.resize(agent, wire.Resources(2000, 8000, 0))
    world.at(1.0, lambda: world.resize(agent, worlds.ROOM))


def config_of(version: int) -> bytes:
    """Return a configuration of this version with some routes."""
    routes = ",".join(f'{{"Name":"r{number}"}}' for number in range(20))
    changed = f'{{"Name":"changed-{version}"}}'
    return f'{{"Version":{version},"Routes":[{routes},{changed}]}}'.encode()


def late_configs(world: worlds.World) -> None:
    """Deliver configurations out of order, incomplete, or on a missing base.

    Records a violation if an older or incomplete one is in force afterwards.
    """
    exchange = leases.ConfigExchange()
    exchange.learn(2, config_of(2), 2)
    first = exchange.delta_for(b"")
    exchange.learn(3, config_of(3), 3)
    second = exchange.delta_for(first.digest)
    exchange.learn(4, config_of(4), 4)
    incomplete = msgspec.structs.replace(
        exchange.delta_for(second.digest), pieces=()
    )
    no_base = msgspec.structs.replace(second, version=9, base=b"another")
    for entry in world.entries:
        for delta in (second, first, second, incomplete, first, no_base):
            world.post(entry, wire.Received("agent-0", delta))
        world.post(entry, leases.ConfigRead(2, config_of(2), 2))
        world.at(0.2, lambda name=entry: _check_config(world, name))


def _check_config(world: worlds.World, entry: str) -> None:
    peers = world.nodes[entry].core.peers
    expected = leases.ConfigExchange()
    expected.learn(3, config_of(3), 3)
    if peers.version == 3 and peers.digest != expected.digest:
        world.violations.append("an incomplete configuration is in force")
    if peers.version not in (1, 3):
        world.violations.append(
            "an older or incomplete configuration is in force"
        )


FAULTS: dict[str, InjectFault] = {
    "configurations late or torn": late_configs,
    "endpoint shrinks": _agent(_resize),
    "zone cordoned": _cordon("north"),
    "agents leave an entry": _agent(_leave),
    "agents are invited": _invite,
    "orders lost or late": _lose_orders,
    "agent killed": _agent(lambda w, a: w.kill(a)),
    "agent down for long": _agent(lambda w, a: w.kill(a, 2.5)),
    "agent restarted while cut off": _agent(_restart_cut_off),
    "stops lost": _agent(_lose_stops),
    "stops lost while cut off": _agent(_lose_stops_cut_off),
    "agent paused": _agent(lambda w, a: w.pause(a, 0.5)),
    "agent paused for long": _agent(lambda w, a: w.pause(a, 3.0)),
    "endpoint crashed": _agent(lambda w, a: w.crash_endpoint(a)),
    "endpoint replaced, then a late heartbeat": _agent(
        _replace_then_late_heartbeat(False)
    ),
    "endpoint restarted": _agent(_restart(0.5)),
    "endpoint restarted at once": _agent(_restart(0.0)),
    "endpoint restarted, then a late heartbeat": _agent(
        _replace_then_late_heartbeat(True)
    ),
    "endpoint restarted, then draining": _agent(_restart_and_drain),
    "endpoint and agent restarted": _agent(_restart_both),
    "endpoint gone": _agent(lambda w, a: w.crash_endpoint(a, None)),
    "endpoint flaps": _agent(_flap),
    "endpoint fails a zone's callers": _agent(_fail_north),
    "endpoint hangs now and then": _agent(_hang),
    "endpoint draining": _agent(_drain),
    "endpoint stands still": _stall_endpoint,
    "entry paused": lambda w: w.pause("entry-0", 0.5),
    "entry paused for long": lambda w: w.pause("entry-0", 3.0),
    "entry killed": lambda w: w.kill("entry-0"),
    "streams reset": _reset_streams,
    "streams silent for good": _silence_streams,
    "cut for a moment": _cut(True, True, 0.5),
    "cut": _cut(True, True, 3.0),
    "cut towards agents": _cut(False, True, 3.0),
    "cut towards agents for a moment": _cut(False, True, 0.8),
    "cut towards the entry": _cut(False, False, 3.0),
    "cut towards the entry for a moment": _cut(False, False, 0.8),
}

#: Seconds from a job's arrival to the step at which a fault is injected.
STEPS: dict[str, float] = {
    "order": 0.0004,
    "start": 0.0012,
    "confirm": 0.0018,
    "renew": 0.08,
    "end": 0.2015,
    "report": 0.2035,
    "stop": 0.3006,
}


def run_until_end_is_listed(world: worlds.World, agent: str) -> None:
    """Run until an agent knows an end that its endpoint still lists.

    It has not acknowledged this end yet.
    """
    endpoint = world.endpoints[agent]
    link = world.nodes[agent].core.link
    for _ in range(2000):
        if any(end.number <= link.acknowledged for end in endpoint.ended):
            return
        world.run(0.001)
    raise AssertionError("the agent learned of no end")


def play_stale_entry() -> worlds.World:
    """Cordon a zone while an entry can't learn of it, and submit jobs there.

    The entry is cut off from the store and the other entries, but still
    reaches its agents.
    """
    world = worlds.World(
        seed=4, entries=3, agents=4, peers=True, zones=("north", "south")
    )
    world.run(3.0)
    world.storeless.add("entry-0")
    for other in ("entry-1", "entry-2"):
        world.cut("entry-0", other, 10.0)
    world.set_cordons("north")
    world.run(worlds.CORDON_S)
    for number in range(12):
        world.submit("entry-0", f"{number:016x}", count=4, work_s=0.1)
        world.run(0.1)
    world.run(3.0)
    return world


@dataclasses.dataclass(slots=True)
class Repeat:
    """A job that is submitted again after its entry was lost."""

    world: worlds.World
    name: str
    count: int
    tokens: list[int]

    def submit(self) -> None:
        """Submit it to the second entry."""
        self.tokens.append(self.world.submit("entry-1", self.name, self.count))


def play(inject: InjectFault, after_s: float, seed: int) -> worlds.World:
    """Inject a fault while jobs run, and return the world after they ended.

    There are three jobs: one that runs to its end, one whose client leaves
    0.3 s after its arrival, and one at another entry.

    :param inject: injects the fault
    :param after_s: seconds from the jobs' arrival to the fault
    :param seed: the seed of the world
    """
    world = worlds.World(seed)
    world.run(2.0)
    tokens = [world.submit("entry-0", f"{seed:016x}", 4)]
    leaving = world.submit("entry-0", f"{seed + 1:016x}", 2, 1.0)
    world.submit("entry-1", f"{seed + 2:016x}", 4)
    world.at(
        0.3,
        lambda: world.post(
            "entry-0", leases.ClientLeft(leaving, f"{seed + 1:016x}")
        ),
    )
    life = world.nodes["entry-0"].life
    world.at(after_s, lambda: inject(world))
    world.run(after_s + 0.001)
    if world.nodes["entry-0"].life != life:
        repeat = Repeat(world, f"{seed:016x}", 4, tokens)
        world.at(REPEAT_S, repeat.submit)
    world.run(9.0)
    return world


def check(world: worlds.World) -> None:
    """Assert that no guarantee was violated and that no run is left."""
    assert not world.violations, world.violations
    for token, answers in world.answers.items():
        job = world.jobs[token].job
        same_job = [t for t, other in world.jobs.items() if other.job == job]
        for outcome in answers:
            if isinstance(outcome, outcomes.Refused) and len(same_job) == 1:
                assert not world.started[job], f"{job} refused, but started"
    for name, endpoint in world.endpoints.items():
        assert not endpoint.runs, f"{name} still runs {endpoint.runs}"
    for name in world.agents:
        runs = list(world.nodes[name].core.runs)
        assert not runs, f"{name} still counts {runs}"
