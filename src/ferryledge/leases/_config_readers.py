"""Which agent reads configurations for an entry.

Load pattern: as in :mod:`ferryledge.leases._config_exchange`. The store gives
a configuration only whole. An entry whose link that would hold up for longer
than its runs bear leaves it to an agent with a wide link, which sends what
changed. The entry goes on looking whether there is something newer, and reads
that by itself if the agent does not bring it.
"""

import zlib

#: Bytes of a large configuration: one of 1,500 routes.
_LARGE_BYTES = 256 * 1024
#: Seconds that one may take of the link: half a grant.
_MOST_S = 0.3


def is_narrow_link(link_bytes_per_s: float) -> bool:
    """Return whether a large configuration holds up a link for too long.

    :param link_bytes_per_s: what it carries; infinite if that is unknown
    """
    return _MOST_S * link_bytes_per_s < _LARGE_BYTES


class ConfigReaders:
    """Chooses one agent among those that read for others.

    :param wanted: whether this entry wants one
    """

    def __init__(self, wanted: bool) -> None:
        self._wanted = wanted
        #: How often each failed to bring a configuration in time.
        self._failures: dict[str, int] = {}
        self._current = ""

    @property
    def current(self) -> str:
        """The agent that reads for this entry; empty is none."""
        return self._current

    def join(self, name: str) -> bool:
        """Take in an agent that reads for others.

        :return: whether it is to be asked from now on
        """
        self._failures.setdefault(name, 0)
        return not self._current and self._choose()

    def leave(self, name: str) -> bool:
        """Take in that an agent's stream broke.

        :return: whether another one is to be asked from now on
        """
        self._failures.pop(name, None)
        return name == self._current and self._choose()

    def fail(self) -> bool:
        """Take in that the present one missed a configuration.

        :return: whether another one is to be asked from now on
        """
        if not self._current:
            return False
        self._failures[self._current] += 1
        return self._choose()

    def _choose(self) -> bool:
        if not self._wanted or not self._failures:
            self._current = ""
            return False
        # Alike at all entries, so that few agents read.
        self._current = min(self._failures, key=self._rank)
        return True

    def _rank(self, name: str) -> tuple[int, int]:
        return self._failures[name], zlib.crc32(name.encode())
