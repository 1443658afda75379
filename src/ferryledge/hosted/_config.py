"""Follows the log of configurations and cordons in the store."""

from collections import abc
import contextlib
import itertools

import anyio
import loguru

from ferryledge.hosted import _config_pace
from ferryledge.hosted import _operator_log
from ferryledge import platform
from ferryledge import wire

#: Seconds that one call waits for a change: short, so that a silently broken
#: connection is detected within the platform's bound.
_WAIT_S = 1.0
#: Seconds between attempts while the store does not answer.
_RETRY_S = 0.25
#: Seconds between reads of the cordons while a configuration is read.
_CORDON_POLL_S = 0.4
#: Size limit of a read, in kB, that returns one record of any size.
_SINGLE_RECORD_KB = 1
#: Maximum number of records read one by one from the log's end; with more,
#: one list is cheaper than the calls.
_MAX_SINGLE_READS = 8

OnConfig = abc.Callable[[bytes], None]
OnCordons = abc.Callable[[wire.CordonedZones], None]


class ConfigMeter:
    """Receives counts of configuration reads; the default ignores them."""

    def read(self, size: int, took_s: float) -> None:
        """Count a version that was read."""

    def replaced(self, count: int) -> None:
        """Count records that were replaced before they were read."""


class RemoteReader:
    """Reads configurations for this process; the default is unavailable."""

    @property
    def available(self) -> bool:
        """Whether another process delivers configurations."""
        return False

    def timed_out(self) -> None:
        """Handle a configuration that was not delivered in time."""


