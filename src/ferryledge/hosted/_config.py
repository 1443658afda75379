"""Follows what operators write into the store."""

from collections import abc
import contextlib

import anyio
import loguru

from ferryledge.hosted import _config_pace
from ferryledge.hosted import _operator_log
from ferryledge import platform
from ferryledge import wire

#: How long one call waits for a change, in seconds: short, so that a
#: connection that was cut silently is noticed within the platform's bound.
_WAIT_S = 1.0
#: Between tries while the store does not answer, in seconds.
_RETRY_S = 0.25
#: Between looks at cordons while a configuration is read, in seconds.
_LOOK_S = 0.4
#: What is asked for of the log at once, in kB: one record, however large.
_ONE_RECORD_KB = 1
#: Records that are looked at one by one, from the log's end; more cost more
#: calls than a list does bytes.
_MOST_STEPS = 8

Read = abc.Callable[[bytes], None]
Cordoned = abc.Callable[[wire.CordonedZones], None]


class ConfigMeter:
    """Counts what is read of configurations; this one nothing."""

    def read(self, size: int, took_s: float) -> None:
        """Count a version that was read."""

    def replaced(self, count: int) -> None:
        """Count records that were replaced before they were read."""


class ConfigBringer:
    """Another process that may bring configurations; this one is none."""

    @property
    def present(self) -> bool:
        """Whether configurations are brought."""
        return False

    def missed(self) -> None:
        """Note that one was not brought in time."""


