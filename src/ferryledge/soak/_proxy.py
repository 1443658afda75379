"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
import contextlib
import dataclasses

_READ_BYTES = 64 * 1024
_POLL_S = 0.005
#: Seconds that connections get to end.
_CLOSE_S = 2.0


@dataclasses.dataclass(slots=True)
class Weather:
    """What befalls the bytes that pass."""

    delay_s: float = 0.0
    #: Bytes towards the target are held up.
    cut_forth: bool = False
    #: Bytes back to the dialler are held up.
    cut_back: bool = False


class Proxy:
    """Passes connections to one address on to another.

    :param listen: where it listens, host and port
    :param target: where connections go
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._listen = listen
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Writers of connections that nothing passes on any more.
        self._silent: set[asyncio.StreamWriter] = set()
        self._closed = asyncio.Event()
        self.weather = Weather()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def close(self) -> None:
        """Stop listening and break all connections."""
        self._server.close()
        self.weather = Weather()
        self._closed.set()
        self.reset()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_S)

    def reset(self) -> None:
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let nothing pass on the open connections; new ones work."""
        self._silent |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pipe(reader, far_writer, True))
                group.create_task(self._pipe(far_reader, writer, False))
        except* (OSError, _EndedError):
            pass  # Either side broke; both are broken below.
        finally:
            for one in (writer, far_writer):
                self._writers.discard(one)
                self._silent.discard(one)
                with contextlib.suppress(OSError):
                    one.close()

    async def _pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forth: bool,
    ) -> None:
        while True:
            data = await reader.read(_READ_BYTES)
            while self._is_cut(forth):
                await asyncio.sleep(_POLL_S)
            if self.weather.delay_s:
                await asyncio.sleep(self.weather.delay_s)
            if writer in self._silent:
                await self._swallow(reader, data)
            if not data:
                raise _EndedError
            writer.write(data)
            await writer.drain()

    async def _swallow(
        self, reader: asyncio.StreamReader, data: bytes
    ) -> None:
        """Take what comes until the side that sends it is gone.

        The other side does not learn of that: it sees neither end nor reset.
        """
        while data:
            data = await reader.read(_READ_BYTES)
        await self._closed.wait()

    def _is_cut(self, forth: bool) -> bool:
        if forth:
            return self.weather.cut_forth
        return self.weather.cut_back


class _EndedError(Exception):
    """A side of a connection was closed."""
