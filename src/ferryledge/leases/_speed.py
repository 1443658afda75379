"""How fast an endpoint works, from the progress of what runs there.

A job's declared time is a guess, an endpoint's speed is shared by all that
runs on it: so the speed is averaged over the jobs, and a slow endpoint is
told apart from a large job.
"""

from collections import abc
import math

import msgspec

#: Weight of the speed that is assumed, in jobs: a single job whose declared
#: time is far off must not make an endpoint slow.
_ASSUMED_WEIGHT = 1.5
#: Weight of a run that stands still; no declared time explains that.
_STILL_WEIGHT = 3.0
#: Seconds without any progress after which a run stands still.
_STILL_S = 0.15
#: Seconds without any progress after which a run counts as hung although the
#: endpoint does well, at the least and as a share of its expected time:
#: progress is told in whole percents.
_HUNG_S = 0.3
_HUNG_SHARE = 0.05
#: Largest speed that one run is taken to show.
_FASTEST = 2.0
#: Shortest time between two samples of one run; progress is whole percents.
_SAMPLE_S = 0.05
#: An endpoint on which everything stands still counts as this slow.
MOST_SLOWNESS = 50.0
#: Below this an endpoint's slowness is its usual one, or noise.
SLOW_THRESHOLD = 2.0


class RunProgress(msgspec.Struct):
    """The progress of one run."""

    job: str
    #: Expected run time at normal speed in seconds.
    expected_s: float
    sampled_at: float
    done: float = 0.0
    #: Share of its work done in a second, lately.
    rate: float = 0.0
    samples: int = 0
    #: When it was seen to come further, last.
    moved_at: float = 0.0

    def start(self, now: float) -> None:
        """Begin to count: the endpoint said that it runs."""
        self.sampled_at = now
        self.moved_at = now

    def sample(self, now: float, done: float) -> None:
        """Take in how far it is."""
        passed = now - self.sampled_at
        if passed < _SAMPLE_S:
            return
        if done > self.done:
            self.moved_at = now
        self.rate = max(0.0, done - self.done) / passed
        self.done = done
        self.sampled_at = now
        self.samples += 1

    def stands_still(self, now: float) -> bool:
        """Return whether it makes no progress at all."""
        return self.rate <= 0.0 and now - self.moved_at > _STILL_S

    def is_hung(self, now: float) -> bool:
        """Return whether it stands still for longer than steps explain."""
        patience_s = max(_HUNG_S, _HUNG_SHARE * self.expected_s)
        return self.rate <= 0.0 and now - self.moved_at > patience_s

    def left_s(self, now: float) -> float:
        """Return the seconds until its end at its last rate."""
        if self.rate <= 0.0:
            return math.inf
        left = (1.0 - self.done) / self.rate
        return max(0.0, left - (now - self.sampled_at))


class EndpointSpeed:
    """The speed of an endpoint, averaged over its runs."""

    def __init__(self) -> None:
        self._assumed = 1.0
        self._speed = 1.0

    @property
    def slowness(self) -> float:
        """How many times as long runs take here as they should."""
        return 1.0 / max(self._speed, 1.0 / MOST_SLOWNESS)

    @property
    def reported_slowness(self) -> float:
        """The slowness as entries are told: 1 unless it is out of bounds.

        In steps, so that noise is not sent to every entry.
        """
        slowness = self.slowness
        if slowness < SLOW_THRESHOLD:
            return 1.0
        return max(SLOW_THRESHOLD, 2.0 ** round(math.log2(slowness)))

    def update(self, now: float, paces: abc.Iterable[RunProgress]) -> None:
        """Take in the present progress of all runs.

        With none to tell, the last word stands: an endpoint that became
        slow is slow until a run shows otherwise. The runs of one job count
        as one, since the same guess of their time is behind them all.
        """
        by_job: dict[str, list[RunProgress]] = {}
        for progress in paces:
            if progress.samples:
                by_job.setdefault(progress.job, []).append(progress)
        if not by_job:
            return
        weight = _ASSUMED_WEIGHT
        total = _ASSUMED_WEIGHT * self._assumed
        for job_paces in by_job.values():
            still = all(progress.stands_still(now) for progress in job_paces)
            own = _STILL_WEIGHT if still else 1.0
            weight += own
            total += own * _mean_speed(job_paces)
        self._speed = total / weight
        slow = self.slowness >= SLOW_THRESHOLD
        self._assumed = self._speed if slow else 1.0


def _mean_speed(paces: list[RunProgress]) -> float:
    speeds = [
        min(progress.rate * progress.expected_s, _FASTEST)
        for progress in paces
    ]
    return sum(speeds) / len(speeds)
