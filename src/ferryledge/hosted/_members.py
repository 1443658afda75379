"""How processes find the entries: the store, seeds and each other."""

from collections import abc
import contextlib
import ipaddress
import typing

import anyio
from anyio import abc as anyio_abc
import loguru
import msgspec

from ferryledge.hosted import _first_answer
from ferryledge import net
from ferryledge import platform
from ferryledge import wire

#: The system's own topic: one record an entry, under the entry's name.
MEMBERS_TOPIC = "keyed.ferryledge-entries"
#: Between tries while the store does not answer, in seconds.
RETRY_S = 0.5
#: How long one call waits for news, in seconds.
_WAIT_S = 10.0
_LAST_PORT = 65535

AnswerT = typing.TypeVar("AnswerT")
Found = abc.Callable[[tuple[wire.EntryAddress, ...]], None]


async def register(
    store: platform.StoreClient, address: wire.EntryAddress
) -> None:
    """Write an entry's address into the store, however long it takes."""
    record = platform.KeyedRecord(address.name, msgspec.json.encode(address))
    await until_answered(lambda: store.put(MEMBERS_TOPIC, record))
    loguru.logger.info("registered in the store", step="join")


async def until_answered(
    call: abc.Callable[[], abc.Awaitable[AnswerT]],
) -> AnswerT:
    """Repeat a call until the store answers it."""
    while True:
        try:
            return await call()
        except platform.StoreError as exc:
            loguru.logger.debug("no answer: {}", exc, step="join")
            await anyio.sleep(RETRY_S)


def _decode(
    records: abc.Iterable[platform.KeyedRecord],
) -> tuple[wire.EntryAddress, ...]:
    found = []
    for record in records:
        if not record.value:
            continue
        try:
            found.append(_decode_one(record))
        except ValueError as exc:
            loguru.logger.warning("bad record: {}", exc, peer=record.key)
    return tuple(found)


def _decode_one(record: platform.KeyedRecord) -> wire.EntryAddress:
    """Return the entry that a record names.

    :raises ValueError: if it names none, as another writer's may
    """
    address = msgspec.json.decode(record.value, type=wire.EntryAddress)
    ipaddress.ip_address(address.host)
    if address.name != record.key or not 0 < address.port <= _LAST_PORT:
        raise ValueError("it names another entry, or no port")
    return address


async def _read_first(address: str) -> platform.KeyedPage:
    """Return all entries' records as soon as the store answers at all."""
    return await _first_answer.first_answer(
        lambda: newest_apart(address, MEMBERS_TOPIC)
    )


async def newest_apart(
    address: str, topic: str, partition: int = 0
) -> platform.KeyedPage:
    """Return a topic's newest records, over connections of their own.

    One that is silent then holds up no other call.

    :raises platform.StoreError: if the store did not answer with them
    """
    store = platform.StoreClient(address)
    try:
        return await store.newest(topic, partition)
    finally:
        await store.close()


async def read_once(address: str, found: Found) -> None:
    """Read all entries' addresses, however long it takes."""
    page = await _read_first(address)
    found(_decode(page.records))


async def follow(
    store: platform.StoreClient, address: str, found: Found
) -> None:
    """Report entries' addresses for ever, as they come.

    :param store: the platform's store
    :param address: its ``host:port``
    :param found: takes the addresses
    """
    page = await _read_first(address)
    found(_decode(page.records))
    offset = page.next_offset
    while True:
        with contextlib.suppress(platform.StoreError):
            while True:
                page = await store.read(MEMBERS_TOPIC, offset, _WAIT_S)
                found(_decode(page.records))
                offset = page.next_offset
        await anyio.sleep(RETRY_S)
        with contextlib.suppress(platform.StoreError):
            page = await store.newest(MEMBERS_TOPIC)
            found(_decode(page.records))
            offset = page.next_offset


class Dialler:
    """Keeps streams open to the entries that are known.

    :param name: this process; entries dial only names after their own, so
        that two of them don't replace each other's streams
    :param mesh: the streams
    """

    def __init__(self, mesh: net.Mesh, name: str = "") -> None:
        self._mesh = mesh
        self._name = name
        self._hosts: dict[str, wire.EntryAddress] = {}
        self._seeds: set[str] = set()

    def dial(
        self,
        group: anyio_abc.TaskGroup,
        entries: abc.Iterable[wire.EntryAddress],
    ) -> None:
        """Dial new entries, and changed addresses anew."""
        for entry in entries:
            if (
                entry.name <= self._name
                or self._hosts.get(entry.name) == entry
            ):
                continue
            if entry.name in self._hosts:
                self._mesh.forget(entry.name)
            self._hosts[entry.name] = entry
            address = net.PeerAddress(entry.name, entry.host, entry.port)
            group.start_soon(self._mesh.keep_dialling, address)

    def leave(self, name: str) -> None:
        """Stop dialling an entry and close the stream to it."""
        self._hosts.pop(name, None)
        self._mesh.forget(name)
        self._mesh.close(name)

    def dial_seeds(
        self,
        group: anyio_abc.TaskGroup,
        hosts: abc.Iterable[str],
        port: int,
    ) -> None:
        """Dial hosts whose names are not known until entries are found."""
        for host in hosts:
            seed = f"seed {host}"
            self._seeds.add(seed)
            address = net.PeerAddress(seed, host, port)
            group.start_soon(self._mesh.keep_dialling, address)

    def forget_seeds(self) -> None:
        """Stop dialling seeds; the entries are known by name now."""
        for seed in self._seeds:
            self._mesh.forget(seed)
        self._seeds.clear()
