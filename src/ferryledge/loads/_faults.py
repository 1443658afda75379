"""What goes wrong while a load is played."""

import functools

from ferryledge import leases
from ferryledge.loads import _patterns
from ferryledge.loads import _world

#: Seconds that a stopping entry has for the jobs that it holds.
_GRACE_S = 2.0
#: Seconds for which an endpoint is down, and then up, that flaps.
_FLAP_S = 0.7
#: Seconds that a process takes to start.
_BOOT_S = 0.4


class FaultInjector:
    """Injects faults into a world.

    :param world: the world
    """

    def __init__(self, world: _world.World) -> None:
        self._world = world
        #: Entries that are stopping: clients go to others.
        self.closing: set[str] = set()

    def inject(self, fault: _patterns.Fault) -> None:
        """Let a fault happen now."""
        what = _patterns.FaultKind
        match fault.what:
            case what.ENDPOINTS_DOWN | what.ENDPOINTS_LEAVE:
                self._hit_endpoints(fault)
            case what.ENDPOINTS_FLAP:
                self._flap(fault)
            case what.ENDPOINTS_FAIL:
                self._fail(fault)
            case what.ENTRIES_DOWN | what.ENTRIES_STOP:
                self._hit_entries(fault)
            case what.ANSWERS_LOST:
                self._world.late_orders = fault.share
                self._world.at(fault.for_s, self._end_loss)
            case what.POWER:
                self._cut_power(fault.for_s)

    def _hit_endpoints(self, fault: _patterns.Fault) -> None:
        world = self._world
        for agent in world.agents[: fault.count]:
            if fault.what is _patterns.FaultKind.ENDPOINTS_DOWN:
                world.crash_endpoint(agent, fault.for_s)
            else:
                world.endpoints[agent].draining = True
                world.heartbeat(agent)

    def _flap(self, fault: _patterns.Fault) -> None:
        world = self._world
        for number, agent in enumerate(world.agents[: fault.count]):
            apart_s = number * _FLAP_S / fault.count
            for turn in range(int(fault.for_s / (2.0 * _FLAP_S))):
                crash = functools.partial(world.crash_endpoint, agent, _FLAP_S)
                world.at(apart_s + turn * 2.0 * _FLAP_S, crash)

    def _fail(self, fault: _patterns.Fault) -> None:
        world = self._world
        names = {
            world.endpoints[agent].name
            for agent in world.agents[: fault.count]
        }
        world.failing |= names
        heal = functools.partial(world.failing.difference_update, names)
        world.at(fault.for_s, heal)

    def _hit_entries(self, fault: _patterns.Fault) -> None:
        world = self._world
        for number, entry in enumerate(world.entries[: fault.count]):
            if fault.what is _patterns.FaultKind.ENTRIES_DOWN:
                world.kill(entry, fault.for_s)
            else:
                stop = functools.partial(self._drain, entry)
                world.at(number * fault.for_s, stop)

    def _drain(self, entry: str) -> None:
        """Stop an entry as planned."""
        world = self._world
        self.closing.add(entry)
        world.post(entry, leases.EntryDrain(world.now + _GRACE_S))
        world.at(_GRACE_S, functools.partial(self._stop, entry))

    def _stop(self, entry: str) -> None:
        self._world.post(entry, leases.EntryStop())
        self._world.kill(entry, _BOOT_S)
        reopen = functools.partial(self.closing.discard, entry)
        self._world.at(_BOOT_S, reopen)

    def _end_loss(self) -> None:
        self._world.late_orders = 0.0

    def _cut_power(self, for_s: float) -> None:
        world = self._world
        for agent in world.agents:
            world.crash_endpoint(agent, for_s)
        for name in world.entries + world.agents:
            world.kill(name, for_s + _BOOT_S)