class OperatorFollower:
    """Reads the newest configuration and the cordoned zones.

    Cordons are reported before a configuration of the same read, so that no
    task is ordered in a zone that takes no new work. While a large
    configuration is read, the cordons are polled concurrently.

    :param store: the platform's store
    :param on_config: called with the bytes of the newest configuration; raises
        :exc:`platform.ConfigError` if they are invalid, which is logged
    :param on_cordons: called with the cordoned zones, with the log's end as
        their version
    :param pace: limits the rate and the frequency of reads
    :param remote: reads configurations for this process while available;
        defaults to an unavailable one
    :param meter: counts reads; defaults to one that ignores them
    """

    def __init__(
        self,
        store: platform.StoreClient,
        on_config: OnConfig,
        on_cordons: OnCordons,
        pace: _config_pace.ConfigPace,
        remote: RemoteReader | None = None,
        meter: ConfigMeter | None = None,
    ) -> None:
        self._store = store
        self._on_config = on_config
        self._on_cordons = on_cordons
        self._pace = pace
        self._remote = remote or RemoteReader()
        #: Set when a configuration is delivered.
        self._delivered = anyio.Event()
        #: Cancels the current read, which covers the log up to the offset.
        self._read_scope: anyio.CancelScope | None = None
        self._read_end = 0
        self._meter = meter or ConfigMeter()
        self._log = _operator_log.OperatorLog()
        self._log_end = 0
        self._store_up = True
        #: Set while a slow read, or the pause after it, delays the log.
        self._busy = anyio.Event()
        #: Start and size of the last response to a read.
        self._read_began_at = float("-inf")
        self._size = 0

    @property
    def log_end(self) -> int:
        """Offset up to which the last reported configuration is current.

        The log holds no newer one before it.
        """
        return self._log_end

    def on_delivered(self, log_end: int, size: int) -> None:
        """Handle a configuration that was delivered and is now in force.

        It may come from the remote reader or from this follower.

        :param log_end: offset before which the log holds no newer one
        :param size: bytes of the configuration
        """
        self._log.skip_to(log_end)
        self._size = size
        self._delivered.set()
        self._delivered = anyio.Event()
        if self._read_scope is not None and log_end >= self._read_end:
            self._read_scope.cancel()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_cordons)
            while True:
                try:
                    await self._follow()
                except platform.RecordsGoneError:
                    continue
                except platform.StoreError as exc:
                    self._mark_idle()
                    self._log_store_state(False, str(exc))
                    await anyio.sleep(_RETRY_S)

    async def _follow(self) -> None:
        while True:
            behind = await self._catch_up()
            self._log_store_state(True)
            if behind:
                await self._wait_until_due()
                continue
            self._mark_idle()
            if self._remote.available:
                await anyio.sleep(self._pace.poll_interval_s())
            elif self._log.cordons_behind:
                # A wait would return the delivered configuration as well.
                await anyio.sleep(_RETRY_S)
            else:
                while await self._is_unchanged():
                    self._log_store_state(True)
                await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Leave the link to other traffic until the next read is due."""
        interval_s = self._pace.read_interval_s(self._size)
        await anyio.sleep_until(self._read_began_at + interval_s)

    def _mark_idle(self) -> None:
        """Note that no configuration read delays the log."""
        # An event that is not set may have a waiter and must be kept.
        if self._busy.is_set():
            self._busy = anyio.Event()

    async def _is_unchanged(self) -> bool:
        """Wait for a change and read one record of it.

        :return: whether nothing is left to read
        """
        page = await self._store.read(
            platform.CONFIG_TOPIC,
            self._log.next_offset,
            _WAIT_S,
            _SINGLE_RECORD_KB,
            self._start_read,
        )
        self._process(page)
        if page.records or self._log.cordons_behind:
            return False
        return page.end <= self._log.next_offset

    async def _catch_up(self) -> bool:
        """Read the newest configuration if the log may hold a new one.

        :return: whether it might have held one
        """
        others = await self._read_cordons()
        if self._log.count_unseen(others) and self._remote.available:
            await self._wait_for_delivery(others)
        unseen = self._log.count_unseen(others)
        if not unseen:
            self._log.skip_to(others.next_offset)
            return False
        self._read_end = others.next_offset
        with anyio.CancelScope() as self._read_scope:
            await self._read_newest(others)
        self._read_scope = None
        self._meter.replaced(unseen - 1)
        return True

    async def _wait_for_delivery(self, others: platform.KeyedPage) -> None:
        """Wait until a configuration is delivered or the timeout expires.

        :param others: the newest record of each other key
        """
        wait_s = self._pace.delivery_timeout_s() - self._pace.poll_interval_s()
        with anyio.move_on_after(wait_s):
            while self._log.count_unseen(others):
                await self._delivered.wait()
            return
        self._remote.timed_out()

    async def _read_cordons(self) -> platform.KeyedPage:
        """Read the records of all other keys, which are small."""
        page = await self._store.read_newest(
            platform.CONFIG_TOPIC, after=platform.CONFIG_KEY
        )
        if self._log.apply_others(page):
            self._on_cordons(self._log.cordons)
        return page

    async def _read_newest(self, others: platform.KeyedPage) -> None:
        """Read the newest configuration by record, or else list all keys.

        The last records are tried first: one of them is usually the
        configuration, and a record takes fewer bytes than a list.

        :param others: the newest record of each other key
        """
        offsets = self._log.unlisted_offsets(others)
        with contextlib.suppress(platform.RecordsGoneError):
            for offset in itertools.islice(offsets, _MAX_SINGLE_READS):
                if await self._read_at(offset, others.next_offset):
                    return
            if next(offsets, None) is None:
                self._log.skip_to(others.next_offset)
                return
        page = await self._store.read_newest(
            platform.CONFIG_TOPIC, rate=self._start_read
        )
        if self._log.apply_others(page):
            self._on_cordons(self._log.cordons)
        if self._apply_configs(page.records, page.next_offset):
            return
        # A list holds at most one configuration.
        for invalid in _operator_log.newest_configs(page.records):
            await self._read_before(invalid.offset, page)
        self._log.skip_to(page.next_offset)

    async def _read_before(self, end: int, page: platform.KeyedPage) -> None:
        """Read the newest valid configuration before an invalid one.

        :param end: offset of the invalid one
        :param page: the newest record of each key
        """
        offsets = self._log.unlisted_offsets(page)
        older = (offset for offset in offsets if offset < end)
        with contextlib.suppress(platform.RecordsGoneError):
            for offset in older:
                if await self._read_at(offset, page.next_offset):
                    return

    async def _read_at(self, offset: int, end: int) -> bool:
        """Read one record.

        :param end: offset up to which no configuration follows the record
        :return: whether it is a valid configuration
        :raises platform.RecordsGoneError: if the store does not return it
        """
        page = await self._store.read(
            platform.CONFIG_TOPIC,
            offset,
            0.0,
            _SINGLE_RECORD_KB,
            self._start_read,
        )
        if not page.records:
            raise platform.RecordsGoneError(f"no record at offset {offset}")
        return self._process(page, end)

    def _process(self, page: platform.KeyedPage, end: int = 0) -> bool:
        """Report the cordons and the configuration in consecutive records.

        :param end: offset up to which no configuration follows the page, if
            it is beyond the page
        :return: whether the page holds a valid configuration
        """
        if self._log.apply_page(page):
            self._on_cordons(self._log.cordons)
        if self._apply_configs(page.records, max(end, page.next_offset)):
            return True
        self._log.skip_page(page)
        return False

    def _apply_configs(
        self, records: abc.Sequence[platform.KeyedRecord], end: int
    ) -> bool:
        """Report the newest valid configuration among records.

        :param end: offset up to which no other configuration follows them
        :return: whether there is one
        """
        return any(
            self._apply_config(record.value, end)
            for record in _operator_log.newest_configs(records)
        )

    def _apply_config(self, data: bytes, end: int) -> bool:
        """Report a configuration; return whether it is valid."""
        self._meter.read(len(data), anyio.current_time() - self._read_began_at)
        self._log_end = end
        try:
            self._on_config(data)
        except platform.ConfigError as exc:
            loguru.logger.error("{}", exc, step="config")
            return False
        self._log.skip_to(end)
        return True

    def _start_read(self, size: int) -> float:
        """Note the start of a response and return the rate to read it at."""
        self._read_began_at = anyio.current_time()
        self._size = size
        if self._pace.read_s(size) > _CORDON_POLL_S:
            self._busy.set()
        return self._pace.rate(size)

    async def _watch_cordons(self) -> None:
        """Poll the cordons while a configuration read delays the log."""
        while True:
            await self._busy.wait()
            await anyio.sleep(_CORDON_POLL_S)
            with contextlib.suppress(platform.StoreError):
                await self._read_cordons()

    def _log_store_state(self, up: bool, detail: str = "") -> None:
        """Log when the store becomes unavailable or available again."""
        if up == self._store_up:
            return
        self._store_up = up
        if up:
            loguru.logger.info(
                "store available again: configurations known to offset {},"
                " cordons to {}",
                self._log.config_end,
                self._log.cordons.version,
                step="config",
            )
        else:
            loguru.logger.warning(
                "store unavailable: {}", detail, step="config"
            )
