"""Operators: they write configurations and look whether these hold."""

import asyncio
from collections import abc

from ferryledge import net
from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _clients
from ferryledge.soak import _judge
from ferryledge.soak import _processes

#: Queues that a large configuration has beside those in use: some 200 kB.
_LARGE_QUEUES = 1200
#: Seconds between the configurations of a storm.
_STORM_GAP_S = 0.33
#: Seconds between two looks at an entry, and for an answer to one.
_LOOK_S = 0.3
_ANSWER_S = 1.0


class Operators:
    """Write configurations, each with one more queue than the one before.

    Which of these queues an entry knows shows which configuration it has in
    force.

    :param store: the platform's
    :param judge: hears what entries have in force
    :param now: tells seconds from the start of the load
    """

    def __init__(
        self,
        store: platform_standin.StoreServer,
        judge: _judge.Judge,
        now: abc.Callable[[], float],
    ) -> None:
        self._store = store
        self._judge = judge
        self._now = now
        self._version = 0

    def publish(self, is_large: bool = False) -> None:
        """Write the next configuration."""
        self._version += 1
        queues = [*_clients.QUEUES]
        queues += [_queue(one + 1) for one in range(self._version)]
        if is_large:
            queues += [f"spare-{n}" for n in range(_LARGE_QUEUES)]
        config = platform_standin.render_config(self._version, queues)
        self._store.put("keyed.op", "config", config)

    async def storm(self, for_s: float) -> None:
        """Write large configurations in quick succession."""
        until = self._now() + for_s
        while self._now() < until:
            self.publish(is_large=True)
            await asyncio.sleep(_STORM_GAP_S)
        self.publish()

    async def watch(self, number: int, program: _processes.Program) -> None:
        """Look for ever at what an entry has in force.

        :param number: the entry's
        :param program: its process
        """
        caller = _clients.entry_caller(number)
        while True:
            await asyncio.sleep(_LOOK_S)
            for version in (self._judge.seen_at(program), self._version):
                await self._look(caller, program, version)

    async def _look(
        self,
        caller: net.HttpClient,
        program: _processes.Program,
        version: int,
    ) -> None:
        life = program.lives
        try:
            response = await caller.call(
                "GET",
                f"/{_queue(version)}/",
                headers=[("host", "desk.example")],
                answer_s=_ANSWER_S,
            )
        except net.CallError:
            return
        if response.status in (200, 404) and program.lives == life:
            self._judge.now = self._now()
            self._judge.config(program, version, response.status == 200)

    async def are_heard(self, programs: list[_processes.Program]) -> bool:
        """Return whether the newest configuration comes into force.

        :param programs: the entries, all of which are to have it
        """
        until = self._now() + _judge.RECOVERY_S
        while self._now() < until:
            behind = [
                one
                for one in programs
                if self._judge.seen_at(one) < self._version
            ]
            if not behind:
                return True
            await asyncio.sleep(_LOOK_S)
        return False


def _queue(version: int) -> str:
    """Return the queue that a configuration was the first to have."""
    return f"since-{version}"
