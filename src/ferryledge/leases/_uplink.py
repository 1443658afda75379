"""Estimates how long messages wait at the network link of this machine.

Socket buffers hold far more than a narrow link carries during the lifetime of
a grant, so writes don't show that the link is full. The queue is estimated
from the bytes sent by this process and from the link's rate.
"""

import math

from ferryledge import wire

#: Overhead of a message on the wire, in bytes: headers and acknowledgement.
PACKET_BYTES = 100
#: Usable share of the link's rate. The rest is left for traffic that this
#: process can't see, such as retransmissions.
_USABLE_SHARE = 0.8
#: Longest wait at the link, in seconds, at which new work is still sent. An
#: order that waits too long is void: it relies on a grant that has expired.
_MAX_WAIT_S = 0.03
#: Seconds over which the use of the link is averaged.
AVERAGING_S = 0.5
#: Utilization from which it pays to compress what is sent.
_BUSY_SHARE = 0.25
#: Estimated bytes of an answer to a client.
ANSWER_BYTES = 250
#: Estimated bytes of an order without its spec and runs, and of each run.
_ORDER_BYTES = 70
_RUN_BYTES = 5
#: Estimated bytes of a configuration difference without its text.
_DELTA_BYTES = 100
#: Estimated bytes of an address in a list, and of any other message.
_ADDRESS_BYTES = 40
_OTHER_BYTES = 20


class Uplink:
    """Models the send queue at the network link of this machine.

    :param bytes_per_s: the link's rate; infinite if unknown
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = _USABLE_SHARE * bytes_per_s
        self._queued_bytes = 0.0
        self._recent_bytes = 0.0
        self._updated_at = 0.0

    @property
    def bytes_per_s(self) -> float:
        """The usable rate of the link, in bytes per second."""
        return self._bytes_per_s

    def note_sent(self, now: float, size: int) -> None:
        """Count a message that was sent.

        :param now: monotonic seconds
        :param size: its size in bytes
        """
        self._advance(now)
        self._queued_bytes += size + PACKET_BYTES
        self._recent_bytes += size + PACKET_BYTES

    def wait_s(self, now: float) -> float:
        """Return the seconds that a message sent now waits at the link."""
        self._advance(now)
        return self._queued_bytes / self._bytes_per_s

    def is_free(self, now: float) -> bool:
        """Return whether the queue is short enough to send new work."""
        return self.wait_s(now) <= _MAX_WAIT_S

    def free_at(self, now: float) -> float:
        """Return when the queue is short enough to send new work."""
        return now + max(0.0, self.wait_s(now) - _MAX_WAIT_S)

    def is_busy(self, now: float) -> bool:
        """Return whether recent traffic used much of the link."""
        return (
            self.recent_bytes(now)
            > _BUSY_SHARE * self._bytes_per_s * AVERAGING_S
        )

    def recent_bytes(self, now: float) -> float:
        """Return the bytes sent recently, with exponential decay."""
        self._advance(now)
        return self._recent_bytes

    def _advance(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        self._recent_bytes *= math.exp(-elapsed / AVERAGING_S)
        if math.isinf(self._bytes_per_s):
            self._queued_bytes = 0.0
        else:
            remaining = self._queued_bytes - elapsed * self._bytes_per_s
            self._queued_bytes = max(0.0, remaining)


def size_of(message: wire.Message) -> int:
    """Estimate the size of a message in bytes, without encoding it."""
    match message:
        case wire.OrderRuns():
            spec_bytes = len(message.spec) + len(message.packed_spec)
            return spec_bytes + _ORDER_BYTES + _RUN_BYTES * len(message.runs)
        case wire.OfferJob():
            return len(message.packed_spec) + _ORDER_BYTES
        case wire.ConfigReply(_, data):
            return len(data)
        case wire.ConfigDelta():
            return len(message.packed) + _DELTA_BYTES
        case wire.EntryList(entries):
            return _ADDRESS_BYTES * len(entries)
        case _:
            return _OTHER_BYTES
