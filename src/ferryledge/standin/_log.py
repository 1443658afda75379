"""An append-only log in memory that can simulate faults."""

import dataclasses
import secrets

import anyio


@dataclasses.dataclass(frozen=True, slots=True)
class LogBehaviour:
    """Faults that the log simulates."""

    #: Every call fails.
    down: bool = False
    #: Delay of each call, in seconds.
    delay_s: float = 0.0
    #: Appends take effect, but fail as if the response were lost.
    lose_answers: bool = False


class LogDownError(Exception):
    """The log is down, or its response was lost."""


class MemoryLog:
    """Holds the records of one stream.

    :param max_records: most records kept; an append drops the oldest ones
    """

    def __init__(self, max_records: int = 100_000) -> None:
        self._max_records = max_records
        self._first = 0
        self._records: list[str] = []
        self._log_id = secrets.token_hex(4)
        self._changed = anyio.Event()
        self._appends = 0
        self.behaviour = LogBehaviour()

    @property
    def end(self) -> int:
        """Offset of the next append."""
        return self._first + len(self._records)

    @property
    def appends(self) -> int:
        """Number of appends so far."""
        return self._appends

    async def append(self, data: str) -> int:
        """Append a record and return its offset.

        :raises LogDownError: if the log is down or the response is lost
        """
        await self._apply_faults()
        offset = self.end
        self._records.append(data)
        self._appends += 1
        self.truncate(self.end - self._max_records)
        self._changed.set()
        self._changed = anyio.Event()
        if self.behaviour.lose_answers:
            raise LogDownError
        return offset

    async def read(
        self, position: int, limit: int, wait_s: float
    ) -> dict[str, object]:
        """Return a page of records.

        If the position is at the end, the call waits for an append.

        :param position: offset of the first record; if that was dropped, the
            page begins at the oldest record
        :param limit: most records of the page
        :param wait_s: longest wait for an append, in seconds
        :returns: the page, in the JSON form of the log's API
        :raises LogDownError: if the log is down
        """
        await self._apply_faults()
        if position >= self.end and wait_s:
            changed = self._changed
            with anyio.move_on_after(wait_s):
                await changed.wait()
            await self._apply_faults()
        start = max(position, self._first)
        begin = start - self._first
        chunk = self._records[begin : begin + limit]
        return {
            "log_id": self._log_id,
            "first": self._first,
            "end": self.end,
            "records": [
                {"offset": start + number, "data": data}
                for number, data in enumerate(chunk)
            ],
        }

    def truncate(self, first: int) -> None:
        """Drop the records before an offset."""
        count = min(first, self.end) - self._first
        if count > 0:
            del self._records[:count]
            self._first += count

    def replace(self) -> None:
        """Drop all records and restart at offset 0 under a new log id."""
        self._records = []
        self._first = 0
        self._log_id = secrets.token_hex(4)

    async def _apply_faults(self) -> None:
        if self.behaviour.down:
            raise LogDownError
        if self.behaviour.delay_s:
            await anyio.sleep(self.behaviour.delay_s)
