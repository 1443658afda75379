"""Failure rates and outages of an endpoint, as its agent observes them.

An endpoint may fail the runs of all callers or only of those in one
availability zone, and it may go down and come back repeatedly. The agent sees
the ends of the runs of all entries. It reports what it observes with the state
of the endpoint, so that entries need not find out by losing runs of their own.
The observations are kept in memory only, and expire.
"""

from collections import abc
import math

import msgspec

from ferryledge import health
from ferryledge import wire

#: Failure rates from which reports for a zone begin and below which they end;
#: the gap between them (hysteresis) keeps reports from flapping.
_REPORT_FROM = 0.3
_REPORT_UNTIL = 0.15
#: Seconds after the last end of a run after which a zone's rate expires.
_EXPIRES_S = 10.0
#: Least seconds between two reports that differ only in their numbers.
_REPORT_INTERVAL_S = 0.2
#: Seconds for which an outage is remembered; planned restarts of an endpoint
#: are further apart.
_OUTAGE_KEPT_S = 20.0
#: Shortest outage in seconds, unless the endpoint was restarted. A broken
#: connection is replaced faster than that.
_MIN_OUTAGE_S = 0.1
#: Seconds without an outage after which an endpoint is used fully again after
#: its second outage; they double with each further outage.
_FIRST_HOLD_S = 0.5
_MAX_HOLD_S = 4.0
#: Steps in which the usable share of an endpoint rises after an outage.
_STEPS = 4
_NEVER = float("inf")


class _ZoneRow(msgspec.Struct):
    """The failure rate for the callers of one zone."""

    failure_rate: health.FailureRate = msgspec.field(
        default_factory=health.FailureRate
    )
    ended_at: float = 0.0
    is_reported: bool = False


class ZoneFailureRates:
    """The failure rates of an endpoint by the availability zone of callers."""

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneRow] = {}
        #: Failures before the last reset; the reported count includes them.
        self._failures_before = 0
        self._reported: tuple[wire.ZoneFailures, ...] = ()
        self._reported_at = float("-inf")

    def note_end(self, now: float, zone: str, job: str, ok: bool) -> None:
        """Record the end of a run, or that it could not be started.

        :param now: monotonic seconds
        :param zone: the zone of the entry that ordered the run
        :param job: the name of its job
        :param ok: whether the run succeeded
        """
        row = self._zones.setdefault(zone, _ZoneRow())
        row.failure_rate.add(job, 1.0, ok, health.DECAY)
        row.ended_at = now
        if row.failure_rate.rate >= _REPORT_FROM:
            row.is_reported = True
        elif row.failure_rate.rate < _REPORT_UNTIL:
            row.is_reported = False

    def forget(self) -> None:
        """Reset all rates, after a restart of the endpoint."""
        self._failures_before += sum(
            row.failure_rate.failures for row in self._zones.values()
        )
        self._zones.clear()

    def zone_failures(self, now: float) -> tuple[wire.ZoneFailures, ...]:
        """Return the failures to report to entries.

        The same object is returned as long as the report does not change.
        """
        for zone in [
            zone
            for zone, row in self._zones.items()
            if now - row.ended_at > _EXPIRES_S
        ]:
            self._failures_before += self._zones.pop(
                zone
            ).failure_rate.failures
        failing = tuple(self._failing())
        is_same = [failures.zone for failures in failing] == [
            failures.zone for failures in self._reported
        ]
        if is_same and now - self._reported_at < _REPORT_INTERVAL_S:
            return self._reported
        if failing != self._reported:
            self._reported = failing
            self._reported_at = now
        return self._reported

    def _failing(self) -> abc.Iterator[wire.ZoneFailures]:
        rows = sorted(self._zones.items())
        for zone, row in rows:
            if row.is_reported:
                yield self._summarize(zone, [row])
        if len(rows) > 1 and all(row.is_reported for _, row in rows):
            yield self._summarize("", [row for _, row in rows])

    def _summarize(self, zone: str, rows: list[_ZoneRow]) -> wire.ZoneFailures:
        rate = min(row.failure_rate.rate for row in rows)
        failures = sum(row.failure_rate.failures for row in rows)
        # Rounded, since each change is sent to every entry.
        return wire.ZoneFailures(
            zone, round(rate, 1), self._failures_before + failures
        )


def failures_for_zone(
    zone_failures: abc.Iterable[wire.ZoneFailures], zone: str
) -> wire.ZoneFailures:
    """Return the failures of an endpoint for the callers of a zone.

    Failures for callers of other zones do not count, unless the endpoint fails
    the callers of all known zones, and there are several.

    :param zone_failures: the failures that its agent reports
    :param zone: the zone of the callers
    """
    by_zone = {failures.zone: failures for failures in zone_failures}
    no_failures = wire.ZoneFailures(zone, 0.0, 0)
    return by_zone.get(zone) or by_zone.get("") or no_failures


class Outages:
    """The recent outages of an endpoint, and how much of it may be used."""

    def __init__(self) -> None:
        self._back_at: list[float] = []
        #: When it went down without notice; none while it is up.
        self._down_at: float | None = None
        self._restarted = False

    def note_down(self, now: float, restarted: bool = False) -> None:
        """Record that the endpoint stopped answering without notice.

        :param now: monotonic seconds
        :param restarted: whether it is known to have been restarted
        """
        if self._down_at is None:
            self._down_at = now
        self._restarted |= restarted

    def note_up(self, now: float) -> float | None:
        """Record that the endpoint answers.

        :return: the length of the outage in seconds, or ``None`` if it was up
            or the interruption was too short
        """
        if self._down_at is None:
            return None
        away_s = now - self._down_at
        is_outage = self._restarted or away_s >= _MIN_OUTAGE_S
        self._down_at = None
        self._restarted = False
        if not is_outage:
            return None
        oldest = now - _OUTAGE_KEPT_S
        self._back_at = [at for at in self._back_at if at > oldest]
        self._back_at.append(now)
        return away_s

    @property
    def _hold_s(self) -> float:
        repeated = len(self._back_at) - 2
        if repeated < 0:
            return 0.0
        return min(_MAX_HOLD_S, _FIRST_HOLD_S * 2.0**repeated)

    def steady(self, now: float) -> float:
        """Return the share of the endpoint's capacity that may be used.

        It rises in steps with the time since the last outage. After a single
        outage it is 1, since many endpoints may come back from a power loss.
        """
        if not self._hold_s:
            return 1.0
        held_share = (now - self._back_at[-1]) / self._hold_s
        return min(1.0, math.floor(held_share * _STEPS) / _STEPS)

    def due_at(self, now: float) -> float:
        """Return when the usable share rises next, in monotonic seconds."""
        steady = self.steady(now)
        if steady >= 1.0:
            return _NEVER
        step_s = self._hold_s / _STEPS
        return self._back_at[-1] + (steady * _STEPS + 1) * step_s
