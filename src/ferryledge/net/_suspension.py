"""How long the machine was suspended while this process lived.

The steady clock, by which an event loop goes, stands still meanwhile, while
other machines go on: a right that they gave is over sooner than it seems.
"""

import time

#: Readings of two clocks are some time apart; less than this is no suspension.
_LEAST_S = 0.01
#: Only Linux has a steady clock that counts suspensions.
_BOOT_CLOCK: int | None = getattr(time, "CLOCK_BOOTTIME", None)


class Suspension:
    """Compares the steady clock with one that counts suspensions."""

    def __init__(self) -> None:
        self._gap_s = self._read()
        self._asleep_s = 0.0

    def asleep_s(self) -> float:
        """Return the seconds for which the machine was suspended so far."""
        gap_s = self._read()
        slept_s = gap_s - self._gap_s
        if slept_s > _LEAST_S:
            self._gap_s = gap_s
            self._asleep_s += slept_s
        return self._asleep_s

    def _read(self) -> float:
        if _BOOT_CLOCK is None:
            return 0.0
        # In this order a process that is paused in between measures less, and
        # takes its pause for no suspension.
        return time.clock_gettime(_BOOT_CLOCK) - time.monotonic()
