"""Message streams between the processes of the system.

A stream starts with mutual authentication by a shared key and an exchange of
``Hello`` messages. There is at most one stream per peer: when a new stream has
completed its handshake, it replaces the old one. A replacement can therefore
be opened while an unresponsive stream is still in place. A stream whose
handshake completes after that of a newer one is refused.
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

#: Maximum bytes buffered for a slow peer before its stream is closed: some
#: 20,000 messages, or a few of the largest.
_MAX_UNSENT_BYTES = 16 * 1024 * 1024
#: Time limit of the handshake in seconds.
_HANDSHAKE_S = 3.0
#: Maximum number of accepted streams that are in the handshake concurrently.
_MAX_HANDSHAKES = 256


class PeerAddress(msgspec.Struct, frozen=True):
    """The name of a peer and the address that it listens on."""

    name: str
    host: str
    port: int


class _Connection:
    """An open stream that has completed its handshake."""

    def __init__(self, stream: _stream.Stream, hello: wire.Hello) -> None:
        self._stream = stream
        self.hello = hello
        #: Set when the stream is closed or replaced.
        self.closed = anyio.Event()

    @property
    def unsent(self) -> int:
        """The number of bytes that the peer is too slow to take."""
        return self._stream.unsent

    def send(self, data: bytes) -> None:
        """Send bytes; closes the stream if too many are unsent."""
        self._stream.write(data)
        if self._stream.unsent > _MAX_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class _PeerHello(msgspec.Struct, frozen=True):
    """A peer's ``Hello`` and the state of the decoder that read it."""

    hello: wire.Hello
    decoder: wire.Decoder
    #: Messages received together with the ``Hello``, not yet processed.
    pending: list[wire.Message]


