"""Failure rates of endpoints, averaged over the latest task ends."""

import msgspec

#: Weight of the latest end in the average, from 0 to 1.
DECAY = 0.2
#: Failure rate from which an endpoint counts as failing.
EJECT_AT = 0.45


class FailureRate(msgspec.Struct):
    """An exponentially weighted failure rate.

    Consecutive failures of the same job count once.
    """

    #: Weighted share of failures, from 0 to 1.
    rate: float = 0.0
    #: Number of failures counted; :meth:`reset` keeps it.
    failures: int = 0
    _last_job: str = ""

    def add(self, job: str, weight: float, ok: bool, decay: float) -> None:
        """Record the end of a task.

        :param job: the task's job
        :param weight: weight of a failure, from 0 to 1
        :param ok: whether the task succeeded
        :param decay: weight of this end in the average, from 0 to 1
        """
        if not ok:
            if self._last_job == job:
                return
            self._last_job = job
            self.failures += 1
        self.rate += decay * ((0.0 if ok else weight) - self.rate)

    def reset(self) -> None:
        """Reset the rate but keep the count of failures."""
        self.rate = 0.0
        self._last_job = ""
