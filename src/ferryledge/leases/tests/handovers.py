"""Handover of a job between entries with faults at each of its steps."""

from collections import abc
import dataclasses
import functools

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import wire

DELEGATOR = "entry-0"
JOB = "a" * 16
TASKS = 4
#: Seconds for which the delegator is cut off from its agents.
CUT_S = 2.2
#: Seconds after which it treats them as lost.
_GONE_S = 1.4
_POLL_S = 0.0002

Strike = abc.Callable[[worlds.World, str], None]


def _cut(source: str, target: str, for_s: float, both: bool) -> Strike:
    """Return a fault that cuts the link between the two entries."""

    def strike(world: worlds.World, delegate: str) -> None:
        ends = {"delegator": DELEGATOR, "delegate": delegate}
        world.cut(ends[source], ends[target], for_s, both)

    return strike


def _silence(world: worlds.World, delegate: str) -> None:
    world.silence_stream(min(DELEGATOR, delegate), max(DELEGATOR, delegate))


def _both_killed(gap_s: float) -> Strike:
    """Return a fault that kills the delegator, then the delegate."""

    def strike(world: worlds.World, delegate: str) -> None:
        world.kill(DELEGATOR, 3.0)
        world.at(gap_s, functools.partial(world.kill, delegate, 3.0))

    return strike


def _both_lost(world: worlds.World, delegate: str) -> None:
    world.kill(DELEGATOR, 3.0)
    for agent in world.agents:
        world.cut(delegate, agent, 3.0, both=False)


def _delegate_cut_off(world: worlds.World, delegate: str) -> None:
    for agent in world.agents:
        world.cut(delegate, agent, 3.0)


def _power_lost(world: worlds.World, delegate: str) -> None:
    """Stop the delegator without closing its streams."""
    for other in world.entries:
        if other != DELEGATOR:
            world.cut(DELEGATOR, other, 3.0)
    world.kill(DELEGATOR, 3.0)


def _leave(world: worlds.World, _: str) -> None:
    world.post(DELEGATOR, leases.ClientLeft(_token(world), JOB))


def _token(world: worlds.World) -> int:
    return next(t for t, job in world.jobs.items() if job.job == JOB)


FAULTS: dict[str, Strike] = {
    "nothing": lambda world, delegate: None,
    "delegator killed": lambda world, delegate: world.kill(DELEGATOR),
    "delegator down for long": lambda world, delegate: world.kill(
        DELEGATOR, 4.0
    ),
    "delegator without power": _power_lost,
    "delegator paused": lambda world, delegate: world.pause(DELEGATOR, 0.5),
    "delegator paused for long": lambda world, delegate: world.pause(
        DELEGATOR, 3.0
    ),
    "delegate killed": lambda world, delegate: world.kill(delegate),
    "delegate down for long": lambda world, delegate: world.kill(
        delegate, 4.0
    ),
    "delegate paused": lambda world, delegate: world.pause(delegate, 0.5),
    "delegate paused for long": lambda world, delegate: world.pause(
        delegate, 3.0
    ),
    "both killed": _both_killed(0.0),
    "both killed in turn": _both_killed(0.15),
    "both killed in turn, later": _both_killed(0.29),
    "delegator killed, delegate cut off from agents": _both_lost,
    "delegate cut off from agents": _delegate_cut_off,
    "stream reset": lambda world, delegate: world.break_stream(
        DELEGATOR, delegate
    ),
    "stream silent for good": _silence,
    "cut": _cut("delegator", "delegate", 3.0, True),
    "cut for a moment": _cut("delegator", "delegate", 0.5, True),
    "cut towards the delegate": _cut("delegator", "delegate", 3.0, False),
    "cut towards the delegate for a moment": _cut(
        "delegator", "delegate", 0.3, False
    ),
    "cut towards the delegator": _cut("delegate", "delegator", 3.0, False),
    "cut towards the delegator for a moment": _cut(
        "delegate", "delegator", 0.3, False
    ),
    "client left": _leave,
    "cancelled": lambda world, delegate: world.post(
        DELEGATOR, leases.JobCancelled(JOB)
    ),
    "delegate stops": lambda world, delegate: world.post(
        delegate, leases.EntryStop()
    ),
    "delegator stops": lambda world, delegate: world.post(
        DELEGATOR, leases.EntryStop()
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a handover: a message, and the time since it was sent."""

    message: type[wire.Message]
    after_s: float


STEPS: dict[str, Step] = {
    "capacity requested": Step(wire.CapacityRequest, 0.0003),
    "offer on its way": Step(wire.OfferJob, 0.0003),
    "offer accepted": Step(wire.OfferAnswered, 0.0003),
    "answered": Step(wire.OfferAnswered, 0.0009),
    "started": Step(wire.OfferAnswered, 0.004),
    "renewal requested": Step(wire.HandoverGrantRequest, 0.0003),
    "lease renewed": Step(wire.HandoverGrant, 0.0003),
    "running": Step(wire.HandoverGrant, 0.07),
    "result on its way": Step(wire.HandoverEnded, 0.0003),
    "result reported": Step(wire.HandoverEnded, 0.0009),
}


def make_world(
    seed: int,
    cut_s: float = CUT_S,
    rules: leases.EntryRules | None = None,
) -> worlds.World:
    """Return a world in which the delegator is cut off from all agents.

    :param seed: seed of all randomness
    :param cut_s: how long it stays cut off after it noticed, in seconds
    :param rules: the rules that entries decide by; defaults to all
    """
    world = worlds.World(seed, entries=3, agents=4, peers=True, rules=rules)
    world.run(4.0)
    for agent in world.agents:
        world.cut(DELEGATOR, agent, _GONE_S + cut_s)
    world.run(_GONE_S)
    return world


def _find_delegate(world: worlds.World) -> str:
    """Return the entry that holds the job, or else a likely one."""
    for name in world.entries[1:]:
        node = world.nodes[name]
        if node.alive and node.core.holds(JOB):
            return name
    return "entry-1"


def play(
    strike: Strike,
    step: Step,
    seed: int,
    work_s: float = 0.8,
    cut_s: float = CUT_S,
    rules: leases.EntryRules | None = None,
) -> worlds.World:
    """Play a handover, cause a fault at a step, and run to the end."""
    world = make_world(seed, cut_s, rules)
    world.submit(DELEGATOR, JOB, TASKS, work_s, deadline_s=6.0)
    life = world.nodes[DELEGATOR].life
    sent = world.sent[step.message]

    def repeat(entry: str) -> None:
        """Submit the job again, as the client of a lost entry does."""
        world.submit(entry, JOB, TASKS, work_s, deadline_s=6.0)

    def strike_now() -> None:
        delegate = _find_delegate(world)
        strike(world, delegate)
        if world.nodes[DELEGATOR].life != life:
            other = "entry-2" if delegate == "entry-1" else "entry-1"
            world.at(faults.REPEAT_S, functools.partial(repeat, other))

    def poll() -> None:
        if world.sent[step.message] > sent:
            world.at(step.after_s, strike_now)
        else:
            world.at(_POLL_S, poll)

    poll()
    world.run(9.0)
    return world
