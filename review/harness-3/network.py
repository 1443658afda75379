"""A network path on loopback that can be cut for a while.

While it is cut, bytes of both sides are held up, and so are new connections.
What is held up arrives when the cut ends, unless its sender has closed the
connection by then: that is lost with all that it sent during the cut, and the
other side sees nothing of it until it sends something itself.
"""

import asyncio

_CHUNK = 65536


class Cut:
    """Whether the paths that share it are cut."""

    def __init__(self):
        self._healed = asyncio.Event()
        self._healed.set()

    @property
    def active(self):
        return not self._healed.is_set()

    def begin(self):
        self._healed.clear()

    def end(self):
        self._healed.set()

    async def wait_until_healed(self):
        await self._healed.wait()


class _Side:
    """One side of a connection, with what it sent and was not delivered."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_gone = False
        self.was_lost = False


class Path:
    """A path to an address; connections to its own address are passed on."""

    def __init__(self, cut):
        self._cut = cut
        self._server = None
        self._tasks = set()

    async def start(self, host, port, to_host, to_port):
        async def accept(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._connect(reader, writer, to_host, to_port)
            except (OSError, asyncio.CancelledError):
                writer.transport.abort()
            finally:
                self._tasks.discard(task)

        self._server = await asyncio.start_server(
            accept, host, port, backlog=512
        )

    async def _connect(self, reader, writer, to_host, to_port):
        await self._cut.wait_until_healed()
        if reader.at_eof() or writer.transport.is_closing():
            writer.transport.abort()
            return
        near = _Side(reader, writer)
        far = _Side(*await asyncio.open_connection(to_host, to_port))
        await asyncio.gather(self._pump(near, far), self._pump(far, near))

    async def _pump(self, source, target):
        """Pass on what a side sends, until it has gone."""
        while True:
            try:
                data = await source.reader.read(_CHUNK)
            except ConnectionError:
                data = b""
            if not data:
                source.is_gone = True
                source.was_lost = self._cut.active
                if not source.was_lost and not target.was_lost:
                    target.writer.transport.abort()
                return
            if self._cut.active:
                more = asyncio.create_task(self._hold(source))
                await self._cut.wait_until_healed()
                more.cancel()
                held, is_gone = await more_result(more, source)
                if is_gone:
                    source.is_gone = source.was_lost = True
                    source.writer.transport.abort()
                    return
                data += held
            if target.is_gone:
                source.writer.transport.abort()
                return
            try:
                target.writer.write(data)
                await target.writer.drain()
            except ConnectionError:
                source.writer.transport.abort()
                return

    async def _hold(self, source):
        """Collect what a side sends during a cut, or note that it has gone."""
        source.held = b""
        source.left = False
        while True:
            try:
                data = await source.reader.read(_CHUNK)
            except ConnectionError:
                data = b""
            if not data:
                source.left = True
                return
            source.held += data


async def more_result(task, source):
    """Wait for the end of a collector; return its bytes and its verdict."""
    try:
        await task
    except asyncio.CancelledError:
        pass
    return getattr(source, "held", b""), getattr(source, "left", False)
