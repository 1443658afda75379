"""Streams between the system's processes.

A stream opens with a mutual proof of the shared key, then a greeting from
each side. Each peer has at most one stream; a newer one replaces it once it
has been greeted, so one may be opened beside a stream that seems silent.
"""

import asyncio
from collections import abc
import contextlib
import random
import socket

import anyio
from anyio import abc as anyio_abc
import loguru
import msgspec

from ferryledge import _sockets
from ferryledge.net import _connecting
from ferryledge.net import _redial
from ferryledge.net import _stream
from ferryledge import wire

#: Most bytes that wait for a slow peer before its stream is broken: some
#: 20,000 messages, or a few of the largest.
_MOST_UNSENT_BYTES = 16 * 1024 * 1024
_HANDSHAKE_S = 3.0
#: Strangers that may be in the handshake at once.
_MAX_HANDSHAKES = 256


Prove = abc.Callable[[_stream.Stream, tuple[str, ...]], abc.Awaitable[None]]


class PeerAddress(msgspec.Struct, frozen=True):
    """Where a peer listens."""

    name: str
    host: str
    port: int


class _Connection:
    """One open stream, greeted by both sides."""

    def __init__(self, stream: _stream.Stream, hello: wire.Hello) -> None:
        self._stream = stream
        self.hello = hello
        #: Set once the stream is no longer used.
        self.left = anyio.Event()

    def send(self, data: bytes) -> None:
        """Send bytes; breaks the stream if the peer is too slow."""
        self._stream.write(data)
        if self._stream.unsent > _MOST_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Break the stream."""
        self._stream.close()


class _Greeting(msgspec.Struct, frozen=True):
    """What came with a peer's greeting."""

    hello: wire.Hello
    decoder: wire.Decoder
    #: Messages that came right behind it.
    early: list[wire.Message]


