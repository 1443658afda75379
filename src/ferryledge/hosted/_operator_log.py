"""Tracks which records of the operators' log are known.

The log holds configurations and cordons. Configurations may be large and
replaced often, see :mod:`ferryledge.hosted._config_pace`. A list of the newest
record of each key that sorts after the configuration's is small. It contains
every cordon and the end of the log, so replaced records need not be read.

Configurations and cordons are known up to different offsets: a configuration
that another process delivers comes without the cordons before it.
"""

from collections import abc

from ferryledge import platform
from ferryledge import wire


class OperatorLog:
    """Tracks how far the log is known, and the cordoned zones."""

    def __init__(self) -> None:
        self._config_end = 0
        self._zones: set[str] = set()
        self._zones_end = 0
        #: For each cordon that ended, the range of offsets that contains the
        #: record of its end. Such records have empty values, and lists omit
        #: them.
        self._removals: list[range] = []

    @property
    def config_end(self) -> int:
        """Offset before which there is no newer configuration."""
        return self._config_end

    @property
    def next_offset(self) -> int:
        """First offset of a record that may have to be applied."""
        return min(self._config_end, self._zones_end)

    @property
    def cordons_behind(self) -> bool:
        """Whether the cordons are known less far than configurations."""
        return self._zones_end < self._config_end

    @property
    def cordons(self) -> wire.CordonedZones:
        """The cordoned zones, with the log offset as their version."""
        return wire.CordonedZones(self._zones_end, tuple(sorted(self._zones)))

    def apply_others(self, page: platform.KeyedPage) -> bool:
        """Apply the newest record of each key except the configuration's.

        :return: whether the cordoned zones were updated
        """
        if page.next_offset <= self._zones_end:
            return False
        # Cordons that are not listed have ended.
        zones = set(_cordoned_zones(page.records))
        # A list that grew between its pages may lack records that were
        # removed after its first page.
        if page.end == page.next_offset:
            removal = range(self._zones_end, page.end)
            self._removals += [removal] * len(self._zones - zones)
        self._zones = zones
        self._zones_end = page.next_offset
        return True

    def apply_page(self, page: platform.KeyedPage) -> bool:
        """Apply the cordons among consecutive records of the log.

        :return: whether the cordoned zones were updated
        """
        # Records between the known ones and these may hold cordons.
        if page.first_offset > self._zones_end:
            return False
        if page.next_offset <= self._zones_end:
            return False
        for record in page.records:
            self._apply_record(record)
        self._zones_end = page.next_offset
        return True

    def _apply_record(self, record: platform.KeyedRecord) -> None:
        zone = platform.cordoned_zone(record.key)
        if zone is None:
            return
        if record.value:
            self._zones.add(zone)
        else:
            self._zones.discard(zone)

    def skip_to(self, offset: int) -> None:
        """Record that no newer configuration precedes an offset."""
        if offset <= self._config_end:
            return
        self._config_end = offset
        self._removals = [
            removal for removal in self._removals if removal.start >= offset
        ]

    def skip_page(self, page: platform.KeyedPage) -> None:
        """Record that consecutive records hold no newer configuration."""
        # Records between the known ones and these may be configurations.
        if page.first_offset <= self._config_end:
            self.skip_to(page.next_offset)

    def count_unseen(self, page: platform.KeyedPage) -> int:
        """Return the number of new records that a list does not account for.

        Any of them may be a configuration.

        :param page: the newest record of each key except the configuration's
        """
        offsets = range(self._config_end, page.next_offset)
        listed = sum(record.offset in offsets for record in page.records)
        removed = sum(
            removal.start >= offsets.start and removal.stop <= offsets.stop
            for removal in self._removals
        )
        return max(0, len(offsets) - listed - removed)

    def unlisted_offsets(self, page: platform.KeyedPage) -> abc.Iterator[int]:
        """Yield the offsets that may hold a newer configuration, newest first.

        :param page: the newest record of each key except the configuration's
        """
        listed = {record.offset for record in page.records}
        for offset in reversed(range(self._config_end, page.next_offset)):
            if offset not in listed:
                yield offset


def _cordoned_zones(
    records: abc.Iterable[platform.KeyedRecord],
) -> abc.Iterator[str]:
    for record in records:
        zone = platform.cordoned_zone(record.key)
        if zone is not None and record.value:
            yield zone


def newest_configs(
    records: abc.Sequence[platform.KeyedRecord],
) -> abc.Iterator[platform.KeyedRecord]:
    """Yield the configurations among consecutive records, newest first."""
    for record in reversed(records):
        if record.key == platform.CONFIG_KEY and record.value:
            yield record
