"""How often tasks fail, by the last ends that were seen."""

import msgspec

#: Weight of the newest end, from 0 to 1.
DECAY = 0.2
#: Failure rate from which a place is taken for failing.
EJECT_AT = 0.45


class FailureRate(msgspec.Struct):
    """A decaying average of ends, to which one job adds one failure."""

    #: Share of failures from 0 to 1; the newest ends weigh most.
    rate: float = 0.0
    #: Failures that counted.
    failures: int = 0
    _last_job: str = ""

    def add(self, job: str, blame: float, ok: bool, decay: float) -> None:
        """Take in an end.

        :param job: the task's
        :param blame: share of a failure that speaks against the place
        :param ok: whether it succeeded
        :param decay: weight of this end, from 0 to 1
        """
        if not ok:
            if self._last_job == job:
                return
            self._last_job = job
            self.failures += 1
        self.rate += decay * ((0.0 if ok else blame) - self.rate)

    def forgive(self) -> None:
        """Begin anew; what was counted stays counted."""
        self.rate = 0.0
        self._last_job = ""
