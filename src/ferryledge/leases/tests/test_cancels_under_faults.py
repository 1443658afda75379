"""Acknowledged cancels stay in force whatever fails beside them."""

import random
import sys

import pytest

from ferryledge import leases
from ferryledge.leases.tests import registering
from ferryledge import wire

JOB = registering.JOB
TASKS = 3
#: Work of each of the job's three steps, in seconds.
WORK_S = 2.0
#: Seconds from an acknowledgement until nothing of the job may start or run.
CANCEL_S = 3.0
#: Seconds after which a client submits the job again that got no answer.
REPEAT_S = 1.3
DEADLINE_S = 20.0
#: What may fail.
KINDS = ("pause", "kill", "agent", "cut", "isolate", "break", "silence")
ONE_WAY_KINDS = (*KINDS[:5], "cut_inbound", "cut_outbound", *KINDS[5:])
ACKNOWLEDGED = (leases.QueryResult.FOUND, leases.QueryResult.ABSENT)


class _Play:
    """A job, its cancel at any entry, and faults at random times."""

    def __init__(self, seed: int, kinds: tuple[str, ...] = KINDS) -> None:
        self.kinds = kinds
        self.rng = random.Random(seed)
        entries = self.rng.choice((2, 3, 4, 5, 6, 8, 10))
        self.world = registering.make_world(seed, entries)
        self.log: list[str] = []

    def run(self) -> None:
        """Play until all is over."""
        world = self.world
        rng = self.rng
        first = rng.choice(world.entries)
        self._submit(first, DEADLINE_S)
        for _ in range(rng.randint(0, 3)):
            world.at(rng.uniform(0.0, 4.0), self._strike)
        if rng.random() < 0.3:
            again = rng.choice(world.entries)
            deadline_s = DEADLINE_S - REPEAT_S
            world.at(REPEAT_S, lambda: self._submit(again, deadline_s))
        world.run(rng.uniform(0.3, 3.0))
        until = world.now + 6.0
        while world.now < until:
            entry = rng.choice(world.entries)
            token = world.cancel(entry, JOB)
            self._note(f"cancel at {entry}")
            world.run(1.6)
            result = world.results.get(token)
            self._note(f"result {result}")
            if result in ACKNOWLEDGED:
                break
        else:
            return
        acked_at = world.answered_at[token]
        repeated = rng.choice(world.entries)
        if rng.random() < 0.5:
            self._submit(repeated, DEADLINE_S - 5.0)
        world.run(max(0.0, acked_at + CANCEL_S - world.now))
        started = world.started[JOB]
        for _ in range(25):
            world.run(0.2)
            assert not self._alive(), self.log
        assert world.started[JOB] == started, self.log

    def _submit(self, entry: str, deadline_s: float) -> None:
        need = wire.Resources(1000, 100, 0)
        steps = (
            leases.JobStep(TASKS, need, WORK_S),
            leases.JobStep(1, need, WORK_S, depends_on=(0,)),
            leases.JobStep(1, need, WORK_S, depends_on=(1,)),
        )
        self._note(f"submission at {entry}")
        self.world.submit(
            entry, JOB, work_s=WORK_S, deadline_s=deadline_s, steps=steps
        )

    def _alive(self) -> list[object]:
        return [
            task
            for task, alive in self.world.alive_runs.items()
            if task[0] == JOB and alive
        ]

    def _note(self, text: str) -> None:
        self.log.append(f"{self.world.now:.3f} {text}")

    def _strike(self) -> None:
        """Let something fail."""
        world = self.world
        rng = self.rng
        name = rng.choice(world.entries)
        other = rng.choice(world.entries + world.agents)
        for_s = rng.choice((0.2, 0.7, 1.3, 2.0, 4.0, 7.0))
        kind = rng.choice(self.kinds)
        self._note(f"{kind} {name} {other} {for_s}")
        match kind:
            case "pause":
                world.pause(name, for_s)
            case "kill":
                world.kill(name, for_s)
            case "agent":
                world.kill(rng.choice(world.agents), for_s)
            case _:
                self._strike_network(kind, name, other, for_s)

    def _strike_network(
        self, kind: str, name: str, other: str, for_s: float
    ) -> None:
        """Let a stream fail, or those of an entry."""
        world = self.world
        peers = [peer for peer in world.entries if peer != name]
        match kind:
            case "isolate":
                for peer in peers + world.agents:
                    world.cut(name, peer, for_s)
            case "cut_inbound":
                for peer in peers:
                    world.cut(peer, name, for_s, both=False)
            case "cut_outbound":
                for peer in peers:
                    world.cut(name, peer, for_s, both=False)
            case "cut" if name != other:
                world.cut(name, other, for_s)
            case "break" if name != other:
                world.break_stream(name, other)
            case "silence":
                world.silence_stream(*world._key(name, other))


@pytest.mark.parametrize("seed", [*range(1, 41), 154])
def test_acknowledged_cancel_stays_in_force(seed: int) -> None:
    """Guards against an acknowledgement that is not true."""
    _Play(seed).run()


@pytest.mark.parametrize("seed", [*range(2000, 2020), 2219, 2231, 2587, 2596])
def test_acknowledged_cancel_stays_in_force_beside_one_way_cuts(
    seed: int,
) -> None:
    """Guards against entries that hear nothing, or are heard by none."""
    _Play(seed, ONE_WAY_KINDS).run()


if __name__ == "__main__":
    failed = 0
    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        try:
            _Play(number, ONE_WAY_KINDS if sys.argv[3:] else KINDS).run()
        except AssertionError as exc:
            failed += 1
            print(number, exc, flush=True)
    print(f"{failed} failed", flush=True)
