"""A simulated log store behind a link of limited bandwidth."""

import dataclasses

import anyio

from ferryledge import platform


@dataclasses.dataclass(slots=True)
class Store:
    """A log whose answers take as long as the link needs for their bytes."""

    #: Bandwidth of the reader's link.
    bytes_per_s: float
    log: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    grown: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    #: Bytes of records that were sent.
    sent_bytes: int = 0
    #: Number of next calls that get no answer.
    lost: int = 0
    #: Offset of the oldest record that is still stored, besides the newest of
    #: each key.
    first: int = 0
    #: Seconds until an answer begins.
    answer_s: float = 0.0
    #: Whether calls fail, also those that were not answered yet.
    down: bool = False

    def put(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.log.append((key, value))
        self.wake()

    def wake(self) -> None:
        """End the calls that wait for a record."""
        self.grown.set()
        self.grown = anyio.Event()

    async def read_newest(
        self,
        topic: str,
        partition: int = 0,
        after: str = "",
        rate: platform.Rate | None = None,
    ) -> platform.KeyedPage:
        """Return the newest record of each key."""
        kept = {
            key: platform.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(self.log)
            if key > after
        }
        end = len(self.log)
        records = tuple(record for record in kept.values() if record.value)
        await self._send(records, rate)
        return platform.KeyedPage(records, end, 0, end)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        max_kb: int = 1024,
        rate: platform.Rate | None = None,
    ) -> platform.KeyedPage:
        """Return records from an offset on; wait for the first of them."""
        with anyio.move_on_after(wait_s):
            while len(self.log) <= offset:
                await self.grown.wait()
        end = len(self.log)
        most = 1 if max_kb == 1 else 5
        records = tuple(
            platform.KeyedRecord(key, value, number)
            for number, (key, value) in enumerate(self.log)
            if offset <= number < offset + most
        )
        await self._send(records, rate)
        if offset < self.first:
            raise platform.RecordsGoneError(f"first is {self.first}")
        return platform.KeyedPage(records, offset + len(records), offset, end)

    async def _send(
        self,
        records: tuple[platform.KeyedRecord, ...],
        rate: platform.Rate | None,
    ) -> None:
        if self.lost:
            self.lost -= 1
            await anyio.sleep(1.5)
            raise platform.StoreError("no answer in time")
        if not self.down:
            await anyio.sleep(self.answer_s)
        if self.down:
            raise platform.StoreError("status 503")
        size = sum(len(record.value) for record in records)
        speed = self.bytes_per_s
        if rate is not None:
            speed = min(speed, rate(size))
        self.sent_bytes += size
        await anyio.sleep(size / speed)
