"""A network path on loopback that can be cut for a while.

While it is cut, bytes of both sides are held up, and so are new connections
and the ends of connections. They arrive when the cut ends. What a side sent
during the cut is lost if it resets the connection meanwhile: the other side
sees nothing of that, until it sends something and is reset in turn.
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
        """Whether nothing passes now."""
        return not self._healed.is_set()

    def begin(self):
        """Let nothing pass until the end."""
        self._healed.clear()

    def end(self):
        """Let everything pass again."""
        self._healed.set()

    async def wait_until_healed(self):
        """Return once everything passes."""
        await self._healed.wait()


class _Side:
    """One side of a connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        #: What it sent and was not delivered; ends with ``None`` if it has
        #: ended the connection.
        self.sent = asyncio.Queue()
        #: Whether it reset the connection.
        self.is_gone = False
        #: Whether it ended or reset the connection.
        self.has_ended = False

    async def read(self, cut):
        """Collect what it sends."""
        while True:
            try:
                data = await self.reader.read(_CHUNK)
            except ConnectionError:
                self.is_gone = self.has_ended = True
                if cut.active:
                    return  # Nobody learns of it.
                data = b""
            self.has_ended = self.has_ended or not data
            self.sent.put_nowait(data or None)
            if not data:
                return


class Path:
    """A path to an address; connections to its own address are passed on."""

    def __init__(self, cut):
        self._cut = cut
        self._server = None

    async def start(self, host, port, to_host, to_port):
        """Pass on connections from one address to the other."""

        async def accept(reader, writer):
            try:
                await self._connect(reader, writer, to_host, to_port)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.transport.abort()

        self._server = await asyncio.start_server(
            accept, host, port, backlog=512
        )

    async def _connect(self, reader, writer, to_host, to_port):
        near = _Side(reader, writer)
        reading = asyncio.create_task(near.read(self._cut))
        try:
            await self._cut.wait_until_healed()
            if near.has_ended:
                return  # It gave up before it was connected.
            far = _Side(*await asyncio.open_connection(to_host, to_port))
            tasks = [
                asyncio.create_task(work)
                for work in (
                    far.read(self._cut),
                    self._deliver(near, far),
                    self._deliver(far, near),
                )
            ]
            try:
                await asyncio.gather(*tasks)
            finally:
                for task in tasks:
                    task.cancel()
                far.writer.transport.abort()
        finally:
            reading.cancel()

    async def _deliver(self, source, target):
        """Pass on what one side sends."""
        while True:
            data = await source.sent.get()
            await self._cut.wait_until_healed()
            if source.is_gone or data is None:
                if data is None:
                    raise ConnectionResetError("the connection has ended")
                continue
            if target.is_gone:
                raise ConnectionResetError("the other side has reset it")
            target.writer.write(data)
            await target.writer.drain()
