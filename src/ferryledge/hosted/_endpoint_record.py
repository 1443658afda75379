"""Saves an endpoint's last heartbeat in the store.

Endpoints send heartbeats rarely. An agent that restarts loads the saved one,
so that it knows the endpoint's capacity before the next heartbeat arrives.
"""

import zlib

import anyio
import loguru
import msgspec

from ferryledge import decoding
from ferryledge.hosted import _members
from ferryledge.hosted import _unreadable
from ferryledge import leases
from ferryledge import platform

#: Topic with one record per agent, keyed by the agent's name.
ENDPOINTS_TOPIC = "keyed.ferryledge-endpoints"


class EndpointRecord:
    """Reads and writes one agent's record.

    The records are spread over the topic's partitions by the agent's name.
    An agent reads a whole partition, so this limits how many records are
    read when all agents start at once.

    :param store: the platform's store
    :param name: the agent's name
    :param partitions: number of partitions of the topic
    :param note_unreadable: called if the record can't be read; defaults to
        logging it
    """

    def __init__(
        self,
        store: platform.StoreClient,
        name: str,
        partitions: int,
        note_unreadable: _unreadable.NoteRecord = _unreadable.log_record,
    ) -> None:
        self._note_unreadable = note_unreadable
        self._store = store
        self._name = name
        self._partition = zlib.crc32(name.encode()) % max(1, partitions)
        self._pending: leases.EndpointHeartbeat | None = None
        self._changed = anyio.Event()

    async def load(self) -> leases.EndpointHeartbeat | None:
        """Return the heartbeat that was saved last, or none."""
        page = await _members.retry_until_answered(
            lambda: self._store.read_newest(ENDPOINTS_TOPIC, self._partition)
        )
        for record in page.records:
            if record.key == self._name and record.value:
                return self._decode(record)
        return None

    def _decode(
        self, record: platform.KeyedRecord
    ) -> leases.EndpointHeartbeat | None:
        try:
            heartbeat = decoding.decode_json(
                record.value, leases.EndpointHeartbeat
            )
            _check(heartbeat)
        except ValueError as exc:
            self._note_unreadable(ENDPOINTS_TOPIC, record, exc)
            return None
        return heartbeat

    def save(self, heartbeat: leases.EndpointHeartbeat) -> None:
        """Schedule a heartbeat to be written, replacing any pending one."""
        self._pending = heartbeat
        self._changed.set()

    async def run(self) -> None:
        """Write pending heartbeats until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            heartbeat = self._pending
            record = platform.KeyedRecord(
                self._name, msgspec.json.encode(heartbeat)
            )
            try:
                await self._store.put(ENDPOINTS_TOPIC, record, self._partition)
            except platform.StoreError as exc:
                loguru.logger.debug(
                    "endpoint record not saved: {}", exc, step="join"
                )
                self._changed.set()
                await anyio.sleep(_members.RETRY_S)


def _check(heartbeat: leases.EndpointHeartbeat) -> None:
    """Check what the types of the fields don't ensure.

    :raises ValueError: if the id or the capacity is invalid
    """
    if not leases.is_endpoint_id(heartbeat.endpoint_id):
        raise ValueError("the endpoint's id is invalid")
    if not heartbeat.capacity.is_bounded:
        raise ValueError("the capacity is out of range")
