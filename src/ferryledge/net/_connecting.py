"""Opens a connection to a peer that may get its power back meanwhile.

It answers the return of many machines at once. A machine hears nothing of a
connection that was begun before it had power, and the network repeats that
only after a second. So another try is begun soon, while the earlier ones go
on: over a full link the first one may still be answered.
"""

import asyncio
from collections import abc
import typing

import anyio

TransportT = typing.TypeVar("TransportT", bound=asyncio.BaseTransport)
ProtocolT = typing.TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

#: Seconds that all tries have together. Short, since a peer that lost its
#: power never answers.
CONNECT_S = 0.25
#: Seconds between two tries: many times what an answer takes over a link that
#: is not full, so that peers with power get one try.
TRY_EVERY_S = 0.05


async def connect(
    open_one: abc.Callable[[], abc.Awaitable[tuple[TransportT, ProtocolT]]],
    tries: int,
) -> ProtocolT:
    """Return the first connection that some try opens.

    :param open_one: begins one try
    :param tries: how many are begun at the most
    :raises OSError: if the peer refused, or can't be reached
    :raises TimeoutError: if no try was answered
    """
    opened: list[tuple[TransportT, ProtocolT]] = []
    failed: list[OSError] = []
    kept = None
    try:
        with anyio.move_on_after(CONNECT_S):
            async with anyio.create_task_group() as group:

                async def one() -> None:
                    try:
                        opened.append(await open_one())
                    except OSError as exc:
                        failed.append(exc)
                    group.cancel_scope.cancel()

                for _ in range(tries):
                    group.start_soon(one)
                    await anyio.sleep(TRY_EVERY_S)
        if opened:
            kept = opened[0]
            return kept[1]
    finally:
        for connection in opened:
            if connection is not kept:
                connection[0].close()
    raise failed[0] if failed else TimeoutError
