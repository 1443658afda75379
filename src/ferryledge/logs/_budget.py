"""A rate limit for log lines, and a sink that never blocks."""

import os
import typing

import msgspec

#: Average number of lines that a process may write per second.
LINES_PER_SECOND = 150.0
#: Number of lines that it may write at once.
_BURST_LINES = 300.0
#: Share of the burst that is reserved for urgent lines.
_URGENT_SHARE = 0.5
#: Maximum number of bytes that are buffered for a slow reader.
_MAX_PENDING_BYTES = 64 * 1024


class Budget(msgspec.Struct):
    """A token bucket for log lines, with a reserve for urgent ones."""

    lines_per_second: float = LINES_PER_SECOND
    burst: float = _BURST_LINES
    #: Number of lines left out since :meth:`take_left_out` was called.
    left_out: int = 0
    _tokens: float = _BURST_LINES
    _refilled_at: float = 0.0

    def take(self, now: float, urgent: bool) -> bool:
        """Return whether a line may be written, and count it.

        :param now: monotonic seconds
        :param urgent: whether the line reports a refusal or a failure
        """
        self._tokens += (now - self._refilled_at) * self.lines_per_second
        self._tokens = min(self.burst, self._tokens)
        self._refilled_at = now
        reserve = 0.0 if urgent else _URGENT_SHARE * self.burst
        if self._tokens - 1.0 < reserve:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def take_left_out(self) -> int:
        """Return the number of lines left out since the last call."""
        left_out = self.left_out
        self.left_out = 0
        return left_out


class NonBlockingSink:
    """Writes lines to a file descriptor without ever blocking.

    While the descriptor is not ready, up to 64 KiB are buffered; further lines
    are dropped.

    :param descriptor: the descriptor, which is switched to non-blocking mode
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or buffer what can't be written now.

        A line that does not fit in the buffer is dropped.
        """
        data = line.encode()
        if len(self._pending) + len(data) > _MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self._pending += data
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed its end, and there is nowhere to report it.
            self._pending = b""
            self.dropped += 1
            return
        self._pending = self._pending[written:]

    def flush(self) -> None:
        """Do nothing, since waiting for the descriptor could block."""


def standard_output() -> typing.Any:
    """Return a non-blocking sink for standard output."""
    return NonBlockingSink(1)
