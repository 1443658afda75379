"""Bounds how much is logged, and never waits for the reader."""

import os
import typing

import msgspec

#: Lines a second that a process may write on average.
LINES_A_SECOND = 150.0
#: Lines that it may write at once after a quiet time.
_BURST_LINES = 300.0
#: Share of the burst that is kept for refusals and failures.
_URGENT_SHARE = 0.5
#: Bytes of lines that wait for a reader that stands still.
_MOST_PENDING = 64 * 1024


class Budget(msgspec.Struct):
    """Allows lines at a bounded rate; what went wrong goes first."""

    lines_a_second: float = LINES_A_SECOND
    burst: float = _BURST_LINES
    left_out: int = 0
    _saved: float = _BURST_LINES
    _at: float = 0.0

    def take(self, now: float, urgent: bool) -> bool:
        """Return whether a line may be written, and count it.

        :param now: monotonic seconds
        :param urgent: whether it tells of a refusal or a failure
        """
        self._saved += (now - self._at) * self.lines_a_second
        self._saved = min(self.burst, self._saved)
        self._at = now
        kept = 0.0 if urgent else _URGENT_SHARE * self.burst
        if self._saved - 1.0 < kept:
            self.left_out += 1
            return False
        self._saved -= 1.0
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out = self.left_out
        self.left_out = 0
        return left_out


class NonBlockingSink:
    """Writes lines to a file descriptor, or drops them.

    :param descriptor: where to write; it is set not to block
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line as far as the reader takes it now."""
        data = line.encode()
        if len(self._pending) + len(data) > _MOST_PENDING:
            self.dropped += 1
        else:
            self._pending += data
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone: nothing is left to tell it to.
            self._pending = b""
            self.dropped += 1
            return
        self._pending = self._pending[written:]

    def flush(self) -> None:
        """Do nothing: lines are written as they come."""


def standard_output() -> typing.Any:
    """Return a sink for standard output that never blocks."""
    return NonBlockingSink(1)
