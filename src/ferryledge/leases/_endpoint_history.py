"""What the ends of all entries' runs say of one endpoint.

It answers endpoints that fail what they start, for all callers or for those
of one availability zone, and endpoints that go down and come back by turns.
Entries would each find out by jobs of their own; the agent sees the ends of
all, keeps what they say by the zone of the entry that ordered the run, and
tells it with the endpoint's state. What it keeps is soft and expires: an
agent that starts anew knows nothing, and an endpoint without ends is told as
one of which nothing is known.
"""

from collections import abc
import math

import msgspec

from ferryledge import health
from ferryledge import wire

#: Failure rate from which a zone is told of it, and below which it is told
#: no more: in between the last word stands, so that it doesn't waver.
_TELL_FROM = 0.3
_TELL_UNTIL = 0.15
#: Seconds without an end after which a zone's evidence is no longer true.
_EXPIRES_S = 10.0
#: Seconds between two counts that are told: a beat of the streams.
_TELL_EVERY_S = 0.2
#: Seconds for which an outage is remembered. Endpoints that are restarted as
#: planned go down less often than twice in it.
_OUTAGE_KEPT_S = 20.0
#: Seconds that an outage takes at the least, unless the endpoint started anew:
#: a connection that breaks alone is replaced within less.
_SHORTEST_S = 0.1
#: Seconds that an endpoint must hold after its second outage to be used
#: fully; they double with each further one.
_FIRST_HOLD_S = 0.5
_LONGEST_HOLD_S = 4.0
#: Steps in which more of an endpoint that came back is used.
_STEPS = 4
_NEVER = float("inf")


class _ZoneRow(msgspec.Struct):
    seen: health.FailureRate = msgspec.field(
        default_factory=health.FailureRate
    )
    ended_at: float = 0.0
    is_told: bool = False


class ZoneFailureRates:
    """Keeps what ends say, by zones of callers."""

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneRow] = {}
        #: Failures of earlier starts: what is told counts on.
        self._failures_before = 0
        self._told: tuple[wire.ZoneFailures, ...] = ()
        self._told_at = float("-inf")

    def note_end(self, now: float, zone: str, job: str, ok: bool) -> None:
        """Take in the end of a run, or that it could not be started.

        :param now: monotonic seconds
        :param zone: that of the entry that ordered it
        :param job: its job
        :param ok: whether the endpoint did what it was asked
        """
        row = self._zones.setdefault(zone, _ZoneRow())
        row.seen.add(job, 1.0, ok, health.DECAY)
        row.ended_at = now
        if row.seen.rate >= _TELL_FROM:
            row.is_told = True
        elif row.seen.rate < _TELL_UNTIL:
            row.is_told = False

    def forget(self) -> None:
        """Begin anew: the endpoint was started again."""
        self._failures_before += sum(
            row.seen.failures for row in self._zones.values()
        )
        self._zones.clear()

    def zone_failures(self, now: float) -> tuple[wire.ZoneFailures, ...]:
        """Return what entries are to be told.

        The same object stays as long as it does not change.
        """
        for zone in [
            zone
            for zone, row in self._zones.items()
            if now - row.ended_at > _EXPIRES_S
        ]:
            self._failures_before += self._zones.pop(zone).seen.failures
        failing = tuple(self._failing())
        same = [one.zone for one in failing] == [
            one.zone for one in self._told
        ]
        if same and now - self._told_at < _TELL_EVERY_S:
            return self._told
        if failing != self._told:
            self._told = failing
            self._told_at = now
        return self._told

    def _failing(self) -> abc.Iterator[wire.ZoneFailures]:
        rows = sorted(self._zones.items())
        for zone, row in rows:
            if row.is_told:
                yield self._describe(zone, [row])
        if len(rows) > 1 and all(row.is_told for _, row in rows):
            yield self._describe("", [row for _, row in rows])

    def _describe(self, zone: str, rows: list[_ZoneRow]) -> wire.ZoneFailures:
        rate = min(row.seen.rate for row in rows)
        failures = sum(row.seen.failures for row in rows)
        # In whole tenths: each change is a message to every entry.
        return wire.ZoneFailures(
            zone, round(rate, 1), self._failures_before + failures
        )


def failures_for_zone(
    zone_failures: abc.Iterable[wire.ZoneFailures], zone: str
) -> wire.ZoneFailures:
    """Return what is known against an endpoint for callers of a zone.

    Failures for other zones' callers alone say nothing; those for all zones
    that are known, of which there are several, do.
    """
    by_zone = {one.zone: one for one in zone_failures}
    nothing = wire.ZoneFailures(zone, 0.0, 0)
    return by_zone.get(zone) or by_zone.get("") or nothing


class Outages:
    """How far an endpoint is to be used that went down again and again."""

    def __init__(self) -> None:
        self._back_at: list[float] = []
        #: When it went down, unannounced; none while it is up.
        self._down_at: float | None = None
        self._started_anew = False

    def note_down(self, now: float, started_anew: bool = False) -> None:
        """Take in that it does not answer, unannounced.

        :param now: monotonic seconds
        :param started_anew: whether another start of it is known
        """
        if self._down_at is None:
            self._down_at = now
        self._started_anew |= started_anew

    def note_up(self, now: float) -> float | None:
        """Take in that it answers.

        :return: seconds for which it was away, if that was an outage
        """
        if self._down_at is None:
            return None
        away_s = now - self._down_at
        counts = self._started_anew or away_s >= _SHORTEST_S
        self._down_at = None
        self._started_anew = False
        if not counts:
            return None
        oldest = now - _OUTAGE_KEPT_S
        self._back_at = [at for at in self._back_at if at > oldest]
        self._back_at.append(now)
        return away_s

    @property
    def _hold_s(self) -> float:
        again = len(self._back_at) - 2
        if again < 0:
            return 0.0
        return min(_LONGEST_HOLD_S, _FIRST_HOLD_S * 2.0**again)

    def steady(self, now: float) -> float:
        """Return the share of its room that is to be used, in steps.

        It rises with the time for which it holds, and is 1 after a first
        outage: many endpoints come back from a loss of power.
        """
        if not self._hold_s:
            return 1.0
        held = (now - self._back_at[-1]) / self._hold_s
        return min(1.0, math.floor(held * _STEPS) / _STEPS)

    def due_at(self, now: float) -> float:
        """Return when the next step is due, in monotonic seconds."""
        steady = self.steady(now)
        if steady >= 1.0:
            return _NEVER
        step_s = self._hold_s / _STEPS
        return self._back_at[-1] + (steady * _STEPS + 1) * step_s
