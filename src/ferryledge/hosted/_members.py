"""Discovers entries through the store and connects to them.

Each entry registers its address in a topic of the store. Until an entry is
found there, processes connect to configured seed hosts.
"""

from collections import abc
import contextlib
import ipaddress
import typing

import anyio
from anyio import abc as anyio_abc
import loguru
import msgspec

from ferryledge import decoding
from ferryledge.hosted import _first_answer
from ferryledge.hosted import _unreadable
from ferryledge import net
from ferryledge import platform
from ferryledge import wire

#: Topic with one record per entry, keyed by the entry's name.
MEMBERS_TOPIC = "keyed.ferryledge-entries"
#: Seconds between attempts while the store does not answer.
RETRY_S = 0.5
#: Seconds that one call waits for new records.
_WAIT_S = 10.0
_LAST_PORT = 65535

AnswerT = typing.TypeVar("AnswerT")
OnEntries = abc.Callable[[tuple[wire.EntryAddress, ...]], None]


async def register(
    store: platform.StoreClient, address: wire.EntryAddress
) -> None:
    """Write an entry's address to the store; retry until it is accepted."""
    record = platform.KeyedRecord(address.name, msgspec.json.encode(address))
    await retry_until_answered(lambda: store.put(MEMBERS_TOPIC, record))
    loguru.logger.info("registered in the store", step="join")


async def retry_until_answered(
    call: abc.Callable[[], abc.Awaitable[AnswerT]],
) -> AnswerT:
    """Repeat a call until the store answers it."""
    while True:
        try:
            return await call()
        except platform.StoreError as exc:
            loguru.logger.debug("store did not answer: {}", exc, step="join")
            await anyio.sleep(RETRY_S)


def _decode(
    records: abc.Iterable[platform.KeyedRecord],
    note_unreadable: _unreadable.NoteRecord = _unreadable.log_record,
) -> tuple[wire.EntryAddress, ...]:
    entries = []
    for record in records:
        if not record.value:
            continue
        try:
            entries.append(_decode_record(record))
        except ValueError as exc:
            note_unreadable(MEMBERS_TOPIC, record, exc)
    return tuple(entries)


def _decode_record(record: platform.KeyedRecord) -> wire.EntryAddress:
    """Return the address in an entry's record.

    :raises ValueError: if the record holds no valid address of its entry
    """
    address = msgspec.structs.replace(
        decoding.decode_json(record.value, wire.EntryAddress),
        version=record.offset + 1,
    )
    ipaddress.ip_address(address.host)
    if address.name != record.key or not 0 < address.port <= _LAST_PORT:
        raise ValueError("the name is not the key, or the port is invalid")
    return address


async def _read_first(address: str) -> platform.KeyedPage:
    """Return all entries' records from the first answer of the store."""
    return await _first_answer.first_answer(
        lambda: newest_over_own_connection(address, MEMBERS_TOPIC)
    )


async def newest_over_own_connection(
    address: str, topic: str, partition: int = 0
) -> platform.KeyedPage:
    """Return a topic's newest records, read on a separate connection.

    A connection that hangs then delays no other call.

    :raises platform.StoreError: if the store does not answer
    """
    store = platform.StoreClient(address)
    try:
        return await store.read_newest(topic, partition)
    finally:
        await store.close()


def seed_hosts(settings: platform.Settings) -> list[str]:
    """Return the hosts of the seeds; log and omit malformed addresses."""
    hosts = []
    for seed in settings.seeds:
        try:
            hosts.append(platform.split_address(seed)[0])
        except platform.SettingsError as exc:
            loguru.logger.warning("seed ignored: {}", exc, step="join")
    return hosts


async def read_once(
    address: str,
    on_entries: OnEntries,
    note_unreadable: _unreadable.NoteRecord = _unreadable.log_record,
) -> None:
    """Read all entries' addresses once; retry until the store answers."""
    page = await _read_first(address)
    on_entries(_decode(page.records, note_unreadable))


async def follow(
    store: platform.StoreClient,
    address: str,
    on_entries: OnEntries,
    note_unreadable: _unreadable.NoteRecord = _unreadable.log_record,
) -> None:
    """Report entries' addresses as they change, until cancelled.

    :param store: the platform's store
    :param address: ``host:port`` of the store
    :param on_entries: called with the addresses of each answer
    :param note_unreadable: called for each record that can't be read;
        defaults to logging it
    """
    page = await _read_first(address)
    on_entries(_decode(page.records, note_unreadable))
    offset = page.next_offset
    while True:
        with contextlib.suppress(platform.StoreError):
            while True:
                page = await store.read(MEMBERS_TOPIC, offset, _WAIT_S)
                on_entries(_decode(page.records, note_unreadable))
                offset = page.next_offset
        await anyio.sleep(RETRY_S)
        with contextlib.suppress(platform.StoreError):
            page = await store.read_newest(MEMBERS_TOPIC)
            on_entries(_decode(page.records, note_unreadable))
            offset = page.next_offset


class Dialler:
    """Keeps streams open to the known entries.

    :param mesh: holds the streams
    :param name: this entry's name, or empty in an agent; an entry dials only
        names that sort after its own, so that two entries don't replace each
        other's streams
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
        """Dial new entries and redial those whose address changed."""
        for entry in entries:
            if (
                entry.name <= self._name
                or self._hosts.get(entry.name) == entry
            ):
                continue
            if entry.name in self._hosts:
                self._mesh.stop_dialling(entry.name)
            self._hosts[entry.name] = entry
            address = net.PeerAddress(entry.name, entry.host, entry.port)
            group.start_soon(self._mesh.keep_dialling, address)

    def drop(self, name: str) -> None:
        """Stop dialling an entry and close the stream to it."""
        self._hosts.pop(name, None)
        self._mesh.stop_dialling(name)
        self._mesh.close(name)

    def dial_seeds(
        self,
        group: anyio_abc.TaskGroup,
        hosts: abc.Iterable[str],
        port: int,
    ) -> None:
        """Dial seed hosts, whose entry names are not known yet."""
        for host in hosts:
            seed = f"seed {host}"
            self._seeds.add(seed)
            address = net.PeerAddress(seed, host, port)
            group.start_soon(self._mesh.keep_dialling, address)

    def forget_seeds(self) -> None:
        """Stop dialling seeds, since entries are known by name."""
        for seed in self._seeds:
            self._mesh.stop_dialling(seed)
        self._seeds.clear()
