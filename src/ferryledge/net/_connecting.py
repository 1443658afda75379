"""Opens a connection to a peer by staggered concurrent attempts.

A machine that is starting misses a connection request sent before it is up,
and TCP retransmits the request only after a second. Further attempts are
therefore started at short intervals. The earlier ones continue, since the
response to them may only be delayed by a congested link.
"""

import asyncio
from collections import abc
import typing

import anyio

TransportT = typing.TypeVar("TransportT", bound=asyncio.BaseTransport)
ProtocolT = typing.TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

#: Time-out for all attempts together, in seconds. Short, since a peer without
#: power never responds.
CONNECT_TIMEOUT_S = 0.25
#: Seconds between the starts of two attempts. Much longer than a round trip on
#: an uncongested link, so that one attempt suffices for a peer that is up.
ATTEMPT_INTERVAL_S = 0.05


async def connect(
    open_connection: abc.Callable[
        [], abc.Awaitable[tuple[TransportT, ProtocolT]]
    ],
    max_attempts: int,
) -> ProtocolT:
    """Return the protocol of the first connection that opens.

    :param open_connection: makes one attempt
    :param max_attempts: maximum number of attempts
    :raises OSError: if the peer refuses or is unreachable, or its address is
        invalid
    :raises TimeoutError: if no attempt completes in time
    """
    opened: list[tuple[TransportT, ProtocolT]] = []
    errors: list[OSError] = []
    chosen = None
    try:
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            async with anyio.create_task_group() as group:

                async def attempt() -> None:
                    try:
                        opened.append(await open_connection())
                    except OSError as exc:
                        errors.append(exc)
                    except (ValueError, OverflowError) as exc:
                        errors.append(OSError(f"invalid address: {exc}"))
                    group.cancel_scope.cancel()

                for _ in range(max_attempts):
                    group.start_soon(attempt)
                    await anyio.sleep(ATTEMPT_INTERVAL_S)
        if opened:
            chosen = opened[0]
            return chosen[1]
    finally:
        for connection in opened:
            if connection is not chosen:
                connection[0].close()
    raise errors[0] if errors else TimeoutError
