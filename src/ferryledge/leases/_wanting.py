"""Tells agents how urgently an entry waits for room."""

from collections import abc
import dataclasses

from ferryledge.leases import _own_link
from ferryledge.leases import _pool
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
class Wanting:
    """What agents were told last."""

    #: The entry's own.
    link: _own_link.OwnLink = dataclasses.field(
        default_factory=_own_link.OwnLink
    )
    told_by: float | None = None
    told_at: float = float("-inf")
    #: How many agents were told then.
    told: int = 0

    def due_at(self, turn_at: float | None) -> float:
        """Return when agents are to be told; never is infinite."""
        if turn_at is None or self.told_by is None:
            same = turn_at is self.told_by
        else:
            same = abs(turn_at - self.told_by) < _GRAIN_S
        # Words took a fifth of a link of 2 Mbit/s that orders waited for.
        size = self.told * _own_link.PACKET_BYTES
        link_s = size / (_LINK_SHARE * self.link.bytes_per_s)
        every_s = max(_EVERY_S, self.told / _WORDS_PER_S, link_s)
        return float("inf") if same else self.told_at + every_s

    def tell(
        self, now: float, turn_at: float | None, pool: _pool.Pool
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.RoomWanted]]:
        """Yield each agent to tell, and what."""
        self.told_by = turn_at
        self.told_at = now
        self.told = 0
        start_by_s = None if turn_at is None else turn_at - now
        for row in pool:
            if row.connected and row.reconciled and row.state.home:
                self.told += 1
                yield row, wire.RoomWanted(start_by_s)
