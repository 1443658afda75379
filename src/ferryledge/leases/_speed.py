"""How fast an endpoint works, from the progress of what runs there.

A run's declared time is a guess, an endpoint's speed is shared by all that
runs on it: so the speed is averaged over the runs, and a slow endpoint is
told apart from a large task.
"""

import dataclasses
import math

#: Seconds over which older samples lose their weight.
_MEMORY_S = 0.25
#: Weight of the assumption that an endpoint is of normal speed.
_PRIOR_WEIGHT = 1.0
#: Shortest time between two samples of one run; progress is whole percents.
_SAMPLE_S = 0.05
#: An endpoint on which everything stands still counts as this slow.
MOST_SLOWNESS = 50.0
#: Below this an endpoint's slowness is its usual one, or noise.
SLOW_FROM = 2.0


@dataclasses.dataclass(slots=True)
class RunPace:
    """The progress of one run."""

    #: Expected run time at normal speed in seconds.
    expected_s: float
    sampled_at: float
    done: float = 0.0
    #: Share of its work done in a second, lately.
    rate: float = 0.0

    def sample(self, now: float, done: float) -> float | None:
        """Take in how far it is.

        :return: its speed against the expected one; none if it is too
            soon to tell
        """
        passed = now - self.sampled_at
        if passed < _SAMPLE_S:
            return None
        self.rate = max(0.0, done - self.done) / passed
        self.done = done
        self.sampled_at = now
        return self.rate * self.expected_s

    def left_s(self, now: float) -> float:
        """Return the seconds until its end at its last rate."""
        if self.rate <= 0.0:
            return math.inf
        left = (1.0 - self.done) / self.rate
        return max(0.0, left - (now - self.sampled_at))


class EndpointSpeed:
    """The average speed of an endpoint's runs."""

    def __init__(self) -> None:
        self._sum = _PRIOR_WEIGHT
        self._weight = _PRIOR_WEIGHT
        self._at = 0.0

    @property
    def slowness(self) -> float:
        """How many times as long runs take here as they should."""
        speed = self._sum / self._weight
        return min(MOST_SLOWNESS, 1.0 / max(speed, 1.0 / MOST_SLOWNESS))

    @property
    def reported(self) -> float:
        """The slowness as entries are told: 1 unless it is out of bounds.

        In steps, so that noise is not sent to every entry.
        """
        slowness = self.slowness
        if slowness < SLOW_FROM:
            return 1.0
        return 2.0 ** round(math.log2(slowness))

    def sample(self, now: float, speed: float) -> None:
        """Take in one run's speed against the expected one."""
        kept = math.exp(min(0.0, self._at - now) / _MEMORY_S)
        self._sum = self._sum * kept + min(speed, 2.0)
        self._weight = self._weight * kept + 1.0
        self._at = now
