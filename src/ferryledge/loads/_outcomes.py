"""What became of the jobs of a load."""

import collections
from collections import abc
import dataclasses
import enum

from ferryledge.loads import _jobs

#: Seconds of one row of the results over time.
ROW_S = 0.5


class JobEnd(enum.StrEnum):
    """How a job ended for its client."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A job with how it ended."""

    job: _jobs.Job
    end: JobEnd
    #: Seconds from its sending to its answer; none if there was none.
    took_s: float | None = None

    @property
    def is_useful(self) -> bool:
        """Whether its client got an answer while that was of use."""
        if self.took_s is None or self.end not in _ANSWERED:
            return False
        return self.took_s <= self.job.useful_s


_ANSWERED = (JobEnd.IN_TIME, JobEnd.LATE)


@dataclasses.dataclass(frozen=True)
class Results:
    """All jobs of a load."""

    ended: tuple[Ended, ...]
    #: Share of the pool's cores at work while the load lasted.
    at_work: float = 0.0
    #: Promises that were broken.
    violations: tuple[str, ...] = ()

    @property
    def worth(self) -> float:
        """Worth of what was in time, of all that was sent."""
        whole = sum(_worth(one) for one in self.ended)
        good = sum(_worth(one) for one in self._in_time())
        return good / whole if whole else 1.0

    @property
    def wasted(self) -> float:
        """Share of the work of late and failed jobs in that of all begun.

        A job without an answer counts as not begun.
        """
        spent = sum(
            one.job.core_s
            for one in self.ended
            if one.end is not JobEnd.REFUSED and one.took_s is not None
        )
        good = sum(one.job.core_s for one in self._in_time())
        return 1.0 - good / spent if spent else 0.0

    def share(self, end: JobEnd, kind: str = "") -> float:
        """Return the share of a kind's jobs that ended so.

        :param end: how they ended
        :param kind: its name; empty is all kinds
        """
        return _share(self._of(kind), end)

    def useful(self, kind: str = "") -> float:
        """Return the share of a kind's jobs whose answers were of use.

        :param kind: its name; empty is all kinds
        """
        ended = self._of(kind)
        if not ended:
            return 1.0
        return sum(one.is_useful for one in ended) / len(ended)

    def by_kind(self) -> dict[str, float]:
        """Return the share in time of each kind."""
        return {
            name: self.share(JobEnd.IN_TIME, name) for name in self._kinds()
        }

    def by_size(self) -> dict[str, float]:
        """Return the share in time of the largest jobs, and of smaller ones.

        A size counts against those of its own kind.
        """
        groups = collections.defaultdict[str, list[Ended]](list)
        for name in self._kinds():
            ranked = sorted(self._of(name), key=lambda one: -one.job.core_s)
            for place, one in enumerate(ranked):
                groups[_size_of(place / len(ranked))].append(one)
        return {name: _share(groups[name], JobEnd.IN_TIME) for name in _SIZES}

    def by_time(self) -> list[float]:
        """Return the share in time of the jobs of each row of time."""
        rows = collections.defaultdict[int, list[Ended]](list)
        for one in self.ended:
            rows[int(one.job.at / ROW_S)].append(one)
        return [
            _share(rows[number], JobEnd.IN_TIME)
            for number in range(max(rows, default=-1) + 1)
        ]

    def refusal_s(self, share: float = 0.9) -> float:
        """Return the seconds within which that share of refusals came."""
        waits = sorted(
            one.took_s
            for one in self.ended
            if one.end is JobEnd.REFUSED and one.took_s is not None
        )
        return waits[int(share * (len(waits) - 1))] if waits else 0.0

    def _kinds(self) -> list[str]:
        """Return the names of the kinds, in the order of their first jobs."""
        return list(dict.fromkeys(one.job.kind.name for one in self.ended))

    def _of(self, kind: str) -> list[Ended]:
        return [one for one in self.ended if kind in ("", one.job.kind.name)]

    def _in_time(self) -> list[Ended]:
        return [one for one in self.ended if one.end is JobEnd.IN_TIME]


_SIZES = ("largest tenth", "fifth below", "others")


def _size_of(place: float) -> str:
    """Return the group of a job by its place among the larger ones."""
    if place < 0.1:
        return _SIZES[0]
    return _SIZES[1] if place < 0.3 else _SIZES[2]


def _worth(one: Ended) -> float:
    return one.job.kind.worth * _jobs.mean_core_s(one.job.kind)


def _share(ended: abc.Sequence[Ended], end: JobEnd) -> float:
    if not ended:
        return 1.0
    return sum(one.end is end for one in ended) / len(ended)
