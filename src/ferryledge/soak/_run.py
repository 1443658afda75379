"""Plays a plan against the real programs."""

import asyncio
from collections import abc
import dataclasses
import logging
import pathlib
import tempfile

from ferryledge import leases
from ferryledge import net
from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _clients
from ferryledge.soak import _deployment
from ferryledge.soak import _judge
from ferryledge.soak import _operators
from ferryledge.soak import _plan
from ferryledge.soak import _strikes
from ferryledge.soak import _workload
from ferryledge import standin
from ferryledge import wire

#: Seconds from its start until a deadly task takes its endpoint down, and
#: until that is back.
_CRASH_AFTER_S = 0.05
_CRASH_DOWN_S = 1.0
_WARM_UP_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a soak showed."""

    seed: int
    jobs: int
    succeeded: int
    refused: int
    unknown: int
    #: Runs that went on to their end under the successor of their agent.
    adopted: int
    #: Allowed starts of tasks that were done.
    repeated: int
    findings: tuple[_judge.Finding, ...]
    #: Where the logs and settings are; empty if nothing was found.
    logs: str


class Soak:
    """One soak.

    :param plan: what to play
    :param folder: where settings and logs go
    """

    def __init__(self, plan: _plan.Plan, folder: pathlib.Path) -> None:
        self._plan = plan
        self.judge = _judge.Judge(plan.are_connected)
        self._workload = _workload.Workload()
        self._deployment = _deployment.Deployment(
            plan, folder, self._workload, self._watch, self._on_notice
        )
        self._clients = _clients.Clients(
            plan, self._workload, self.judge, self._now
        )
        self._operators = _operators.Operators(
            self._deployment.store, self.judge, self._now
        )
        self._strikes = _strikes.Strikes(
            plan,
            self._deployment,
            self._workload,
            self._clients,
            self._operators,
            self.judge,
            self._now,
        )
        self._started_at = 0.0

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _watch(self, what: str, key: leases.RunKey, endpoint: str) -> None:
        """Tell the judge of the start or end of a run."""
        self.judge.now = self._now()
        self.judge.watch(what, key, endpoint)
        number = int(endpoint.split("-")[1])
        if what == "start":
            self._on_start(key, number)
        else:
            self._on_end(key, number)

    def _on_notice(
        self,
        what: platform_standin.RunNotice,
        key: leases.RunKey,
        endpoint: str,
    ) -> None:
        """Tell the judge what an agent told its endpoint."""
        self.judge.now = self._now()
        self.judge.notice(what, key, endpoint)

    def _on_start(self, key: leases.RunKey, number: int) -> None:
        server = self._deployment.endpoints[number]
        model = server.model
        self.judge.room(model.name, model.used, model.capacity)
        self.judge.drain(model.name, server.draining_for_s)
        cordoned_for_s = self._strikes.cordoned_for_s(number)
        self.judge.cordon(model.name, cordoned_for_s)
        if self.judge.is_deadly(key.job):
            loop = asyncio.get_running_loop()
            loop.call_later(_CRASH_AFTER_S, self._crash, key, model)

    def _on_end(self, key: leases.RunKey, number: int) -> None:
        model = self._deployment.endpoints[number].model
        how = next((end.how for end in model.ended if end.key == key), None)
        if how is None:
            return
        if how is wire.RunOutcome.DONE:
            self.judge.done(key)
        self.judge.ended(key, how)

    def _crash(
        self, key: leases.RunKey, model: standin.LeasedEndpoint
    ) -> None:
        """Let a deadly task take down the endpoint that still runs it."""
        if not model.up or key not in model.runs:
            return
        self._strikes.take_down(model)
        loop = asyncio.get_running_loop()
        loop.call_later(_CRASH_DOWN_S, self._strikes.restart, model)

    async def run(self) -> None:
        """Play the plan; the programs are ended in any case."""
        recovered = False
        in_force = False
        entries = self._deployment.entries
        try:
            async with asyncio.TaskGroup() as group:
                background = [
                    group.create_task(one) for one in await self._set_up()
                ]
                await asyncio.sleep(_WARM_UP_S)
                self._started_at = asyncio.get_running_loop().time()
                clients = [
                    group.create_task(self._clients.submit_many(n))
                    for n in range(self._plan.clients)
                ]
                strikes = self._strikes.strike_all(group)
                faults = group.create_task(strikes)
                await asyncio.wait([*clients, faults])
                recovered = await self._clients.is_served_again()
                in_force = await self._operators.are_heard(entries)
                for task in background:
                    task.cancel()
        finally:
            for program in self._deployment.programs:
                program.end()
            for proxy in self._deployment.proxies:
                await proxy.close()
        self.judge.close(recovered, in_force)

    async def _set_up(self) -> list[abc.Coroutine[None, None, None]]:
        """Start all programs; return what is to run in the background."""
        deployment = self._deployment
        self._operators.publish()
        for proxy in deployment.proxies:
            await proxy.start()
        running = [self._serve_store(), self._strikes.adoption.watch_machine()]
        running += [endpoint.run() for endpoint in deployment.endpoints]
        for program in deployment.programs:
            program.start()
            running.append(program.keep())
        running += [
            self._operators.watch(number, program)
            for number, program in enumerate(deployment.entries)
        ]
        return running

    async def _serve_store(self) -> None:
        await net.serve_until_cancelled(
            net.asgi_app(self._deployment.store.handle),
            _deployment.STORE_HOST,
            _deployment.STORE_PORT,
        )


def play(plan: _plan.Plan, folder: pathlib.Path | None = None) -> Report:
    """Play a plan and return what it showed.

    :param plan: what to play
    :param folder: where settings and logs go; none is a new one
    """
    if folder is None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="ferryledge-soak-"))
    logging.getLogger("uvicorn.error").disabled = True
    soak = Soak(plan, folder)
    asyncio.run(soak.run())
    judge = soak.judge
    state = platform_standin.ClientState
    return Report(
        plan.seed,
        judge.jobs,
        judge.count(state.SUCCEEDED),
        judge.count(state.REFUSED),
        judge.count(state.UNKNOWN),
        judge.adopted,
        judge.repeated,
        tuple(judge.findings),
        str(folder),
    )
