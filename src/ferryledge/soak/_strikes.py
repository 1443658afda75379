"""Lets the faults of a plan strike."""

import asyncio
from collections import abc
import signal

from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _adoption
from ferryledge.soak import _clients
from ferryledge.soak import _deployment
from ferryledge.soak import _judge
from ferryledge.soak import _operators
from ferryledge.soak import _plan
from ferryledge.soak import _processes
from ferryledge.soak import _wide_strikes
from ferryledge.soak import _workload
from ferryledge import standin

#: Share of a fault's time for which an endpoint that restarts is down.
_RESTART_SHARE = 0.2
#: Seconds for which a flapping endpoint is up, and then down.
_FLAP_S = 0.4


class Strikes:
    """Carries out the faults of a plan, each at its time.

    :param plan: which faults strike, and when
    :param deployment: what they strike
    :param workload: what tasks do at endpoints
    :param clients: those that submit
    :param operators: those that write configurations
    :param judge: hears what may go wrong by them
    :param now: tells seconds from the start of the load
    """

    def __init__(
        self,
        plan: _plan.Plan,
        deployment: _deployment.Deployment,
        workload: _workload.Workload,
        clients: _clients.Clients,
        operators: _operators.Operators,
        judge: _judge.Judge,
        now: abc.Callable[[], float],
    ) -> None:
        self._plan = plan
        self._deployment = deployment
        self._workload = workload
        self._clients = clients
        self._operators = operators
        self._judge = judge
        self._now = now
        self._wide_strikes = _wide_strikes.WideStrikes(deployment)
        self.adoption = _adoption.Adoption(judge)
        #: When each zone that is cordoned was, in seconds of the load.
        self._cordoned_at: dict[str, float] = {}

    def cordoned_for_s(self, number: int) -> float:
        """Return for how long an endpoint's zone has been cordoned."""
        cordoned_at = self._cordoned_at.get(_deployment.zone_of(number))
        return 0.0 if cordoned_at is None else self._now() - cordoned_at

    async def strike_all(self, group: asyncio.TaskGroup) -> None:
        """Let all faults strike; returns when the last one is over."""
        running = []
        for fault in self._plan.faults:
            await asyncio.sleep(max(0.0, fault.at - self._now()))
            running.append(group.create_task(self._strike(fault)))
        if running:
            await asyncio.wait(running)

    async def _strike(self, fault: _plan.Fault) -> None:
        kind = _plan.FaultKind
        match fault.kind:
            case _plan.WideKind():
                await self._wide_strikes.strike(fault)
            case kind.CONFIG:
                self._operators.publish()
            case kind.CONFIG_STORM:
                await self._operators.storm(fault.for_s)
            case kind.CORDON:
                await self._cordon(fault)
            case kind.CROWDED_ENTRY:
                self._clients.crowded = fault.pick % self._plan.entries
                await asyncio.sleep(fault.for_s)
                self._clients.crowded = None
            case kind.DEADLY_JOB:
                self._clients.deadly_next = True
            case _:
                await self._strike_machine(fault)

    async def _strike_machine(self, fault: _plan.Fault) -> None:
        name = fault.kind.value
        if name.startswith("store"):
            await self._strike_store(fault)
        elif name.startswith("endpoint") or name == "late_orders":
            await self._strike_endpoint(fault)
        elif name.endswith(("_entry", "_agent")):
            await self._strike_program(fault)
        else:
            await self._strike_proxy(fault)

    async def _cordon(self, fault: _plan.Fault) -> None:
        """Cordon a zone for longer than the system has to heed it."""
        zone = _deployment.zone_of(fault.pick)
        if zone in self._cordoned_at:
            return
        store = self._deployment.store
        key = platform_standin.cordon_key(zone)
        store.put("keyed.op", key, b"{}")
        self._cordoned_at[zone] = self._now()
        await asyncio.sleep(_judge.CORDON_S + fault.for_s)
        # What may start there again is known to the judge first.
        del self._cordoned_at[zone]
        store.put("keyed.op", key, b"")

    async def _strike_program(self, fault: _plan.Fault) -> None:
        kind, _, role = fault.kind.value.partition("_")
        deployment = self._deployment
        programs = deployment.agents
        if role == "entry":
            programs = deployment.entries
        program = programs[fault.pick % len(programs)]
        lives = program.lives
        match kind:
            case "kill":
                program.signal(signal.SIGKILL)
                await self._watch_successor(fault, program, lives)
            case "stop":
                await program.stop()
                await self._watch_successor(fault, program, lives)
            case "pause":
                await program.pause(fault.for_s)
            case "reload":
                program.signal(signal.SIGHUP)

    async def _watch_successor(
        self, fault: _plan.Fault, program: _processes.Program, lives: int
    ) -> None:
        agents = self._deployment.agents
        if program not in agents:
            return
        if not _adoption.is_quiet(self._plan, fault):
            return
        server = self._deployment.endpoints[agents.index(program)]
        await self.adoption.watch_successor(program, lives, server)

    async def _strike_proxy(self, fault: _plan.Fault) -> None:
        proxies = self._deployment.proxies
        proxy = proxies[fault.pick % len(proxies)]
        match fault.kind:
            case _plan.FaultKind.RESET:
                proxy.reset()
                return
            case _plan.FaultKind.SILENCE:
                for one in proxies:
                    one.silence()
                return
            case _plan.FaultKind.DELAY:
                proxy.weather.delay_s = 0.05
            case _plan.FaultKind.CUT:
                proxy.weather.cut_forth = proxy.weather.cut_back = True
            case _plan.FaultKind.CUT_ONE_WAY:
                proxy.weather.cut_forth = fault.pick % 2 == 0
                proxy.weather.cut_back = not proxy.weather.cut_forth
        await asyncio.sleep(fault.for_s)
        proxy.weather.delay_s = 0.0
        proxy.weather.cut_forth = proxy.weather.cut_back = False

    async def _strike_store(self, fault: _plan.Fault) -> None:
        store = self._deployment.store
        behaviour = fault.kind.value.partition("_")[2]
        store.behaviour = platform_standin.StoreBehaviour(behaviour)
        await asyncio.sleep(fault.for_s)
        store.behaviour = platform_standin.StoreBehaviour.UP

    async def _strike_endpoint(self, fault: _plan.Fault) -> None:
        endpoints = self._deployment.endpoints
        server = endpoints[fault.pick % len(endpoints)]
        model = server.model
        match fault.kind:
            case _plan.FaultKind.ENDPOINT_CRASH:
                await self._be_down(model, fault.for_s)
                return
            case _plan.FaultKind.ENDPOINT_RESTART:
                down_s = fault.for_s * _RESTART_SHARE
                await self._be_down(model, down_s, same_id=True)
                return
            case _plan.FaultKind.ENDPOINT_FLAP:
                await self._flap(model, fault.for_s)
                return
            case _plan.FaultKind.LATE_ORDERS:
                server.late_orders = 0.1
            case _plan.FaultKind.ENDPOINT_SLOW:
                model.speed = 0.2
            case _plan.FaultKind.ENDPOINT_STILL:
                model.speed = 0.0
            case _plan.FaultKind.ENDPOINT_DRAIN:
                model.draining = True
            case _plan.FaultKind.ENDPOINT_FAIL:
                self._workload.failing.add(model.name)
        await asyncio.sleep(fault.for_s)
        server.late_orders = 0.0
        model.speed = 1.0
        model.draining = False
        self._workload.failing.discard(model.name)

    async def _flap(self, model: standin.LeasedEndpoint, for_s: float) -> None:
        """Let an endpoint go down and come up by turns."""
        until = self._now() + for_s
        while self._now() < until:
            await self._be_down(model, _FLAP_S)
            await asyncio.sleep(_FLAP_S)

    async def _be_down(
        self,
        model: standin.LeasedEndpoint,
        for_s: float,
        same_id: bool = False,
    ) -> None:
        if not model.up:
            return
        self.take_down(model)
        await asyncio.sleep(for_s)
        self.restart(model, same_id)

    def take_down(self, model: standin.LeasedEndpoint) -> None:
        """Let an endpoint crash with all that it runs."""
        self._judge.crashed(model.runs)
        model.crash()

    def restart(
        self, model: standin.LeasedEndpoint, same_id: bool = False
    ) -> None:
        """Start an endpoint that is down."""
        if not model.up:
            now = asyncio.get_running_loop().time()
            model.restart(now, same_id=same_id)