class OperatorFollower:
    """Reads the newest configuration and which zones are cordoned.

    Cordons come before a configuration that was read with them: nothing may
    be ordered by it in a zone that takes no new work. While a configuration
    is read, the list of cordons is looked at beside it.

    :param store: the platform's store
    :param read: takes the newest configuration's bytes; raises a
        :exc:`platform.ConfigError` if they are none, which changes nothing
    :param cordoned: takes the cordoned zones, numbered by the log's end
    :param pace: how fast and how often configurations are read
    :param bringer: reads them for this process while it is there
    :param meter: counts what is read; none is nowhere
    """

    def __init__(
        self,
        store: platform.StoreClient,
        read: Read,
        cordoned: Cordoned,
        pace: _config_pace.ConfigPace,
        bringer: ConfigBringer | None = None,
        meter: ConfigMeter | None = None,
    ) -> None:
        self._store = store
        self._read = read
        self._cordoned = cordoned
        self._pace = pace
        self._bringer = bringer or ConfigBringer()
        #: Set when a configuration is brought.
        self._brought = anyio.Event()
        #: Ends a read that is in vain, and up to where the log is read.
        self._reading: anyio.CancelScope | None = None
        self._reading_end = 0
        self._meter = meter or ConfigMeter()
        self._log = _operator_log.OperatorLog()
        self._up = True
        #: Set while a configuration is read, or the next one is put off.
        self._busy = anyio.Event()
        #: When the last answer with a configuration began, and its bytes.
        self._began_at = float("-inf")
        self._size = 0

    @property
    def log_end(self) -> int:
        """Up to where the log holds no newer configuration."""
        return self._log.next_offset

    def bring(self, log_end: int, size: int) -> None:
        """Take in that a configuration was brought.

        :param log_end: up to where the log holds no newer one
        :param size: its bytes
        """
        self._log.skip_to(log_end)
        self._size = size
        self._brought.set()
        self._brought = anyio.Event()
        if self._reading is not None and log_end >= self._reading_end:
            self._reading.cancel()

    async def run(self) -> None:
        """Follow for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_cordons)
            while True:
                try:
                    await self._follow()
                except platform.RecordsGoneError:
                    continue
                except platform.StoreError as exc:
                    self._rest()
                    self._note(False, str(exc))
                    await anyio.sleep(_RETRY_S)

    async def _follow(self) -> None:
        while True:
            behind = await self._catch_up()
            self._note(True)
            if not behind:
                self._rest()
            if not behind and self._bringer.present:
                await anyio.sleep(self._pace.look_every_s())
                continue
            if not behind:
                while await self._is_quiet():
                    self._note(True)
            # The link is left to what runs until the next one is due.
            due_at = self._began_at + self._pace.next_after_s(self._size)
            await anyio.sleep_until(due_at)

    def _rest(self) -> None:
        """Note that no configuration holds up the log."""
        # Whoever waits for it to be set waits for this very event.
        if self._busy.is_set():
            self._busy = anyio.Event()

    async def _is_quiet(self) -> bool:
        """Wait for a change, and read it if it is the only one.

        :return: whether there was none
        """
        page = await self._store.read(
            platform.CONFIG_TOPIC,
            self._log.next_offset,
            _WAIT_S,
            _ONE_RECORD_KB,
            self._begin,
        )
        self._take(page)
        return page.end <= self._log.next_offset and not page.records

    async def _catch_up(self) -> bool:
        """Read the newest configuration if there may be a newer one.

        :return: whether there may have been one
        """
        others = await self._look()
        if self._log.unknown(others) and self._bringer.present:
            await self._wait_for(others.end)
        unknown = self._log.unknown(others)
        if unknown:
            self._meter.replaced(unknown - 1)
            self._reading_end = others.end
            with anyio.CancelScope() as self._reading:
                await self._read_last(others.end)
            self._reading = None
        self._log.skip_to(others.end)
        return unknown > 0

    async def _wait_for(self, end: int) -> None:
        """Wait until a configuration is brought, as long as time allows."""
        wait_s = self._pace.bring_s() - self._pace.look_every_s()
        with anyio.move_on_after(wait_s):
            while self._log.next_offset < end:
                await self._brought.wait()
            return
        self._bringer.missed()

    async def _look(self) -> platform.KeyedPage:
        """Read what stands under all other keys: they are small."""
        page = await self._store.newest(
            platform.CONFIG_TOPIC, after=platform.CONFIG_KEY
        )
        if self._log.list_others(page):
            self._cordoned(self._log.cordons)
        return page

    async def _read_last(self, end: int) -> None:
        """Read the log's last configuration, or the newest of all keys.

        Most changes are of the configuration; as a record it takes a quarter
        less than in a list. Other records are small.
        """
        first = max(self._log.next_offset, end - _MOST_STEPS)
        with contextlib.suppress(platform.RecordsGoneError):
            for offset in range(end - 1, first - 1, -1):
                if await self._read_at(offset):
                    return
            if first == self._log.next_offset:
                return
        page = await self._store.newest(
            platform.CONFIG_TOPIC, rate=self._begin
        )
        if self._log.list_all(page):
            self._cordoned(self._log.cordons)
        self._hand_on(page)

    async def _read_at(self, offset: int) -> bool:
        """Read one record.

        :return: whether it is a configuration
        """
        page = await self._store.read(
            platform.CONFIG_TOPIC,
            offset,
            0.0,
            _ONE_RECORD_KB,
            self._begin,
        )
        return self._take(page)

    def _take(self, page: platform.KeyedPage) -> bool:
        """Hand on what records tell.

        :return: whether they hold a configuration that can be read
        """
        if self._log.read(page):
            self._cordoned(self._log.cordons)
        return self._hand_on(page)

    def _hand_on(self, page: platform.KeyedPage) -> bool:
        data = _operator_log.newest_config(page.records)
        if data is None:
            return False
        self._meter.read(len(data), anyio.current_time() - self._began_at)
        try:
            self._read(data)
        except platform.ConfigError as exc:
            loguru.logger.error("{}", exc, step="config")
            return False
        return True

    def _begin(self, size: int) -> float:
        """Return how fast an answer is read that begins now."""
        self._began_at = anyio.current_time()
        self._size = size
        if self._pace.read_s(size) > _LOOK_S:
            self._busy.set()
        return self._pace.rate(size)

    async def _watch_cordons(self) -> None:
        """Look at cordons while a configuration holds up the log."""
        while True:
            await self._busy.wait()
            await anyio.sleep(_LOOK_S)
            with contextlib.suppress(platform.StoreError):
                await self._look()

    def _note(self, up: bool, detail: str = "") -> None:
        """Log when the store is lost or regained."""
        if up == self._up:
            return
        self._up = up
        if up:
            loguru.logger.info("store regained", step="config")
        else:
            loguru.logger.warning("store lost: {}", detail, step="config")
