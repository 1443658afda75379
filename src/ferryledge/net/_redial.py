"""When a peer that could not be reached is dialled again.

It answers the return of many machines at once: after a loss of power agents
are ready before the entries that they look for, and an entry serves nobody
before it is dialled. How a dial ended tells what to wait for.
"""

import enum

#: Seconds between dials to a machine whose process is starting: about a
#: handshake. All streams were open 1.0 s after the entries listened with
#: waits that doubled up to 0.4 s (small deployment, all power lost for 1.5 s).
_STARTING_S = 0.025
#: Refusals after which the process is not expected any more: starts take
#: less than 3 s.
_MOST_REFUSALS = 120
#: Tries in a dial to a machine that says nothing, and dials that take so many:
#: machines that lost power together are back within a second of each other.
_TRIES = 5
_QUICK_DIALS = 4
#: Seconds between dials to a machine that says nothing. Short, since the dial
#: itself takes its time.
_DARK_S = 0.05
#: Shortest and longest wait for a peer that was reached, but not for long, or
#: that refuses for good.
_FIRST_S = 0.05
_LONGEST_S = 0.4


class DialResult(enum.Enum):
    """How a dial ended."""

    #: A stream was open, and has been closed.
    SERVED = "served"
    #: The machine is up, and nothing listens there.
    REFUSED = "refused"
    #: Nothing answered: the machine has no power or can't be reached.
    SILENT = "silent"
    #: It was connected, but not greeted.
    UNPROVED = "unproved"


class Redial:
    """Tells how long to wait between dials to one peer."""

    def __init__(self) -> None:
        self._refusals = 0
        #: Dials in a row that nothing answered.
        self._silent = 0
        self._backoff_s = _FIRST_S

    @property
    def tries(self) -> int:
        """Connections to begin, one after the other, in the next dial."""
        return _TRIES if self._silent < _QUICK_DIALS else 1

    def wait_s(self, result: DialResult) -> float:
        """Return the least seconds until the next dial.

        :param result: how the last one ended
        """
        if result is not DialResult.REFUSED:
            self._refusals = 0
        if result is not DialResult.SILENT:
            self._silent = 0
        match result:
            case DialResult.SERVED:
                self._backoff_s = _FIRST_S
                return _FIRST_S
            case DialResult.SILENT:
                self._silent += 1
                return _DARK_S
            case DialResult.REFUSED if self._refusals < _MOST_REFUSALS:
                self._refusals += 1
                return _STARTING_S
        wait_s = self._backoff_s
        self._backoff_s = min(_LONGEST_S, 2.0 * wait_s)
        return wait_s
