"""Carries out the faults that hit many processes or streams at once."""

import asyncio
from collections import abc
import random
import signal
import typing

from ferryledge.soak import _deployment
from ferryledge.soak import _plan
from ferryledge.soak import _processes

#: Shortest and longest pause of a stuttering process, in seconds.
_PAUSE_S = (0.02, 0.7)
#: Shortest and longest time between two pauses, in seconds.
_BETWEEN_S = (0.02, 0.4)
#: Longest time between the end of an agent and the start of its successor,
#: in seconds. The successor takes a third of a second until it renews, and
#: finds runs active until 0.65 s after the last renewal.
_DOWN_S = 0.3
#: Share of the processes, streams or endpoints that some faults hit.
_HALF = 0.5

_T = typing.TypeVar("_T")


class WideStrikes:
    """Carries out faults that hit many processes or streams at once.

    :param deployment: what they strike
    """

    def __init__(self, deployment: _deployment.Deployment) -> None:
        self._deployment = deployment

    async def strike(self, fault: _plan.Fault) -> None:
        """Carry out a fault; returns when it is over."""
        rng = random.Random(fault.pick)
        programs = self._deployment.programs
        match fault.kind:
            case _plan.WideKind.KILL_AGENTS:
                _kill(self._deployment.agents)
            case _plan.WideKind.KILL_HALF:
                _kill(_half(rng, programs))
            case _plan.WideKind.STUTTER:
                await _stutter(rng, programs, fault.for_s)
            case _plan.WideKind.QUICK_RESTART:
                await self._restart_quickly(rng, fault.for_s)
            case _plan.WideKind.STOPS_IGNORED:
                await self._ignore_stops(rng, fault.for_s)
            case _plan.WideKind.STOPS_IGNORED_CUT:
                await self._ignore_stops(rng, fault.for_s, cut=True)
            case _:
                self._strike_streams(rng, fault)

    def _strike_streams(self, rng: random.Random, fault: _plan.Fault) -> None:
        match fault.kind:
            case _plan.WideKind.RESET_ALL:
                for proxy in self._deployment.proxies:
                    proxy.reset()
            case _plan.WideKind.RESET_HALF:
                for proxy in self._deployment.proxies:
                    proxy.reset_some(rng, _HALF)
            case _plan.WideKind.SILENCE_ALL:
                self._silence()

    def _silence(self) -> None:
        """Let nothing pass on any open connection; new ones work."""
        for proxy in self._deployment.proxies:
            proxy.silence()
        for endpoint in self._deployment.endpoints:
            endpoint.silence()

    async def _ignore_stops(
        self, rng: random.Random, for_s: float, cut: bool = False
    ) -> None:
        """Let half of the endpoints carry out no stops for a while.

        :param rng: selects the endpoints and the entry
        :param for_s: for how long, in seconds
        :param cut: whether one entry also loses the streams of their agents
        """
        deployment = self._deployment
        numbers = _half(rng, range(len(deployment.endpoints)))
        proxy = rng.choice(deployment.proxies)
        for number in numbers:
            deployment.endpoints[number].ignores_stops = True
            if cut:
                proxy.cut_off(deployment.agents[number].name)
        await asyncio.sleep(for_s)
        for number in numbers:
            deployment.endpoints[number].ignores_stops = False
            if cut:
                proxy.restore(deployment.agents[number].name)

    async def _restart_quickly(self, rng: random.Random, for_s: float) -> None:
        """Restart an agent at once while one entry can't reach it."""
        program = rng.choice(self._deployment.agents)
        proxy = rng.choice(self._deployment.proxies)
        proxy.cut_off(program.name)
        await program.restart(rng.uniform(0.0, _DOWN_S))
        await asyncio.sleep(for_s)
        proxy.restore(program.name)


def _half(rng: random.Random, things: abc.Sequence[_T]) -> list[_T]:
    """Return a random half, at least one."""
    return rng.sample(things, max(1, int(len(things) * _HALF)))


def _kill(programs: abc.Iterable[_processes.Program]) -> None:
    for program in programs:
        program.signal(signal.SIGKILL)


async def _stutter(
    rng: random.Random,
    programs: abc.Sequence[_processes.Program],
    for_s: float,
) -> None:
    """Pause half of the processes again and again, each on its own."""
    async with asyncio.TaskGroup() as group:
        for program in _half(rng, programs):
            own = random.Random(rng.random())
            group.create_task(_stutter_one(own, program, for_s))


async def _stutter_one(
    rng: random.Random, program: _processes.Program, for_s: float
) -> None:
    left_s = for_s
    while left_s > 0:
        pause_s = rng.uniform(*_PAUSE_S)
        between_s = rng.uniform(*_BETWEEN_S)
        left_s -= pause_s + between_s
        await program.pause(pause_s)
        await asyncio.sleep(between_s)
