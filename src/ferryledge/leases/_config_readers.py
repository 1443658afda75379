"""Chooses the agent that reads configurations for an entry.

The store serves only whole configurations. An entry with a narrow link lets an
agent with a wide link read them and receives the differences, see
:mod:`ferryledge.leases._config_exchange`. The entry still polls the store for
newer versions, and reads one itself if the agent does not deliver it in time.
"""

import zlib

#: Size of a large configuration, in bytes: about 1,500 routes.
_LARGE_BYTES = 256 * 1024
#: Longest time that its transfer may occupy the link, in seconds. It must be
#: well below the lifetime of a grant, which is renewed over the same link;
#: it is half of that.
_MAX_TRANSFER_S = 0.3


def is_narrow_link(link_bytes_per_s: float) -> bool:
    """Return whether a large configuration would block a link for too long.

    :param link_bytes_per_s: the link's bytes per second; infinite if unknown
    """
    return _MAX_TRANSFER_S * link_bytes_per_s < _LARGE_BYTES


class ConfigReaders:
    """Chooses one of the agents that offer to read configurations.

    :param is_needed: whether this entry needs a reader
    """

    def __init__(self, is_needed: bool) -> None:
        self._is_needed = is_needed
        #: How often each agent failed to deliver a configuration in time.
        self._failures: dict[str, int] = {}
        self._current = ""

    @property
    def current(self) -> str:
        """The agent that reads for this entry; empty if there is none."""
        return self._current

    def join(self, name: str) -> bool:
        """Add an agent that offers to read configurations.

        :return: whether it was chosen as the current reader
        """
        self._failures.setdefault(name, 0)
        return not self._current and self._choose()

    def leave(self, name: str) -> bool:
        """Remove an agent whose stream broke.

        :return: whether another agent was chosen as the current reader
        """
        self._failures.pop(name, None)
        return name == self._current and self._choose()

    def note_failure(self) -> bool:
        """Count a failure of the current reader and choose again.

        :return: whether an agent was chosen; it may be the same one
        """
        if not self._current:
            return False
        self._failures[self._current] += 1
        return self._choose()

    def _choose(self) -> bool:
        if not self._is_needed or not self._failures:
            self._current = ""
            return False
        # All entries rank agents alike, so that few agents read.
        self._current = min(self._failures, key=self._rank)
        return True

    def _rank(self, name: str) -> tuple[int, int]:
        return self._failures[name], zlib.crc32(name.encode())
