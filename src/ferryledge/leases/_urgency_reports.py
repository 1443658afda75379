"""Tells agents how urgently an entry waits for room."""

from collections import abc
import dataclasses

from ferryledge.leases import _pool
from ferryledge.leases import _uplink
from ferryledge import wire

#: Seconds between two words to the same agents; several placements of one
#: moment share one.
_EVERY_S = 0.006
#: Words to agents in a second at the most, so that an entry with many homes
#: repeats itself less often: a word costs both sides 0.2 ms together.
_WORDS_PER_S = 1000.0
#: Share of the own link that words may take.
_LINK_SHARE = 0.1
#: A turn that moves by less than this changes nothing.
_GRAIN_S = 0.01


@dataclasses.dataclass(slots=True)
class UrgencyReports:
    """What agents were told last."""

    #: The entry's own.
    link: _uplink.Uplink = dataclasses.field(default_factory=_uplink.Uplink)
    reported_deadline: float | None = None
    reported_at: float = float("-inf")
    #: How many agents were told then.
    reported_agents: int = 0

    def due_at(self, virtual_deadline: float | None) -> float:
        """Return when agents are to be told; never is infinite."""
        if virtual_deadline is None or self.reported_deadline is None:
            same = virtual_deadline is self.reported_deadline
        else:
            same = abs(virtual_deadline - self.reported_deadline) < _GRAIN_S
        # Words took a fifth of a link of 2 Mbit/s that orders waited for.
        size = self.reported_agents * _uplink.PACKET_BYTES
        link_s = size / (_LINK_SHARE * self.link.bytes_per_s)
        every_s = max(_EVERY_S, self.reported_agents / _WORDS_PER_S, link_s)
        return float("inf") if same else self.reported_at + every_s

    def tell(
        self, now: float, virtual_deadline: float | None, pool: _pool.Pool
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.RoomWanted]]:
        """Yield each agent to tell, and what."""
        self.reported_deadline = virtual_deadline
        self.reported_at = now
        self.reported_agents = 0
        start_by_s = (
            None if virtual_deadline is None else virtual_deadline - now
        )
        for row in pool:
            if row.connected and row.reconciled and row.state.is_primary:
                self.reported_agents += 1
                yield row, wire.RoomWanted(start_by_s)
