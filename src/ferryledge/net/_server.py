"""Serves HTTP by uvicorn inside the process's own event loop."""

from collections import abc
import contextlib
import socket
import typing

import anyio
from anyio import abc as anyio_abc
import uvicorn

from ferryledge import _sockets

_KEEP_ALIVE_S = 75
_POLL_S = 0.005


class _Server(uvicorn.Server):
    """A server that leaves the signals to the daemon.

    :param config: the server's settings
    :param stop: ends it
    """

    def __init__(self, config: uvicorn.Config, stop: anyio.Event) -> None:
        super().__init__(config)
        self._stop = stop

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        yield

    async def main_loop(self) -> None:
        """Wait for the end; looking for it took 10 wake-ups a second."""
        await self.on_tick(0)
        await self._stop.wait()

    def close_listeners(self) -> None:
        """Listen no more; nothing happens the second time."""
        for one in getattr(self, "servers", ()):
            one.close()

    def release_connections(self) -> None:
        """Close unused connections, and others after their answer."""
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
    """Serve until the event is set, then let open requests finish.

    Reports the port that was bound.

    :param app: the ASGI application
    :param host: IP number to listen on
    :param port: TCP port; 0 picks one
    :param stop: ends the server
    :param release: closes connections that clients keep open; new ones are
        still accepted
    :param listener: a socket that is bound there already; none binds one
    :raises OSError: if the address can't be listened on
    """
    if listener is None:
        # The server itself would end the process where it can't listen.
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
            # A server that is cancelled leaves its sockets to the collector.
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
    :param host: IP number to listen on
    :param port: TCP port
    """
    async with anyio.create_task_group() as group:
        await group.start(serve_http, app, host, port, anyio.Event())
