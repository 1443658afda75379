"""Serves HTTP with uvicorn in the event loop of the process."""

from collections import abc
import contextlib
import socket
import typing

import anyio
from anyio import abc as anyio_abc
import uvicorn

from ferryledge import _sockets

#: Seconds after which idle connections are closed.
_KEEP_ALIVE_S = 75
#: Interval in seconds at which the server is polled until it has started.
_POLL_S = 0.005


class _Server(uvicorn.Server):
    """A server that stops by an event and leaves signals to the daemon.

    :param config: the settings of the server
    :param stop: stops the server when set
    """

    def __init__(self, config: uvicorn.Config, stop: anyio.Event) -> None:
        super().__init__(config)
        self._stop_event = stop

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        yield

    async def main_loop(self) -> None:
        """Wait for the stop event, without the polling of the base class."""
        await self.on_tick(0)
        await self._stop_event.wait()

    def close_listeners(self) -> None:
        """Stop listening; further calls have no effect."""
        for server in getattr(self, "servers", ()):
            server.close()

    def release_connections(self) -> None:
        """Close idle connections, and busy ones after their response."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


async def serve_http(
    app: typing.Any,
    host: str,
    port: int,
    stop: anyio.Event,
    release: anyio.Event | None = None,
    listener: socket.socket | None = None,
    *,
    task_status: anyio_abc.TaskStatus[int],
) -> None:
    """Serve until ``stop`` is set, then let open requests finish.

    Reports the bound port.

    :param app: the ASGI application
    :param host: IP address to listen on
    :param port: TCP port; 0 selects a free one
    :param stop: stops the server when set
    :param release: when set, closes the existing connections as soon as they
        are idle; new ones are still accepted
    :param listener: a socket already bound to the address; defaults to a new
        one
    :raises OSError: if the process can't listen on the address
    """
    if listener is None:
        # uvicorn would exit the process if it can't listen.
        listener = _sockets.bind(host, port)
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        ws="none",
        loop="asyncio",
        backlog=_sockets.BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_S,
        server_header=False,
        date_header=False,
    )
    server = _Server(config, stop)
    async with anyio.create_task_group() as group:
        bound = listener.getsockname()[1]
        group.start_soon(_report_start, server, bound, task_status)
        if release is not None:
            group.start_soon(_release, server, release)
        try:
            await server.serve(sockets=[listener])
        finally:
            # uvicorn doesn't close its sockets when it is cancelled.
            server.close_listeners()
            listener.close()
        group.cancel_scope.cancel()


async def _report_start(
    server: uvicorn.Server, port: int, task_status: anyio_abc.TaskStatus[int]
) -> None:
    while not server.started:
        await anyio.sleep(_POLL_S)
    task_status.started(port)


async def _release(server: _Server, release: anyio.Event) -> None:
    await release.wait()
    server.release_connections()


async def serve_until_cancelled(app: typing.Any, host: str, port: int) -> None:
    """Serve until the calling task is cancelled.

    :param app: the ASGI application
    :param host: IP address to listen on
    :param port: TCP port
    """
    async with anyio.create_task_group() as group:
        await group.start(serve_http, app, host, port, anyio.Event())
