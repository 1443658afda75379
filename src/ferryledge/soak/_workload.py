"""The jobs that clients submit, and what their tasks do at endpoints."""

import json

from ferryledge import leases
from ferryledge import wire

_TASK_MEMORY_MB = 64


class Workload:
    """What the tasks of each job need and take."""

    def __init__(self) -> None:
        self._work_s: dict[str, float] = {}
        self._specs: dict[str, str] = {}
        #: Endpoints that fail all they start.
        self.failing: set[str] = set()

    def add(self, job: str, cpu_millis: int, work_s: float) -> str:
        """Take in a job and return its spec.

        :param job: its name
        :param cpu_millis: what one task needs
        :param work_s: seconds that one task takes
        """
        self._work_s[job] = work_s
        self._specs[job] = json.dumps({"cpu": cpu_millis})
        return self._specs[job]

    def need_of(self, key: leases.RunKey) -> wire.Resources:
        """Return what a run takes."""
        plain = json.loads(self._specs[key.job])
        return wire.Resources(plain["cpu"], _TASK_MEMORY_MB, 0)

    def work_of(self, key: leases.RunKey, endpoint: str) -> tuple[float, bool]:
        """Return the seconds that a run takes, and whether it succeeds."""
        return self._work_s[key.job], endpoint not in self.failing
