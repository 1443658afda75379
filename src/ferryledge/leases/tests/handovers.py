"""A job that one entry hands on to another, and faults on its way."""

from collections import abc
import dataclasses
import functools

from ferryledge import leases
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import wire

GIVER = "entry-0"
JOB = "a" * 16
TASKS = 4
#: Seconds for which the giver hears none of its agents.
CUT_S = 2.2
#: Seconds after which it takes them for gone.
_GONE_S = 1.4
_LOOK_S = 0.0002

Strike = abc.Callable[[worlds.World, str], None]


def _cut(source: str, target: str, for_s: float, both: bool) -> Strike:
    """Cut what giver and taker send to each other."""

    def strike(world: worlds.World, taker: str) -> None:
        ends = {"giver": GIVER, "taker": taker}
        world.cut(ends[source], ends[target], for_s, both)

    return strike


def _silence(world: worlds.World, taker: str) -> None:
    world.silence_stream(min(GIVER, taker), max(GIVER, taker))


def _both_killed(gap_s: float) -> Strike:
    """Kill the giver, and soon after that the taker."""

    def strike(world: worlds.World, taker: str) -> None:
        world.kill(GIVER, 3.0)
        world.at(gap_s, functools.partial(world.kill, taker, 3.0))

    return strike


def _giver_lost_taker_cut_off(world: worlds.World, taker: str) -> None:
    world.kill(GIVER, 3.0)
    for agent in world.agents:
        world.cut(taker, agent, 3.0, both=False)


def _taker_cut_off(world: worlds.World, taker: str) -> None:
    for agent in world.agents:
        world.cut(taker, agent, 3.0)


def _power_lost(world: worlds.World, taker: str) -> None:
    """Let a machine go away without a word to its peers."""
    for other in world.entries:
        if other != GIVER:
            world.cut(GIVER, other, 3.0)
    world.kill(GIVER, 3.0)


def _leave(world: worlds.World, _: str) -> None:
    world.post(GIVER, leases.ClientLeft(_token(world), JOB))


def _token(world: worlds.World) -> int:
    return next(t for t, job in world.jobs.items() if job.job == JOB)


FAULTS: dict[str, Strike] = {
    "nothing": lambda world, taker: None,
    "giver killed": lambda world, taker: world.kill(GIVER),
    "giver down for long": lambda world, taker: world.kill(GIVER, 4.0),
    "giver without power": _power_lost,
    "giver paused": lambda world, taker: world.pause(GIVER, 0.5),
    "giver paused for long": lambda world, taker: world.pause(GIVER, 3.0),
    "taker killed": lambda world, taker: world.kill(taker),
    "taker down for long": lambda world, taker: world.kill(taker, 4.0),
    "taker paused": lambda world, taker: world.pause(taker, 0.5),
    "taker paused for long": lambda world, taker: world.pause(taker, 3.0),
    "both killed": _both_killed(0.0),
    "both killed in turn": _both_killed(0.15),
    "both killed in turn, later": _both_killed(0.29),
    "giver killed, taker cut off from agents": _giver_lost_taker_cut_off,
    "taker cut off from agents": _taker_cut_off,
    "stream reset": lambda world, taker: world.break_stream(GIVER, taker),
    "stream silent for good": _silence,
    "cut": _cut("giver", "taker", 3.0, True),
    "cut for a moment": _cut("giver", "taker", 0.5, True),
    "cut towards the taker": _cut("giver", "taker", 3.0, False),
    "cut towards the taker for a moment": _cut("giver", "taker", 0.3, False),
    "cut towards the giver": _cut("taker", "giver", 3.0, False),
    "cut towards the giver for a moment": _cut("taker", "giver", 0.3, False),
    "client left": _leave,
    "cancelled": lambda world, taker: world.post(
        GIVER, leases.JobCancelled(JOB)
    ),
    "taker stops": lambda world, taker: world.post(taker, leases.EntryStop()),
    "giver stops": lambda world, taker: world.post(GIVER, leases.EntryStop()),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A message that was sent, and how long ago."""

    message: type[wire.Message]
    after_s: float


STEPS: dict[str, Step] = {
    "room asked": Step(wire.AskRoom, 0.0003),
    "offer on its way": Step(wire.OfferJob, 0.0003),
    "offer taken": Step(wire.OfferAnswered, 0.0003),
    "answered": Step(wire.OfferAnswered, 0.0009),
    "started": Step(wire.OfferAnswered, 0.004),
    "right asked": Step(wire.AskHandedIn, 0.0003),
    "right given": Step(wire.GrantHandedIn, 0.0003),
    "running": Step(wire.GrantHandedIn, 0.07),
    "result on its way": Step(wire.JobHandled, 0.0003),
    "result told": Step(wire.JobHandled, 0.0009),
}


def make_world(seed: int, cut_s: float = CUT_S) -> worlds.World:
    """Return a world in which an entry is cut off from all agents.

    :param seed: of all randomness
    :param cut_s: for how long it is
    """
    world = worlds.World(seed, entries=3, agents=4, peers=True)
    world.run(4.0)
    for agent in world.agents:
        world.cut(GIVER, agent, _GONE_S + cut_s)
    world.run(_GONE_S)
    return world


def _taker(world: worlds.World) -> str:
    """Return the entry that holds the job, or is likely to get it."""
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
) -> worlds.World:
    """Strike at a step of a job that is handed on; let all settle."""
    world = make_world(seed, cut_s)
    world.submit(GIVER, JOB, TASKS, work_s, deadline_s=6.0)
    life = world.nodes[GIVER].life
    sent = world.sent[step.message]

    def repeat(entry: str) -> None:
        """Send the job again if its entry was lost."""
        world.submit(entry, JOB, TASKS, work_s, deadline_s=6.0)

    def hit() -> None:
        taker = _taker(world)
        strike(world, taker)
        if world.nodes[GIVER].life != life:
            other = "entry-2" if taker == "entry-1" else "entry-1"
            world.at(faults.REPEAT_S, functools.partial(repeat, other))

    def look() -> None:
        if world.sent[step.message] > sent:
            world.at(step.after_s, hit)
        else:
            world.at(_LOOK_S, look)

    look()
    world.run(9.0)
    return world