class Mesh:
    """The streams of one process to its peers.

    :param keys: the accepted shared keys
    :param hello: returns the ``Hello`` message of this process
    :param post_event: called with each event of a stream
    """

    def __init__(
        self,
        keys: tuple[str, ...],
        hello: abc.Callable[[], wire.Hello],
        post_event: abc.Callable[[wire.StreamEvent], None],
    ) -> None:
        self._keys = keys
        self._hello = hello
        self._post_event = post_event
        self._connections: dict[str, _Connection] = {}
        #: Cancel scopes of the dialling loops, by peer.
        self._dial_scopes: dict[str, anyio.CancelScope] = {}
        self._addresses: dict[str, PeerAddress] = {}
        #: Cancel scopes of replacement streams that are being opened.
        self._reopen_scopes: dict[str, anyio.CancelScope] = {}
        self._handshakes = anyio.CapacityLimiter(_MAX_HANDSHAKES)
        self._messages_sent = 0
        self._bytes_sent = 0
        self._refusals = 0
        self._order = wire.StreamOrder()
        self._superseded = 0
        self._unencodable = 0

    @property
    def messages_sent(self) -> int:
        """The number of messages sent to peers so far."""
        return self._messages_sent

    @property
    def bytes_sent(self) -> int:
        """The number of bytes sent to peers so far."""
        return self._bytes_sent

    @property
    def unsent(self) -> int:
        """The number of bytes that would be lost if all streams closed now."""
        return sum(each.unsent for each in self._connections.values())

    @property
    def refused(self) -> int:
        """The number of streams refused for a failed handshake."""
        return self._refusals

    @property
    def superseded(self) -> int:
        """The number of streams refused because of a newer one."""
        return self._superseded

    @property
    def unencodable(self) -> int:
        """The number of messages that could not be encoded."""
        return self._unencodable

    def send(self, name: str, message: wire.Message) -> None:
        """Send a message to a peer; dropped if it has no stream.

        A message that can't be encoded is lost with the stream: a peer relies
        on having received all earlier messages of an open stream.
        """
        connection = self._connections.get(name)
        if connection is None:
            return
        try:
            data = wire.encode(message)
        except wire.EncodingError as exc:
            self._unencodable += 1
            loguru.logger.error(
                "stream closed: {}", exc, step="send", peer=name
            )
            self.close(name)
            return
        self._messages_sent += 1
        self._bytes_sent += len(data)
        connection.send(data)

    def names(self) -> frozenset[str]:
        """Return the names of the peers with an open stream."""
        return frozenset(self._connections)

    def close(self, name: str) -> None:
        """Close the stream to a peer; a dialled peer is dialled again."""
        connection = self._connections.get(name)
        if connection is not None:
            connection.close()
            self._unregister(connection)

    def is_dialled(self, name: str) -> bool:
        """Return whether this process keeps a stream to a peer open."""
        return name in self._dial_scopes

    async def listen(
        self,
        host: str,
        port: int,
        listener: socket.socket | None = None,
        *,
        task_status: anyio_abc.TaskStatus[int],
    ) -> None:
        """Accept streams until cancelled; reports the bound port.

        :param host: IP address to listen on
        :param port: TCP port; 0 selects a free one
        :param listener: a socket already bound to the address; defaults to a
            new one
        :raises OSError: if the process can't listen on the address
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
        number = self._order.next_number()
        await self._handshake_and_serve(stream, number, is_dialled=False)

    async def _handshake_and_serve(
        self, stream: _stream.Stream, number: int, *, is_dialled: bool
    ) -> bool:
        """Complete the handshake of a new stream and serve it.

        :param stream: the stream; it is closed on return
        :param number: the number of the stream in this process
        :param is_dialled: whether this process dialled
        :return: whether the handshake succeeded, also if the stream was
            superseded by then
        """
        authenticate = wire.connect if is_dialled else wire.accept
        sent_number = number if is_dialled else 0
        limiter: contextlib.AbstractAsyncContextManager[object] = (
            contextlib.nullcontext() if is_dialled else self._handshakes
        )
        try:
            async with limiter:
                with anyio.fail_after(_HANDSHAKE_S):
                    await authenticate(stream, self._keys)
                    peer_hello = await self._exchange_hellos(
                        stream, sent_number
                    )
            if self._order.admit(peer_hello.hello, number, is_dialled):
                await self._serve(stream, peer_hello)
            else:
                self._log_superseded(peer_hello.hello)
        except (wire.AuthenticationError, wire.WireError) as exc:
            self._log_refusal(stream, exc)
            return False
        except (TimeoutError, _stream.DisconnectedError):
            return False
        finally:
            stream.close()
        return True

    def _log_refusal(self, stream: _stream.Stream, exc: Exception) -> None:
        self._refusals += 1
        loguru.logger.warning(
            "stream refused: {}", exc, step="handshake", peer=stream.peer
        )

    def _log_superseded(self, hello: wire.Hello) -> None:
        self._superseded += 1
        loguru.logger.info(
            "stream refused: superseded", step="handshake", peer=hello.name
        )

    async def keep_dialling(self, address: PeerAddress) -> None:
        """Keep a stream to a peer open until :meth:`stop_dialling`."""
        if address.name in self._dial_scopes:
            return
        backoff = _redial.RedialBackoff()
        with anyio.CancelScope() as scope:
            self._dial_scopes[address.name] = scope
            self._addresses[address.name] = address
            # The peer may already have a stream, for instance one that was
            # dialled as a seed.
            await self._wait_until_closed(address.name)
            # After ``stop_dialling()``, an open stream stays but isn't
            # redialled.
            while self._dial_scopes.get(address.name) is scope:
                result = await self._dial(address, backoff.max_attempts)
                delay_s = backoff.delay_s(result)
                await self._wait_until_closed(address.name)
                await anyio.sleep(delay_s * (1.0 + random.random()))

    async def _wait_until_closed(self, name: str) -> None:
        """Wait until a peer has no open stream."""
        while name in self._connections:
            await self._connections[name].closed.wait()

    async def reopen(self, name: str) -> None:
        """Open and serve a replacement for an unresponsive stream.

        The new stream replaces the old one when its handshake is complete.
        Does nothing for a peer that isn't dialled, or while a replacement is
        already being opened.
        """
        address = self._addresses.get(name)
        if address is None or name not in self._dial_scopes:
            return
        if name in self._reopen_scopes:
            return
        with anyio.CancelScope() as scope:
            self._reopen_scopes[name] = scope
            try:
                await self._dial(address)
            finally:
                self._finish_reopening(name, scope)

    def cancel_reopen(self, name: str) -> None:
        """Keep the current stream; stop opening a replacement for it."""
        scope = self._reopen_scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def _finish_reopening(self, name: str, scope: anyio.CancelScope) -> None:
        if self._reopen_scopes.get(name) is scope:
            del self._reopen_scopes[name]

    def stop_dialling(self, name: str) -> None:
        """Stop dialling a peer; an open stream stays open."""
        scope = self._dial_scopes.pop(name, None)
        if scope is not None and name not in self._connections:
            scope.cancel()

    async def _dial(
        self, address: PeerAddress, max_attempts: int = 1
    ) -> _redial.DialResult:
        loop = asyncio.get_running_loop()
        number = self._order.next_number()
        try:
            stream = await _connecting.connect(
                lambda: loop.create_connection(
                    _stream.Stream, address.host, address.port
                ),
                max_attempts,
            )
        except ConnectionRefusedError:
            return _redial.DialResult.REFUSED
        except (OSError, TimeoutError):
            return _redial.DialResult.UNREACHABLE
        if await self._handshake_and_serve(stream, number, is_dialled=True):
            return _redial.DialResult.CLOSED
        return _redial.DialResult.HANDSHAKE_FAILED

    async def _exchange_hellos(
        self, stream: _stream.Stream, number: int
    ) -> _PeerHello:
        hello = msgspec.structs.replace(self._hello(), stream=number)
        stream.write(wire.encode(hello))
        decoder = wire.Decoder()
        while True:
            messages = list(decoder.feed(await stream.receive()))
            if not messages:
                continue
            first = messages[0]
            if not isinstance(first, wire.Hello):
                raise wire.WireError("the first message is not a Hello")
            return _PeerHello(first, decoder, messages[1:])

    async def _serve(
        self, stream: _stream.Stream, peer_hello: _PeerHello
    ) -> None:
        connection = _Connection(stream, peer_hello.hello)
        self._register(connection)
        name = peer_hello.hello.name

        def receive(message: wire.Message) -> None:
            if self._connections.get(name) is connection:
                self._post_event(wire.Received(name, message))

        def feed(data: bytes) -> None:
            for message in peer_hello.decoder.feed(data):
                receive(message)

        for message in peer_hello.pending:
            receive(message)
        try:
            await stream.forward(feed)
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
        # ``cancel_reopen()`` must not cancel a stream that is in use.
        self._reopen_scopes.pop(name, None)
        loguru.logger.debug("stream open", step="join", peer=name)
        self._post_event(wire.PeerUp(connection.hello))

    def _unregister(self, connection: _Connection) -> None:
        hello = connection.hello
        if self._connections.get(hello.name) is not connection:
            return
        del self._connections[hello.name]
        connection.closed.set()
        loguru.logger.debug("stream closed", step="join", peer=hello.name)
        self._post_event(wire.PeerDown(hello.name, hello.incarnation))
