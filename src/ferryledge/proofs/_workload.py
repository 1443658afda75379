"""A small, busy workload that passes every step within seconds."""

import dataclasses
import functools
import random

from ferryledge import configlog
from ferryledge import core
from ferryledge import harness

_JOBS = 34
_SPAN_S = 2.8
_SETTLE_S = 25.0
_DRAIN_AT_S = 0.5
_RETURN_AT_S = 3.5
LEAVING_AGENT = "agent-4"
#: Changes that two operators publish at once on the same version.
RACING_CHANGES = ("change-0", "change-1")

ENTITIES: tuple[configlog.Entity, ...] = (
    configlog.Service("lookup", timeout_s=6.0),
    configlog.Service("hold", timeout_s=6.0, repeatable=False),
    configlog.Workspace("shop"),
)


@dataclasses.dataclass(slots=True)
class ClientJob:
    """A job and all submissions that its client made of it."""

    request: core.JobRequest
    records: list[harness.ClientRecord]


def new_world(seed: int) -> harness.World:
    """Return a small world with frequent checkpoints."""
    options = harness.WorldOptions(
        entries=3,
        agents=4,
        slots=2,
        entry=core.EntryOptions(ticket_stock=16),
        checkpoints=configlog.CheckpointPolicy(max_records=3),
        seed=seed,
    )
    return harness.World(options, ENTITIES)


class Workload:
    """Drives a world through every step.

    :param world: a fresh world
    :param seed: of the jobs and their times
    """

    def __init__(self, world: harness.World, seed: int) -> None:
        self._world = world
        self._rng = random.Random(seed)
        self.jobs: list[ClientJob] = []
        #: Answers of the log to the publications, by the change's id.
        self.published: dict[str, int | None] = {}
        self.drained_at = 0.0
        self.returns_at = 0.0
        #: Which life of the agent was asked to leave; -1 is none.
        self.drained_life = -1

    def run(self) -> None:
        """Run it all and let everything settle."""
        world = self._world
        start = world.now
        for number in range(_JOBS):
            when = start + self._rng.random() * _SPAN_S
            world.clock.at(when, functools.partial(self._submit, number))
        self._plan_changes(start)
        world.clock.at(start + _DRAIN_AT_S, self._drain)
        world.clock.at(start + _RETURN_AT_S, self._replace_leaving)
        world.run(_SETTLE_S)

    def _submit(self, number: int) -> None:
        rng = self._rng
        repeatable = number % 3 != 0
        tasks = []
        for index in range(rng.randint(1, 4)):
            payload = f'"{number}-{index}"'.encode()
            spec = harness.TaskSpec(rng.uniform(0.05, 0.4))
            self._world.endpoints.specs[payload] = spec
            tasks.append(core.TaskRequest(payload))
        request = core.JobRequest(
            f"job-{number}",
            "shop",
            "lookup" if repeatable else "hold",
            tuple(tasks),
            repeatable=repeatable,
        )
        entries = self._world.entry_names
        first = number % len(entries)
        rotated = entries[first:] + entries[:first]
        if repeatable:
            records = [self._world.submit(request, rotated[0])]
        else:
            records = self._world.submit_until_told(request, rotated)
        self.jobs.append(ClientJob(request, records))
        if number % 10 == 1:
            self._world.clock.after(
                0.08, lambda: self._world.cancel(request, rotated[1])
            )

    def _plan_changes(self, start: float) -> None:
        """Let two operators race, and others follow."""
        for number, when in enumerate((0.3, 0.3, 0.9, 1.5, 2.1, 2.7)):
            self._world.clock.at(
                start + when, functools.partial(self._publish, number)
            )

    def _publish(self, number: int) -> None:
        name = f"change-{number}"
        reader = self._world.readers["entry-1"]
        base = reader.follower.snapshot.version
        entities = (configlog.Workspace(f"workspace-{number}"),)

        def done(offset: int | None) -> None:
            self.published[name] = offset

        self._world.publish(entities, name, base, done)

    def _drain(self) -> None:
        self.drained_at = self._world.now
        node = self._world.nodes[LEAVING_AGENT]
        if node.alive:
            self.drained_life = node.life
        self._world.leaving.add(LEAVING_AGENT)
        self._world.drain(LEAVING_AGENT)

    def _replace_leaving(self) -> None:
        """A new VM takes the place of the one that left."""
        self.returns_at = self._world.now
        self._world.leaving.discard(LEAVING_AGENT)
        self._world.kill(LEAVING_AGENT, restart_s=0.5)
