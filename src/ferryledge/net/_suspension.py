"""Measures how long the machine was suspended since the process started.

The monotonic clock of the event loop stops during a suspension, while other
machines continue. Without a correction, a lease granted by them would seem to
be valid for too long.
"""

import time

#: Smaller increases are the time between the readings of the two clocks, not a
#: suspension. In seconds.
_MIN_SUSPENSION_S = 0.01
#: A monotonic clock that includes suspensions; only Linux has one.
_BOOT_CLOCK: int | None = getattr(time, "CLOCK_BOOTTIME", None)


class SuspensionClock:
    """Compares the monotonic clock with one that includes suspensions."""

    def __init__(self) -> None:
        self._clock_offset_s = self._read_clock_offset()
        self._suspended_s = 0.0

    def suspended_s(self) -> float:
        """Return the total time of suspensions so far, in seconds."""
        clock_offset_s = self._read_clock_offset()
        increase_s = clock_offset_s - self._clock_offset_s
        if increase_s > _MIN_SUSPENSION_S:
            self._clock_offset_s = clock_offset_s
            self._suspended_s += increase_s
        return self._suspended_s

    def _read_clock_offset(self) -> float:
        if _BOOT_CLOCK is None:
            return 0.0
        # In this order, a pause of the process between the two readings lowers
        # the offset and isn't mistaken for a suspension.
        return time.clock_gettime(_BOOT_CLOCK) - time.monotonic()