class Mesh:
    """All streams of one process.

    :param keys: the accepted shared keys
    :param hello: returns this process's greeting
    :param post: takes the events of all streams
    """

    def __init__(
        self,
        keys: tuple[str, ...],
        hello: abc.Callable[[], wire.Hello],
        post: abc.Callable[[wire.StreamEvent], None],
    ) -> None:
        self._keys = keys
        self._hello = hello
        self._post = post
        self._connections: dict[str, _Connection] = {}
        self._dialled: dict[str, anyio.CancelScope] = {}
        self._addresses: dict[str, PeerAddress] = {}
        #: Streams that are being opened beside silent ones.
        self._reopening: dict[str, anyio.CancelScope] = {}
        self._handshakes = anyio.CapacityLimiter(_MAX_HANDSHAKES)
        self._messages_sent = 0
        self._bytes_sent = 0
        self._refused = 0

    @property
    def messages_sent(self) -> int:
        """Messages sent to peers so far."""
        return self._messages_sent

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to peers so far."""
        return self._bytes_sent

    @property
    def refused(self) -> int:
        """Streams refused because the other side proved no key."""
        return self._refused

    def send(self, name: str, message: wire.Message) -> None:
        """Send a message, or drop it if there is no stream."""
        connection = self._connections.get(name)
        if connection is None:
            return
        data = wire.encode(message)
        self._messages_sent += 1
        self._bytes_sent += len(data)
        connection.send(data)

    def names(self) -> frozenset[str]:
        """Return the peers with an open stream."""
        return frozenset(self._connections)

    def close(self, name: str) -> None:
        """Break the stream to a peer; a dialled one is dialled anew."""
        connection = self._connections.get(name)
        if connection is not None:
            connection.close()
            self._unregister(connection)

    def is_dialled(self, name: str) -> bool:
        """Return whether this process keeps dialling a peer."""
        return name in self._dialled

    async def listen(
        self,
        host: str,
        port: int,
        listener: socket.socket | None = None,
        *,
        task_status: anyio_abc.TaskStatus[int],
    ) -> None:
        """Accept streams for ever; reports the port that was bound.

        :param host: IP number to listen on
        :param port: TCP port; 0 picks one
        :param listener: a socket that is bound there already; none binds one
        :raises OSError: if the address can't be listened on
        """
        listener = listener or _sockets.bind(host, port)
        async with anyio.create_task_group() as group:

            def accept(stream: _stream.Stream) -> None:
                group.start_soon(self._accept, stream)

            server = await asyncio.get_running_loop().create_server(
                lambda: _stream.Stream(accept),
                sock=listener,
                backlog=_sockets.BACKLOG,
            )
            async with server:
                task_status.started(server.sockets[0].getsockname()[1])
                await anyio.sleep_forever()

    async def _accept(self, stream: _stream.Stream) -> None:
        await self._use(stream, wire.accept, self._handshakes)

    async def _use(
        self,
        stream: _stream.Stream,
        prove: Prove,
        limiter: contextlib.AbstractAsyncContextManager[object],
    ) -> bool:
        """Greet the other side of a fresh stream and serve it.

        :param stream: the stream; it is closed at the end
        :param prove: proves the shared key
        :param limiter: bounds the handshakes at once
        :return: whether the other side was greeted
        """
        try:
            async with limiter:
                with anyio.fail_after(_HANDSHAKE_S):
                    await prove(stream, self._keys)
                    greeting = await self._greet(stream)
            await self._serve(stream, greeting)
        except (wire.AuthenticationError, wire.WireError) as exc:
            self._refuse(stream, exc)
            return False
        except (TimeoutError, _stream.DisconnectedError):
            return False
        finally:
            stream.close()
        return True

    def _refuse(self, stream: _stream.Stream, exc: Exception) -> None:
        self._refused += 1
        loguru.logger.warning(
            "stream refused: {}", exc, step="handshake", peer=stream.peer
        )

    async def keep_dialling(self, address: PeerAddress) -> None:
        """Keep a stream to a peer open until :meth:`forget`."""
        if address.name in self._dialled:
            return
        redial = _redial.Redial()
        with anyio.CancelScope() as scope:
            self._dialled[address.name] = scope
            self._addresses[address.name] = address
            # The peer may have been reached already, by another name.
            await self._unconnected(address.name)
            # Once forgotten, an open stream stays but is not dialled anew.
            while self._dialled.get(address.name) is scope:
                result = await self._dial(address, redial.tries)
                wait_s = redial.wait_s(result)
                await self._unconnected(address.name)
                await anyio.sleep(wait_s * (1.0 + random.random()))

    async def _unconnected(self, name: str) -> None:
        """Wait until a peer has no stream."""
        while name in self._connections:
            await self._connections[name].left.wait()

    async def reopen(self, name: str) -> None:
        """Open a new stream beside one that seems silent, and serve it.

        It replaces the old one once it is greeted. Nothing happens for a
        peer that is not dialled, or while one is being opened already.
        """
        address = self._addresses.get(name)
        if address is None or name not in self._dialled:
            return
        if name in self._reopening:
            return
        with anyio.CancelScope() as scope:
            self._reopening[name] = scope
            try:
                await self._dial(address)
            finally:
                self._end_reopening(name, scope)

    def keep(self, name: str) -> None:
        """Give up the stream that is being opened beside another."""
        scope = self._reopening.pop(name, None)
        if scope is not None:
            scope.cancel()

    def _end_reopening(self, name: str, scope: anyio.CancelScope) -> None:
        if self._reopening.get(name) is scope:
            del self._reopening[name]

    def forget(self, name: str) -> None:
        """Stop dialling a peer; an open stream stays."""
        scope = self._dialled.pop(name, None)
        if scope is not None and name not in self._connections:
            scope.cancel()

    async def _dial(
        self, address: PeerAddress, tries: int = 1
    ) -> _redial.DialResult:
        loop = asyncio.get_running_loop()
        try:
            stream = await _connecting.connect(
                lambda: loop.create_connection(
                    _stream.Stream, address.host, address.port
                ),
                tries,
            )
        except ConnectionRefusedError:
            return _redial.DialResult.REFUSED
        except (OSError, TimeoutError):
            return _redial.DialResult.SILENT
        limiter = contextlib.nullcontext()
        if await self._use(stream, wire.connect, limiter):
            return _redial.DialResult.SERVED
        return _redial.DialResult.UNPROVED

    async def _greet(self, stream: _stream.Stream) -> _Greeting:
        stream.write(wire.encode(self._hello()))
        decoder = wire.Decoder()
        while True:
            messages = list(decoder.feed(await stream.receive()))
            if not messages:
                continue
            first = messages[0]
            if not isinstance(first, wire.Hello):
                raise wire.WireError("the first message is no greeting")
            return _Greeting(first, decoder, messages[1:])

    async def _serve(
        self, stream: _stream.Stream, greeting: _Greeting
    ) -> None:
        connection = _Connection(stream, greeting.hello)
        self._register(connection)
        name = greeting.hello.name

        def receive(message: wire.Message) -> None:
            if self._connections.get(name) is connection:
                self._post(wire.Received(name, message))

        def feed(data: bytes) -> None:
            for message in greeting.decoder.feed(data):
                receive(message)

        for message in greeting.early:
            receive(message)
        try:
            await stream.pour(feed)
        except wire.WireError as exc:
            loguru.logger.warning(
                "stream broken: {}", exc, step="receive", peer=name
            )
        finally:
            self._unregister(connection)

    def _register(self, connection: _Connection) -> None:
        name = connection.hello.name
        old = self._connections.get(name)
        if old is not None:
            old.close()
            self._unregister(old)
        self._connections[name] = connection
        # A greeted stream is not given up any more.
        self._reopening.pop(name, None)
        loguru.logger.debug("stream open", step="join", peer=name)
        self._post(wire.PeerUp(connection.hello))

    def _unregister(self, connection: _Connection) -> None:
        hello = connection.hello
        if self._connections.get(hello.name) is not connection:
            return
        del self._connections[hello.name]
        connection.left.set()
        loguru.logger.debug("stream closed", step="join", peer=hello.name)
        self._post(wire.PeerDown(hello.name, hello.incarnation))
