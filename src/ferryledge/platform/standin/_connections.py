"""Leaves requests on the open connections of an HTTP server unanswered."""

import time
import typing

_Address = tuple[str, int]
#: Seconds after its last request for which a connection counts as open; later
#: its address may belong to another one.
_OPEN_S = 30.0


class SilentConnections:
    """An ASGI application that may leave open connections unanswered.

    A request on a silent connection is not carried out. The connection stays
    open until its client closes it; new ones work.

    :param app: the application that answers on all other connections
    """

    def __init__(self, app: typing.Any) -> None:
        self._app = app
        #: When each connection last carried a request, by the address of its
        #: client, in monotonic seconds.
        self._requested_at: dict[_Address, float] = {}
        self._silent: set[_Address] = set()

    def silence(self) -> None:
        """Never answer again on the connections that are open now."""
        since = time.monotonic() - _OPEN_S
        for client, requested_at in self._requested_at.items():
            if requested_at > since:
                self._silent.add(client)
        self._requested_at.clear()

    async def __call__(
        self,
        scope: typing.Any,
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        """Answer a request, unless its connection is silent."""
        client = typing.cast(_Address, tuple(scope["client"]))

        async def send_unless_silent(event: typing.Any) -> None:
            if client in self._silent:
                await self._wait_for_close(client, receive)
            await send(event)

        if client in self._silent:
            await self._wait_for_close(client, receive)
            return
        self._requested_at[client] = time.monotonic()
        await self._app(scope, receive, send_unless_silent)

    async def _wait_for_close(
        self, client: _Address, receive: typing.Any
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._silent.discard(client)
