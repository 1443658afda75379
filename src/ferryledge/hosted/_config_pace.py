"""How fast a configuration is read, and when the next one.

Load pattern: configurations of hundreds of kB that are replaced several
times a second, on links that carry one or two of them a second with nothing
else. To read each one, and at full speed, keeps the link from the grants that
runs live by. To read seldom and evenly leaves it to them. The limit is the
bound until which a version must be in force: one that is written just after
a read began waits for the next one, and for the whole of that.
"""

import dataclasses
import math

#: Share of the bound for the wait until the next read and for that read. The
#: rest is for what is not planned: a call that is made again, a late timer.
_PLANNED_SHARE = 0.85
#: Share of the bound that one read may take; about half of what is planned,
#: so that reading is spread over all of the time.
_READ_SHARE = 0.4
#: Share of the link that a read may take where the bound does not ask for
#: more; what is not read yet is of no use.
_SPEED_SHARE = 0.5
#: Share of the link that reads take in the mean where the bound allows.
_MEAN_SHARE = 0.25
#: Seconds that what is on its way to this process may take of the link: far
#: less than a grant lasts.
_WINDOW_S = 0.04
#: Most seconds between looks at the log's end.
_LOOK_S = 1.0
#: Share of the time that another process has for it; the rest it may use.
_LOOK_SHARE = 0.6
#: Bytes of a large configuration: one of 1,500 routes.
_LARGE_BYTES = 256 * 1024
#: Smallest window in bytes: a few packets.
_LEAST_WINDOW = 8 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPace:
    """Spreads reads of configurations over the time that there is."""

    #: Until when a version must be in force, in seconds after it is kept.
    bound_s: float
    #: What the link carries; infinite if that is unknown.
    link_bytes_per_s: float

    def rate(self, size: int) -> float:
        """Return at how many bytes a second an answer is read.

        :param size: its bytes
        """
        in_time = size / (_READ_SHARE * self.bound_s)
        return max(in_time, _SPEED_SHARE * self.link_bytes_per_s)

    def read_s(self, size: int) -> float:
        """Return how long an answer takes to read.

        :param size: its bytes
        """
        return size / min(self.rate(size), self.link_bytes_per_s)

    def bring_s(self) -> float:
        """Return how long another process has to bring a configuration.

        After that there is just time to read it, also if it is far larger
        than the last one.
        """
        return self._start_by_s(_LARGE_BYTES)

    def look_every_s(self) -> float:
        """Return how often to look whether something is to be brought."""
        return min(_LOOK_S, _LOOK_SHARE * self.bring_s())

    def _start_by_s(self, size: int) -> float:
        return max(0.0, _PLANNED_SHARE * self.bound_s - self.read_s(size))

    def next_after_s(self, size: int) -> float:
        """Return how long after a read began the next one is to begin.

        :param size: the bytes of the last one
        """
        fair_s = size / (_MEAN_SHARE * self.link_bytes_per_s)
        return min(self._start_by_s(size), fair_s)


def window_bytes(link_bytes_per_s: float) -> int:
    """Return how much may be on its way to this process on one connection.

    A sender that may send more fills the queue at the link with it, and all
    else waits there behind.

    :param link_bytes_per_s: what the link carries; infinite if unknown
    :return: bytes; 0 is without limit
    """
    if math.isinf(link_bytes_per_s):
        return 0
    return max(_LEAST_WINDOW, int(_WINDOW_S * link_bytes_per_s))
