"""What goes wrong while a load is played."""

import functools

from ferryledge import leases
from ferryledge.loads import _patterns
from ferryledge.loads import _world

#: Seconds that a stopping entry has for the jobs that it holds.
_GRACE_S = 2.0
#: Seconds that a process takes to start.
_BOOT_S = 0.4


class Trouble:
    """Strikes a world.

    :param world: the world
    """

    def __init__(self, world: _world.World) -> None:
        self._world = world
        #: Entries that are stopping: clients go to others.
        self.closing: set[str] = set()

    def strike(self, strike: _patterns.Strike) -> None:
        """Let something go wrong now."""
        what = _patterns.StrikeKind
        match strike.what:
            case what.ENDPOINTS_DOWN | what.ENDPOINTS_LEAVE:
                self._strike_endpoints(strike)
            case what.ENTRIES_DOWN | what.ENTRIES_STOP:
                self._strike_entries(strike)
            case what.ANSWERS_LOST:
                self._world.late_orders = strike.share
                self._world.at(strike.for_s, self._end_loss)
            case what.POWER:
                self._cut_power(strike.for_s)

    def _strike_endpoints(self, strike: _patterns.Strike) -> None:
        world = self._world
        for agent in world.agents[: strike.count]:
            if strike.what is _patterns.StrikeKind.ENDPOINTS_DOWN:
                world.crash_endpoint(agent, strike.for_s)
            else:
                world.endpoints[agent].draining = True
                world.heartbeat(agent)

    def _strike_entries(self, strike: _patterns.Strike) -> None:
        world = self._world
        for number, entry in enumerate(world.entries[: strike.count]):
            if strike.what is _patterns.StrikeKind.ENTRIES_DOWN:
                world.kill(entry, strike.for_s)
            else:
                stop = functools.partial(self._drain, entry)
                world.at(number * strike.for_s, stop)

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
