"""Reports to agents how urgently an entry waits for room."""

from collections import abc
import dataclasses

from ferryledge.leases import _own_link
from ferryledge.leases import _pool
from ferryledge import wire

#: Least seconds between two rounds of reports; placements in between share a
#: report.
_MIN_INTERVAL_S = 0.006
#: Most reports in a second, to bound the processor time that they take.
_MAX_REPORTS_PER_S = 1000.0
#: Largest share of the network link that reports may use.
_MAX_LINK_SHARE = 0.1
#: Changes of the latest start below this are not reported, in seconds.
_MIN_CHANGE_S = 0.01


@dataclasses.dataclass(slots=True)
class Wanting:
    """The last reports to agents, and when the next ones are due."""

    #: The network link of this entry.
    link: _own_link.OwnLink = dataclasses.field(
        default_factory=_own_link.OwnLink
    )
    #: The last reported turn of the first waiting job; none if none waited.
    told_by: float | None = None
    told_at: float = float("-inf")
    #: The number of agents that the last report went to.
    told: int = 0

    def due_at(self, turn_at: float | None) -> float:
        """Return when the next report is due; infinite if nothing changed.

        :param turn_at: the turn of the first waiting job; none if none waits
        """
        if turn_at is None or self.told_by is None:
            is_same = turn_at is self.told_by
        else:
            is_same = abs(turn_at - self.told_by) < _MIN_CHANGE_S
        # On a narrow link, reports must not delay orders.
        size = self.told * _own_link.PACKET_BYTES
        link_s = size / (_MAX_LINK_SHARE * self.link.bytes_per_s)
        interval_s = max(
            _MIN_INTERVAL_S, self.told / _MAX_REPORTS_PER_S, link_s
        )
        return float("inf") if is_same else self.told_at + interval_s

    def make_reports(
        self, now: float, turn_at: float | None, pool: _pool.Pool
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.RoomWanted]]:
        """Yield the agents to report to, with the reports."""
        self.told_by = turn_at
        self.told_at = now
        self.told = 0
        start_by_s = None if turn_at is None else turn_at - now
        for row in pool:
            if row.connected and row.reconciled and row.state.home:
                self.told += 1
                yield row, wire.RoomWanted(start_by_s)
