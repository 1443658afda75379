"""How full the link of this machine is with what this process sends.

A socket takes far more than the link carries in the time that a grant lasts,
so a full link does not show when something is written. What was written and
how fast the link is tells how long the last byte waits.
"""

import math

from ferryledge import wire

#: Bytes that a message takes on the wire beside its own: headers, and the
#: acknowledgement of what came.
PACKET_BYTES = 100
#: Share of the link that this process counts on; the rest is for what it
#: does not see, such as repeats of lost packets.
_USABLE_SHARE = 0.8
#: Longest wait at the link for which something new is sent, in seconds. An
#: order is in vain once the ask that it names is older than a grant.
_MOST_WAIT_S = 0.03
#: Seconds over which the use of the link is averaged.
AVERAGING_S = 0.5
#: Share of the link in use from which bytes are worth processor time.
_BUSY_SHARE = 0.25
#: Bytes of an answer to a client.
ANSWER_BYTES = 250
#: Bytes of an order beside its spec and its runs, and of each run.
_ORDER_BYTES = 70
_RUN_BYTES = 5
#: Bytes of a difference between configurations beside its text.
_DELTA_BYTES = 100
#: Bytes of an address in a list, and of all other messages.
_ADDRESS_BYTES = 40
_SMALL_BYTES = 20


class Uplink:
    """What waits at the link of this machine.

    :param bytes_per_s: what the link carries; infinite if that is unknown
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = _USABLE_SHARE * bytes_per_s
        self._queued = 0.0
        self._lately = 0.0
        self._at = 0.0

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second that this process counts on."""
        return self._bytes_per_s

    def note_sent(self, now: float, size: int) -> None:
        """Take in that a message was sent.

        :param now: monotonic seconds
        :param size: its bytes
        """
        self._advance(now)
        self._queued += size + PACKET_BYTES
        self._lately += size + PACKET_BYTES

    def wait_s(self, now: float) -> float:
        """Return how long what is sent now waits at the link."""
        self._advance(now)
        return self._queued / self._bytes_per_s

    def is_free(self, now: float) -> bool:
        """Return whether something new may be sent."""
        return self.wait_s(now) <= _MOST_WAIT_S

    def free_at(self, now: float) -> float:
        """Return when something new may be sent."""
        return now + max(0.0, self.wait_s(now) - _MOST_WAIT_S)

    def is_busy(self, now: float) -> bool:
        """Return whether much of the link was in use lately."""
        return (
            self.recent_bytes(now)
            > _BUSY_SHARE * self._bytes_per_s * AVERAGING_S
        )

    def recent_bytes(self, now: float) -> float:
        """Return the bytes that were sent in the span that is looked at."""
        self._advance(now)
        return self._lately

    def _advance(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        self._lately *= math.exp(-passed / AVERAGING_S)
        if math.isinf(self._bytes_per_s):
            self._queued = 0.0
        else:
            left = self._queued - passed * self._bytes_per_s
            self._queued = max(0.0, left)


def size_of(message: wire.Message) -> int:
    """Return about how many bytes a message takes, without encoding it."""
    match message:
        case wire.OrderRuns():
            texts = len(message.spec) + len(message.packed_spec)
            return texts + _ORDER_BYTES + _RUN_BYTES * len(message.runs)
        case wire.OfferJob():
            return len(message.packed_spec) + _ORDER_BYTES
        case wire.ConfigReply(_, data):
            return len(data)
        case wire.ConfigDelta():
            return len(message.packed) + _DELTA_BYTES
        case wire.EntryList(entries):
            return _ADDRESS_BYTES * len(entries)
        case _:
            return _SMALL_BYTES
