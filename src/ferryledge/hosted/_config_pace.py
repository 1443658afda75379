"""Limits the rate and the frequency of configuration reads.

Large configurations that are replaced several times a second can saturate a
narrow link and delay the messages that renew grants. Reads are therefore
throttled and spread over time, as far as the deadline by which a version must
be in force allows. The worst case is a version that is written just after a
read began: it waits for the next read to start and to complete.
"""

import dataclasses
import math

#: Share of the bound for the wait until the next read and for that read. The
#: rest is a reserve for retried calls and late timers.
_PLANNED_SHARE = 0.85
#: Share of the bound that one read may take: about half of the planned share,
#: so that reads are spread evenly.
_READ_SHARE = 0.4
#: Share of the link that a read may always use, since a partly read
#: configuration is of no use.
_MIN_RATE_SHARE = 0.5
#: Share of the link that reads use on average where the bound allows.
_AVERAGE_SHARE = 0.25
#: Transfer time, in seconds, of the bytes that may be in flight to this
#: process: far less than a grant lasts.
_WINDOW_S = 0.04
#: Maximum seconds between polls of the log's end.
_MAX_POLL_S = 1.0
#: Poll interval as a share of the delivery timeout; the rest of the timeout
#: remains for the delivery.
_POLL_SHARE = 0.6
#: Bytes of a large configuration, about 1,500 routes.
_LARGE_BYTES = 256 * 1024
#: Smallest window, in bytes: a few packets.
_MIN_WINDOW_BYTES = 8 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPace:
    """Computes read rates and intervals that meet a deadline."""

    #: Seconds from the write of a version until it must be in force.
    bound_s: float
    #: The link's bandwidth in bytes per second; infinite if unknown.
    link_bytes_per_s: float

    def rate(self, size: int) -> float:
        """Return the rate at which to read a response, in bytes per second.

        :param size: bytes of the response
        """
        required = size / (_READ_SHARE * self.bound_s)
        return max(required, _MIN_RATE_SHARE * self.link_bytes_per_s)

    def read_s(self, size: int) -> float:
        """Return the seconds that reading a response takes.

        :param size: bytes of the response
        """
        return size / min(self.rate(size), self.link_bytes_per_s)

    def delivery_timeout_s(self) -> float:
        """Return the seconds within which a remote reader must deliver.

        It is another process that reads configurations for this one.

        After that, just enough time remains to read the configuration from
        the store, even if it is far larger than the previous one.
        """
        return self._max_wait_s(_LARGE_BYTES)

    def poll_interval_s(self) -> float:
        """Return the seconds between polls while a remote reader is used."""
        return min(_MAX_POLL_S, _POLL_SHARE * self.delivery_timeout_s())

    def _max_wait_s(self, size: int) -> float:
        return max(0.0, _PLANNED_SHARE * self.bound_s - self.read_s(size))

    def read_interval_s(self, size: int) -> float:
        """Return the seconds from the start of a read to that of the next.

        :param size: bytes of the previous configuration
        """
        average_s = size / (_AVERAGE_SHARE * self.link_bytes_per_s)
        return min(self._max_wait_s(size), average_s)


def window_bytes(link_bytes_per_s: float) -> int:
    """Return how many bytes may be in flight to this process per connection.

    A larger window lets a sender fill the queue in front of the link, which
    delays all other traffic.

    :param link_bytes_per_s: the link's bandwidth; infinite if unknown
    :return: the window in bytes; 0 means unlimited
    """
    if math.isinf(link_bytes_per_s):
        return 0
    return max(_MIN_WINDOW_BYTES, int(_WINDOW_S * link_bytes_per_s))
