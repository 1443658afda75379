"""Estimates the speed of an endpoint from the progress of its runs.

The expected run time of a job is only a guess. The speed is therefore averaged
over jobs, so that a single large job does not make an endpoint look slow.
"""

from collections import abc
import math

import msgspec

#: Weight of the prior speed, in jobs; keeps a single job with a wrong estimate
#: from making the endpoint slow.
_PRIOR_WEIGHT = 1.5
#: Weight of a job whose runs are all stalled; no wrong estimate explains that.
_STALLED_WEIGHT = 3.0
#: Seconds without progress after which a run is stalled.
_STALLED_S = 0.15
#: Least seconds without progress after which a run is hung even if its
#: endpoint is not slow.
_HUNG_S = 0.3
#: The same as a share of the expected run time, since endpoints report
#: progress in whole percents.
_HUNG_SHARE = 0.05
#: Largest speed that is taken from a single run.
_MAX_SPEED = 2.0
#: Least seconds between two samples of a run, since endpoints report progress
#: in whole percents.
_MIN_SAMPLE_S = 0.05
#: Largest slowness of an endpoint, even if all its runs are stalled.
MAX_SLOWNESS = 50.0
#: Slowness from which an endpoint is slow; below it is usual variation.
SLOW_THRESHOLD = 2.0


class RunProgress(msgspec.Struct):
    """The progress of one run."""

    job: str
    #: Expected run time at normal speed in seconds.
    expected_s: float
    sampled_at: float
    done: float = 0.0
    #: Share of its work done in a second, by the last sample.
    rate: float = 0.0
    samples: int = 0
    #: When progress was last observed.
    progressed_at: float = 0.0

    def start(self, now: float) -> None:
        """Start measuring once the endpoint confirmed the start."""
        self.sampled_at = now
        self.progressed_at = now

    def sample(self, now: float, done: float) -> None:
        """Record the share of the work that is done."""
        elapsed_s = now - self.sampled_at
        if elapsed_s < _MIN_SAMPLE_S:
            return
        if done > self.done:
            self.progressed_at = now
        self.rate = max(0.0, done - self.done) / elapsed_s
        self.done = done
        self.sampled_at = now
        self.samples += 1

    def is_stalled(self, now: float) -> bool:
        """Return whether it makes no progress."""
        return self.rate <= 0.0 and now - self.progressed_at > _STALLED_S

    def is_hung(self, now: float) -> bool:
        """Return whether it has stalled for longer than rounding explains."""
        limit_s = max(_HUNG_S, _HUNG_SHARE * self.expected_s)
        return self.rate <= 0.0 and now - self.progressed_at > limit_s

    def left_s(self, now: float) -> float:
        """Return the seconds until its end at the last rate."""
        if self.rate <= 0.0:
            return math.inf
        left = (1.0 - self.done) / self.rate
        return max(0.0, left - (now - self.sampled_at))


class EndpointSpeed:
    """The speed of an endpoint, averaged over its runs."""

    def __init__(self) -> None:
        self._prior = 1.0
        self._speed = 1.0

    @property
    def slowness(self) -> float:
        """The ratio of actual to expected run times here."""
        return 1.0 / max(self._speed, 1.0 / MAX_SLOWNESS)

    @property
    def reported_slowness(self) -> float:
        """The slowness as it is reported to entries; 1 below the threshold.

        It is rounded to powers of two, so that noise causes no reports.
        """
        slowness = self.slowness
        if slowness < SLOW_THRESHOLD:
            return 1.0
        return max(SLOW_THRESHOLD, 2.0 ** round(math.log2(slowness)))

    def update(self, now: float, paces: abc.Iterable[RunProgress]) -> None:
        """Update the speed from the progress of all runs.

        Without samples the speed stays, so a slow endpoint is slow until
        a run shows otherwise. The runs of a job count as one sample, since
        they share the same estimate.
        """
        by_job: dict[str, list[RunProgress]] = {}
        for progress in paces:
            if progress.samples:
                by_job.setdefault(progress.job, []).append(progress)
        if not by_job:
            return
        weight = _PRIOR_WEIGHT
        total = _PRIOR_WEIGHT * self._prior
        for job_paces in by_job.values():
            all_stalled = all(
                progress.is_stalled(now) for progress in job_paces
            )
            job_weight = _STALLED_WEIGHT if all_stalled else 1.0
            weight += job_weight
            total += job_weight * _mean_speed(job_paces)
        self._speed = total / weight
        is_slow = self.slowness >= SLOW_THRESHOLD
        self._prior = self._speed if is_slow else 1.0


def _mean_speed(paces: list[RunProgress]) -> float:
    speeds = [
        min(progress.rate * progress.expected_s, _MAX_SPEED)
        for progress in paces
    ]
    return sum(speeds) / len(speeds)
