"""The network links of one machine, which can be cut off for a while.

A cut says nothing to either side. As with TCP, bytes and ends of connections
that it holds up are sent again after it, by a timer that doubles. Resets are
not sent again, and bytes are lost whose sender has reset its connection; the
other side learns of that only when it sends something itself.
"""

import asyncio
import contextlib
import dataclasses
import random
import time

_READ_BYTES = 64 * 1024
#: First time-out for a retransmission, in seconds.
_FIRST_RTO_S = 0.2
#: Most seconds after a cut until a connection is opened that was tried in
#: it: whoever tries gives up and tries again a few times a second.
_LONGEST_OPENING_S = 0.3


@dataclasses.dataclass(slots=True, eq=False)
class _Side:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    #: Whether it reset its connection unheard.
    is_gone: bool = False


class Link:
    """Forwards connections to one machine's addresses."""

    def __init__(self) -> None:
        self._healed = asyncio.Event()
        self._healed.set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_cut(self) -> bool:
        """Whether the machine is cut off."""
        return not self._healed.is_set()

    def cut(self) -> None:
        """Hold up everything."""
        self._healed.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._healed.set()

    async def forward(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Forward connections from one address to another."""

        async def accepted(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._connect(_Side(reader, writer), target)

        await asyncio.start_server(accepted, *listen, backlog=512)

    async def _connect(self, near: _Side, target: tuple[str, int]) -> None:
        first = asyncio.create_task(_read(near))
        if self.is_cut:
            await self._healed.wait()
            await asyncio.sleep(random.uniform(0.0, _LONGEST_OPENING_S))
            if first.done() and not first.result():
                near.writer.close()
                return
        try:
            far = _Side(*await asyncio.open_connection(*target))
        except OSError:
            near.writer.transport.abort()
            first.cancel()
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(near, far, first))
            group.create_task(
                self._pump(far, near, asyncio.create_task(_read(far)))
            )

    async def _pump(
        self, source: _Side, sink: _Side, read: asyncio.Task
    ) -> None:
        """Pass bytes on from one side to the other until either ends."""
        while True:
            data = await read
            read_at = time.monotonic()
            read = asyncio.create_task(_read(source))
            if self.is_cut:
                data, read = await self._hold(data, read, source)
                if data is not None:
                    await _sleep_until_sent_again(read_at)
            if data is None:
                if not source.is_gone:
                    sink.writer.transport.abort()
                read.cancel()
                return
            if sink.is_gone or sink.writer.is_closing():
                # Nobody knows the connection there any more.
                source.writer.transport.abort()
                read.cancel()
                return
            if not data:
                sink.writer.close()
                read.cancel()
                return
            sink.writer.write(data)
            with contextlib.suppress(OSError):
                await sink.writer.drain()

    async def _hold(
        self, data: bytes | None, read: asyncio.Task, source: _Side
    ) -> tuple[bytes | None, asyncio.Task]:
        """Collect what a side sends until the cut is over."""
        healed = asyncio.create_task(self._healed.wait())
        while data and not healed.done():
            await asyncio.wait(
                (read, healed), return_when=asyncio.FIRST_COMPLETED
            )
            if not read.done() or healed.done():
                break
            more = read.result()
            read = asyncio.create_task(_read(source))
            # After an end, the bytes before it are dropped: nobody reads them.
            data = data + more if more else more
        if data is None:
            source.is_gone = True
        await healed
        return data, read


async def _read(side: _Side) -> bytes | None:
    """Return bytes, nothing at the end, or ``None`` after a reset."""
    try:
        return await side.reader.read(_READ_BYTES)
    except OSError:
        return None


async def _sleep_until_sent_again(since: float) -> None:
    """Sleep until a packet of that time is sent again after the cut."""
    due, timeout_s = since + _FIRST_RTO_S, _FIRST_RTO_S
    while due < time.monotonic():
        timeout_s *= 2.0
        due += timeout_s
    await asyncio.sleep(due - time.monotonic())
