"""Which records of the operators' log are known, and which are to be read.

Load pattern: as in :mod:`ferryledge.hosted._config_pace`. A list of all keys
behind the configuration's is small and tells of every cordon and of the
log's end, so nothing that is replaced has to be read for that.
"""

from collections import abc

from ferryledge import platform
from ferryledge import wire


class OperatorLog:
    """How far the log is known, and the cordons that it tells of."""

    def __init__(self) -> None:
        self._zones: set[str] = set()
        self._zones_at = 0
        self._next = 0
        #: Cordons found to be ended since; no list has such a record.
        self._ended = 0

    @property
    def next_offset(self) -> int:
        """The first offset that may hold a newer configuration."""
        return self._next

    @property
    def cordons(self) -> wire.CordonedZones:
        """The cordoned zones, numbered by how far the log was read."""
        return wire.CordonedZones(self._zones_at, tuple(sorted(self._zones)))

    def list_others(self, page: platform.KeyedPage) -> bool:
        """Take in the newest record of each key but the configuration's.

        :return: whether it tells more of cordons than what is known
        """
        if page.end <= self._zones_at:
            return False
        # Zones that are not listed have been taken back.
        zones = set(_cordoned(page.records))
        self._ended += len(self._zones - zones)
        self._zones = zones
        self._zones_at = page.end
        return True

    def list_all(self, page: platform.KeyedPage) -> bool:
        """Take in the newest record of each key.

        :return: whether it tells more of cordons than what is known
        """
        self.skip_to(page.end)
        return self.list_others(page)

    def read(self, page: platform.KeyedPage) -> bool:
        """Take in records as they stand in the log.

        :return: whether they tell more of cordons than what is known
        """
        self.skip_to(page.next_offset)
        # What lies before them may hold cordons too.
        if page.first_offset > self._zones_at:
            return False
        if page.next_offset <= self._zones_at:
            return False
        for record in page.records:
            self._read_one(record)
        self._zones_at = page.next_offset
        return True

    def _read_one(self, record: platform.KeyedRecord) -> None:
        zone = platform.cordoned_zone(record.key)
        if zone is None:
            return
        if record.value:
            self._zones.add(zone)
        else:
            self._zones.discard(zone)

    def skip_to(self, offset: int) -> None:
        """Note that no newer configuration stands before an offset."""
        if offset > self._next:
            self._next = offset
            self._ended = 0

    def unknown(self, page: platform.KeyedPage) -> int:
        """Return how many new records a list of the other keys leaves out.

        One of them may be a configuration.

        :param page: the newest record of each key but the configuration's
        """
        listed = sum(record.offset >= self._next for record in page.records)
        return max(0, page.end - self._next - listed - self._ended)


def _cordoned(
    records: abc.Iterable[platform.KeyedRecord],
) -> abc.Iterator[str]:
    for record in records:
        zone = platform.cordoned_zone(record.key)
        if zone is not None and record.value:
            yield zone


def newest_config(
    records: abc.Iterable[platform.KeyedRecord],
) -> bytes | None:
    """Return the last configuration among records, or none."""
    found = None
    for record in records:
        if record.key == platform.CONFIG_KEY and record.value:
            found = record.value
    return found
