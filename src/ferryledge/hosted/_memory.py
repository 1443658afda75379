"""What an agent keeps in the store of the endpoint beside it.

An endpoint reports seldom. An agent that starts again would have to wait
for the next heartbeat to know the room there, although nothing changed.
"""

import zlib

import anyio
import loguru
import msgspec

from ferryledge.hosted import _members
from ferryledge import leases
from ferryledge import platform

#: The system's own topic: one record an agent, under the agent's name.
ENDPOINTS_TOPIC = "keyed.ferryledge-endpoints"


class EndpointMemory:
    """Reads and writes one agent's record.

    The agents are spread over the topic's partitions, so that a start of
    all of them reads each record a few times and not once an agent.

    :param store: the platform's store
    :param name: the agent
    :param partitions: how many the topic has
    """

    def __init__(
        self, store: platform.StoreClient, name: str, partitions: int
    ) -> None:
        self._store = store
        self._name = name
        self._partition = zlib.crc32(name.encode()) % max(1, partitions)
        self._wanted: leases.EndpointHeartbeat | None = None
        self._changed = anyio.Event()

    async def recall(self) -> leases.EndpointHeartbeat | None:
        """Return what an earlier start kept; none if nothing was."""
        page = await _members.until_answered(
            lambda: self._store.newest(ENDPOINTS_TOPIC, self._partition)
        )
        for record in page.records:
            if record.key == self._name and record.value:
                return _decode(record)
        return None

    def remember(self, seen: leases.EndpointHeartbeat) -> None:
        """Keep this as soon as the store takes it; the last one counts."""
        self._wanted = seen
        self._changed.set()

    async def run(self) -> None:
        """Write what is to be kept, for ever."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            seen = self._wanted
            record = platform.KeyedRecord(
                self._name, msgspec.json.encode(seen)
            )
            try:
                await self._store.put(ENDPOINTS_TOPIC, record, self._partition)
            except platform.StoreError as exc:
                loguru.logger.debug("not kept: {}", exc, step="join")
                self._changed.set()
                await anyio.sleep(_members.RETRY_S)


def _decode(record: platform.KeyedRecord) -> leases.EndpointHeartbeat | None:
    try:
        return msgspec.json.decode(record.value, type=leases.EndpointHeartbeat)
    except msgspec.DecodeError as exc:
        loguru.logger.warning("bad record: {}", exc, peer=record.key)
        return None
