"""Follows what operators write into the store."""

from collections import abc

import anyio
import loguru

from ferryledge import platform
from ferryledge import wire

#: How long one call waits for a change, in seconds: short, so that a
#: connection that was cut silently is noticed within the platform's bound.
_WAIT_S = 1.0
#: Between tries while the store does not answer, in seconds.
_RETRY_S = 0.25

Read = abc.Callable[[bytes], None]
Cordoned = abc.Callable[[wire.CordonedZones], None]


class OperatorFollower:
    """Reads each new configuration and which zones are cordoned.

    Cordons come before a configuration that was read with them: nothing may
    be ordered by it in a zone that takes no new work.

    :param store: the platform's store
    :param read: takes the newest configuration's bytes
    :param cordoned: takes the cordoned zones, numbered by the log's end
    """

    def __init__(
        self, store: platform.StoreClient, read: Read, cordoned: Cordoned
    ) -> None:
        self._store = store
        self._read = read
        self._cordoned = cordoned
        self._zones: set[str] = set()
        self._up = True

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._follow()
            except platform.RecordsGoneError:
                continue
            except platform.StoreError as exc:
                self._note(False, str(exc))
                await anyio.sleep(_RETRY_S)

    async def _follow(self) -> None:
        page = await self._store.newest(platform.CONFIG_TOPIC)
        # Zones that are no longer listed have been taken back.
        self._zones.clear()
        self._take(page)
        while True:
            self._note(True)
            page = await self._store.read(
                platform.CONFIG_TOPIC, page.next_offset, _WAIT_S
            )
            if page.records:
                self._take(page)

    def _take(self, page: platform.KeyedPage) -> None:
        for record in page.records:
            zone = platform.cordoned_zone(record.key)
            if zone is not None and record.value:
                self._zones.add(zone)
            elif zone is not None:
                self._zones.discard(zone)
        zones = tuple(sorted(self._zones))
        self._cordoned(wire.CordonedZones(page.next_offset, zones))
        for record in page.records:
            if record.key == platform.CONFIG_KEY and record.value:
                self._read(record.value)

    def _note(self, up: bool, detail: str = "") -> None:
        """Log when the store is lost or regained."""
        if up == self._up:
            return
        self._up = up
        if up:
            loguru.logger.info("store regained", step="config")
        else:
            loguru.logger.warning("store lost: {}", detail, step="config")
