"""An append-only log in memory, with the faults that the brief names."""

import dataclasses
import secrets

import anyio


@dataclasses.dataclass(frozen=True, slots=True)
class LogBehaviour:
    """How the log behaves."""

    #: It answers nothing.
    down: bool = False
    #: Seconds that each call takes.
    delay_s: float = 0.0
    #: Appends take effect, but their answers are lost.
    lose_answers: bool = False


class LogDownError(Exception):
    """The log does not answer."""


class MemoryLog:
    """The records of one stream.

    :param keep: most records kept; older ones are forgotten
    """

    def __init__(self, keep: int = 100_000) -> None:
        self._keep = keep
        self._first = 0
        self._records: list[str] = []
        self._log_id = secrets.token_hex(4)
        self._changed = anyio.Event()
        self._appends = 0
        self.behaviour = LogBehaviour()

    @property
    def end(self) -> int:
        """Offset that the next append gets."""
        return self._first + len(self._records)

    @property
    def appends(self) -> int:
        """Appends so far."""
        return self._appends

    async def append(self, data: str) -> int:
        """Append a record and return its offset.

        :raises LogDownError: if the log is down or the answer is lost
        """
        await self._behave()
        offset = self.end
        self._records.append(data)
        self._appends += 1
        self.forget(self.end - self._keep)
        self._changed.set()
        self._changed = anyio.Event()
        if self.behaviour.lose_answers:
            raise LogDownError
        return offset

    async def read(
        self, position: int, limit: int, wait_s: float
    ) -> dict[str, object]:
        """Return the page from a position on.

        :raises LogDownError: if the log is down
        """
        await self._behave()
        if position >= self.end and wait_s:
            changed = self._changed
            with anyio.move_on_after(wait_s):
                await changed.wait()
            await self._behave()
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

    def forget(self, first: int) -> None:
        """Forget the records before an offset."""
        drop = min(first, self.end) - self._first
        if drop > 0:
            del self._records[:drop]
            self._first += drop

    def replace(self) -> None:
        """Lose everything and start as another log."""
        self._records = []
        self._first = 0
        self._log_id = secrets.token_hex(4)

    async def _behave(self) -> None:
        if self.behaviour.down:
            raise LogDownError
        if self.behaviour.delay_s:
            await anyio.sleep(self.behaviour.delay_s)
