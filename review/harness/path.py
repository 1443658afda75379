"""The network between clients and one machine, which may be cut."""

import asyncio

_CHUNK_BYTES = 65_536


class Path:
    """Carries connections to one address, each way with a delay.

    A cut holds up what is under way. It arrives when the cut has healed: first
    the bytes, and the end of a connection a round trip later, since it is
    sent again once the bytes before it are acknowledged.

    :param target: host and port of the machine
    :param latency_s: delay each way
    """

    def __init__(self, target: tuple[str, int], latency_s: float) -> None:
        self._target = target
        self._latency_s = latency_s
        self._up = asyncio.Event()
        self._up.set()

    @property
    def is_cut(self) -> bool:
        """Whether nothing passes."""
        return not self._up.is_set()

    def cut(self) -> None:
        """Let nothing pass until :meth:`heal`."""
        self._up.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._up.set()

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Accept connections until the server is closed."""
        return await asyncio.start_server(self._carry, host, port)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._pass()
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass  # The machine is down, or the case is over.
        finally:
            writer.close()

    async def _pass(self) -> None:
        await asyncio.sleep(self._latency_s)
        await self._up.wait()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._pass()
                writer.write(data)
            await self._pass()
            await asyncio.sleep(2.0 * self._latency_s)
        finally:
            writer.close()
