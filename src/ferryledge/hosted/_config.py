"""Follows the operators' configuration in the store."""

from collections import abc

import anyio
import loguru

from ferryledge import platform

#: How long one call waits for a change, in seconds: short, so that a
#: connection that was cut silently is noticed within the platform's bound.
_WAIT_S = 1.0
#: Between tries while the store does not answer, in seconds.
_RETRY_S = 0.25

Read = abc.Callable[[bytes], None]


class ConfigFollower:
    """Reads each new configuration.

    :param store: the platform's store
    :param read: takes the newest configuration's bytes
    """

    def __init__(self, store: platform.StoreClient, read: Read) -> None:
        self._store = store
        self._read = read
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
        while True:
            self._note(True)
            self._take(page.records)
            page = await self._store.read(
                platform.CONFIG_TOPIC, page.next_offset, _WAIT_S
            )

    def _take(self, records: abc.Iterable[platform.KeyedRecord]) -> None:
        for record in records:
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
