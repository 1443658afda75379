"""Delays between the dials to a peer.

The delay depends on how the last dial ended. Delays are short while the peer
may be starting, so that streams open promptly when many machines restart at
once, for instance after a power failure.
"""

import enum

#: Delay in seconds after a refused dial: the peer's process may be starting.
#: About a handshake; with a delay that doubles, streams open later after a
#: power failure.
_REFUSED_DELAY_S = 0.025
#: Consecutive refusals after which the delay backs off exponentially. The
#: process isn't expected any more by then: starts take less than 3 s.
_MAX_FAST_REFUSALS = 120
#: Connection attempts per dial, for the first dials to an unreachable machine;
#: later dials make a single attempt. Machines that lost power together are
#: back within a second of each other.
_MAX_ATTEMPTS = 5
_MULTI_ATTEMPT_DIALS = 4
#: Delay in seconds after a dial to an unreachable machine. Short, since such a
#: dial lasts until its time-out.
_UNREACHABLE_DELAY_S = 0.05
#: Bounds in seconds of the exponential backoff, which applies after failed
#: handshakes and persistent refusals.
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.4


class DialResult(enum.Enum):
    """How a dial ended."""

    #: The handshake succeeded, and the stream was closed later.
    CLOSED = "served"
    #: The machine is up, but no process listens on the port.
    REFUSED = "refused"
    #: The connection timed out or failed: the machine is off or unreachable.
    UNREACHABLE = "silent"
    #: The connection opened, but the handshake failed.
    HANDSHAKE_FAILED = "unproved"


class RedialBackoff:
    """Computes the delays between dials to one peer."""

    def __init__(self) -> None:
        self._refusals = 0
        #: Number of consecutive dials that found the machine unreachable.
        self._unreachable = 0
        self._backoff_s = _MIN_BACKOFF_S

    @property
    def max_attempts(self) -> int:
        """The maximum number of connection attempts in the next dial."""
        return _MAX_ATTEMPTS if self._unreachable < _MULTI_ATTEMPT_DIALS else 1

    def delay_s(self, result: DialResult) -> float:
        """Return the minimum delay before the next dial, in seconds.

        :param result: how the last dial ended
        """
        if result is not DialResult.REFUSED:
            self._refusals = 0
        if result is not DialResult.UNREACHABLE:
            self._unreachable = 0
        match result:
            case DialResult.CLOSED:
                self._backoff_s = _MIN_BACKOFF_S
                return _MIN_BACKOFF_S
            case DialResult.UNREACHABLE:
                self._unreachable += 1
                return _UNREACHABLE_DELAY_S
            case DialResult.REFUSED if self._refusals < _MAX_FAST_REFUSALS:
                self._refusals += 1
                return _REFUSED_DELAY_S
        delay_s = self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2.0 * delay_s)
        return delay_s
