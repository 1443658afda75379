"""Reports to agents how urgently an entry waits for free capacity."""

from collections import abc
import dataclasses

from ferryledge.leases import _pool
from ferryledge.leases import _uplink
from ferryledge import wire

#: Least seconds between two rounds of reports; placements in between share a
#: report.
_MIN_INTERVAL_S = 0.006
#: Most reports in a second, to bound the processor time that they take: 0.2 ms
#: each on both sides together. An entry with many agents reports less often.
_MAX_REPORTS_PER_S = 1000.0
#: Largest share of the network link that reports may use.
_MAX_LINK_SHARE = 0.1
#: Changes of the virtual deadline below this are not reported, in seconds.
_MIN_CHANGE_S = 0.01


@dataclasses.dataclass(slots=True)
class UrgencyReports:
    """The last reports to agents, and when the next ones are due."""

    #: The network link of this entry.
    link: _uplink.Uplink = dataclasses.field(default_factory=_uplink.Uplink)
    #: The last reported virtual deadline; none if no job waited.
    reported_deadline: float | None = None
    reported_at: float = float("-inf")
    #: The number of agents that the last report went to.
    reported_agents: int = 0

    def due_at(self, virtual_deadline: float | None) -> float:
        """Return when the next report is due; infinite if nothing changed.

        :param virtual_deadline: that of the most urgent waiting job; none if
            no job waits
        """
        if virtual_deadline is None or self.reported_deadline is None:
            is_same = virtual_deadline is self.reported_deadline
        else:
            is_same = (
                abs(virtual_deadline - self.reported_deadline) < _MIN_CHANGE_S
            )
        # On a narrow link, reports must not delay orders. Without a bound they
        # take a fifth of a link of 2 Mbit/s.
        size = self.reported_agents * _uplink.PACKET_BYTES
        link_s = size / (_MAX_LINK_SHARE * self.link.bytes_per_s)
        interval_s = max(
            _MIN_INTERVAL_S, self.reported_agents / _MAX_REPORTS_PER_S, link_s
        )
        return float("inf") if is_same else self.reported_at + interval_s

    def make_reports(
        self, now: float, virtual_deadline: float | None, pool: _pool.Pool
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.UrgencyReport]]:
        """Yield the agents to report to, with the reports.

        :param now: monotonic seconds
        :param virtual_deadline: that of the most urgent waiting job; none if
            no job waits
        :param pool: the agents that this entry knows
        """
        self.reported_deadline = virtual_deadline
        self.reported_at = now
        self.reported_agents = 0
        start_by_s = (
            None if virtual_deadline is None else virtual_deadline - now
        )
        for row in pool:
            if row.connected and row.reconciled and row.state.is_primary:
                self.reported_agents += 1
                yield row, wire.UrgencyReport(start_by_s)
