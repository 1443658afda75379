"""Plays a load in the virtual world."""

import functools
import math
import random
import string

from ferryledge import leases
from ferryledge.loads import _faults
from ferryledge.loads import _jobs
from ferryledge.loads import _outcomes
from ferryledge.loads import _patterns
from ferryledge.loads import _world
from ferryledge import outcomes

#: Seconds before the load, in which processes find each other.
_SETTLE_S = 3.0
#: Seconds after it, in which the last jobs end.
_REST_S = 7.0
#: Seconds after which a client repeats a job whose entry was lost.
_REPEAT_S = 1.3
#: Runs of a task that may end as failed before its job fails.
_ATTEMPTS = 2
#: Seconds between looks at how many cores are at work.
_LOOK_S = 0.02
_BITS = 8.0
_MEGA = 1e6


def pool_cores(load: _patterns.Load) -> float:
    """Return the cores of a load's whole pool."""
    return load.agents * _world.ROOM.cpu_millis / 1000.0


def play(
    load: _patterns.Load, seed: int, rules: leases.EntryRules | None = None
) -> _outcomes.Results:
    """Return what becomes of a load's jobs.

    :param load: the load
    :param seed: of all randomness
    :param rules: those that entries decide by; none is all
    """
    return _Player(load, seed, rules).play()


class _Player:
    def __init__(
        self, load: _patterns.Load, seed: int, rules: leases.EntryRules | None
    ) -> None:
        self._load = load
        rate = load.link_mbps * _MEGA / _BITS or math.inf
        self._world = _world.World(
            seed, len(load.entries), load.agents, rate, True, rules
        )
        self._jobs = _jobs.draw(load, seed, pool_cores(load))
        #: The tokens of each job's tries.
        self._tries: dict[str, list[int]] = {}
        #: The entry of each job's last try, with the life it had then.
        self._entry_of: dict[str, tuple[str, int]] = {}
        self._faults = _faults.FaultInjector(self._world)
        letters = random.Random(seed).choices(
            string.ascii_lowercase[:16], k=load.spec_bytes
        )
        self._spec = "".join(letters)
        self._looks: list[float] = []
        #: Jobs of tries whose clients come back if they are refused.
        self._returning: dict[int, _jobs.Job] = {}
        #: Tries that were refused and are followed by another.
        self._refused: set[int] = set()
        self._world.on_answer = self._come_back
        self._began_at = 0.0

    def play(self) -> _outcomes.Results:
        world = self._world
        world.run(_SETTLE_S)
        self._began_at = world.now
        for job in self._jobs:
            world.at(job.at, functools.partial(self._send, job))
        for fault in self._load.faults:
            world.at(fault.at, functools.partial(self._faults.inject, fault))
        self._look()
        world.run(self._load.seconds + _REST_S)
        return _outcomes.Results(
            tuple(self._end_of(job) for job in self._jobs),
            sum(self._looks) / len(self._looks),
            tuple(world.violations),
        )

    # Clients.

    def _send(self, job: _jobs.Job) -> None:
        """Hand a job to an entry that takes it, if there is one."""
        world = self._world
        taking = [
            (name, share)
            for name, share in zip(
                world.entries, self._load.entries, strict=True
            )
            if world.nodes[name].alive and name not in self._faults.closing
        ]
        if taking:
            name = _pick(taking, job.pick)
            self._submit(job, name)
        world.at(_REPEAT_S, functools.partial(self._repeat, job))

    def _submit(self, job: _jobs.Job, name: str) -> None:
        world = self._world
        passed_s = world.now - self._began_at - job.at
        job_class = leases.JobClass(
            job.kind.name,
            "desk",
            job.kind.priority,
            _ATTEMPTS,
            job.kind.stretch,
            job.kind.target_s,
            job.kind.late_factor,
        )
        token = world.submit(
            name,
            job.name,
            job.tasks,
            job.work_s,
            job.kind.cpu_millis,
            job.deadline_s - passed_s,
            estimate_s=job.guess_s,
            job_class=job_class,
            spec=self._spec,
        )
        tries = self._tries.setdefault(job.name, [])
        tries.append(token)
        if len(tries) <= job.kind.returns:
            self._returning[token] = job
        self._entry_of[job.name] = (name, world.nodes[name].life)

    def _come_back(self, token: int, outcome: outcomes.JobOutcome) -> None:
        """Send a refused job again when its client was told to."""
        job = self._returning.pop(token, None)
        if job is None or not isinstance(outcome, outcomes.Refused):
            return
        delay_s = max(1.0, round(outcome.retry_after_s))
        back_at = self._world.now - self._began_at + delay_s
        if back_at + job.objective_s < job.at + job.deadline_s:
            self._refused.add(token)
            again = functools.partial(self._send, job)
            self._world.at(delay_s, again)

    def _repeat(self, job: _jobs.Job) -> None:
        """Send a job again whose entry is gone without an answer."""
        world = self._world
        if self._answer_to(job) is not None:
            return
        if world.now - self._began_at > job.at + job.deadline_s - _REPEAT_S:
            return
        if self._is_held(job):
            world.at(_REPEAT_S, functools.partial(self._repeat, job))
        else:
            self._send(job)

    def _is_held(self, job: _jobs.Job) -> bool:
        """Return whether the entry of a job's last try still runs."""
        if job.name not in self._entry_of:
            return False
        name, life = self._entry_of[job.name]
        node = self._world.nodes[name]
        return node.alive and node.life == life

    def _answer_to(self, job: _jobs.Job) -> int | None:
        """Return the token of the try that was answered."""
        for token in self._tries.get(job.name, ()):
            is_over = token not in self._refused
            if is_over and self._world.outcome(token) is not None:
                return token
        return None

    def _end_of(self, job: _jobs.Job) -> _outcomes.Ended:
        end = _outcomes.JobEnd
        token = self._answer_to(job)
        if token is None:
            return _outcomes.Ended(job, end.FAILED)
        took_s = self._world.answered_at[token] - self._began_at - job.at
        match self._world.outcome(token):
            case outcomes.Complete():
                in_time = took_s <= job.objective_s
                how = end.IN_TIME if in_time else end.LATE
                return _outcomes.Ended(job, how, took_s)
            case outcomes.Refused():
                return _outcomes.Ended(job, end.REFUSED, took_s)
        return _outcomes.Ended(job, end.FAILED, took_s)

    # Cores.

    def _look(self) -> None:
        """Note how many cores are at work, while the load lasts."""
        world = self._world
        taking = [
            one
            for one in world.endpoints.values()
            if one.up and not one.draining
        ]
        used = sum(one.used.cpu_millis for one in taking)
        whole = sum(one.capacity.cpu_millis for one in taking)
        if whole:
            self._looks.append(used / whole)
        if world.now - self._began_at < self._load.seconds:
            world.at(_LOOK_S, self._look)


def _pick(weighed: list[tuple[str, float]], pick: float) -> str:
    """Return one of some names by its weight and a pick from 0 to 1."""
    left = pick * sum(weight for _, weight in weighed)
    for name, weight in weighed:
        left -= weight
        if left <= 0.0:
            return name
    return weighed[-1][0]
