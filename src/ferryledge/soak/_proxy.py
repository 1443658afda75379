"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import re

_READ_BYTES = 64 * 1024
_POLL_S = 0.005
#: The name of a process, which its ``Hello`` has in plain text.
_NAME = re.compile(rb"(?:agent|entry)-\d+")
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


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """A connection between a process and the target of the proxy."""

    #: Writes to the process that dialled.
    near: asyncio.StreamWriter
    #: Writes to the target.
    far: asyncio.StreamWriter
    #: Name of the process that dialled; empty until it has sent it.
    name: str = ""

    def read_name(self, data: bytes) -> None:
        """Take the name of the process from the first bytes that have one."""
        if not self.name and (found := _NAME.search(data)):
            self.name = found[0].decode()


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
        self._connections: list[_Connection] = []
        #: How many faults hold up the connections of each process, by name.
        self._cut_off: collections.Counter[str] = collections.Counter()
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
        self._cut_off.clear()
        self._closed.set()
        self.reset()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_S)

    def reset(self) -> None:
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_some(self, rng: random.Random, share: float) -> None:
        """Break a random share of the open connections.

        :param rng: selects the connections
        :param share: the probability that a connection breaks
        """
        for connection in self._connections:
            if rng.random() < share:
                connection.near.transport.abort()
                connection.far.transport.abort()

    def cut_off(self, name: str) -> None:
        """Hold up all bytes from and to a process until it is restored."""
        self._cut_off[name] += 1

    def restore(self, name: str) -> None:
        """Let bytes of a process pass again."""
        self._cut_off[name] -= 1

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
        connection = _Connection(writer, far_writer)
        self._connections.append(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pipe(connection, reader, True))
                group.create_task(self._pipe(connection, far_reader, False))
        except* (OSError, _EndedError):
            pass  # Either side broke; both are broken below.
        finally:
            self._connections.remove(connection)
            for one in (writer, far_writer):
                self._writers.discard(one)
                self._silent.discard(one)
                with contextlib.suppress(OSError):
                    one.close()

    async def _pipe(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        forth: bool,
    ) -> None:
        writer = connection.far if forth else connection.near
        while True:
            data = await reader.read(_READ_BYTES)
            if forth:
                connection.read_name(data)
            while self._is_cut(connection, forth):
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

    def _is_cut(self, connection: _Connection, forth: bool) -> bool:
        if self._cut_off[connection.name] > 0:
            return True
        if forth:
            return self.weather.cut_forth
        return self.weather.cut_back


class _EndedError(Exception):
    """A side of a connection was closed."""
