"""Entries' accounts of what the agent's predecessor heard of the endpoint.

A stored heartbeat may be older than the last one that the predecessor heard.
The predecessor reported each change to its entries at once, so the heartbeat
is used as far as their accounts agree with it.
"""

import msgspec

from ferryledge.leases import _agent_events
from ferryledge import wire


class RecalledReports:
    """The accounts of all entries that have one."""

    def __init__(self) -> None:
        self._by_entry: dict[str, wire.RecalledReport] = {}

    def add(self, entry: str, report: wire.RecalledReport) -> None:
        """Add an entry's account, in place of its former one."""
        self._by_entry[entry] = report

    def corroborate(
        self, heartbeat: _agent_events.EndpointHeartbeat
    ) -> _agent_events.EndpointHeartbeat | None:
        """Return a stored heartbeat as far as entries agree with it.

        Capacity is the least of all accounts, since none of them tells which
        is the latest.

        :return: ``None`` if no account is of the same endpoint
        """
        reports = [
            report
            for report in self._by_entry.values()
            if _describes(report, heartbeat)
        ]
        if not reports:
            return None
        capacity = heartbeat.capacity
        for report in reports:
            capacity = capacity.least(report.capacity)
        draining = any(report.draining for report in reports)
        return msgspec.structs.replace(
            heartbeat,
            capacity=capacity,
            draining=heartbeat.draining or draining,
        )


def _describes(
    report: wire.RecalledReport, heartbeat: _agent_events.EndpointHeartbeat
) -> bool:
    return (report.incarnation, report.service, report.labels) == (
        heartbeat.incarnation,
        heartbeat.service,
        heartbeat.labels,
    )
