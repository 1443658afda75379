"""A client of the platform's log store."""

import base64
import binascii
from collections import abc
import dataclasses
from urllib import parse

import loguru
import msgspec

from ferryledge import decoding
from ferryledge import net

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_CONNECT_S = 1.0
#: Timeout in seconds of a call that doesn't wait for records. Short, so that
#: a retry reads a new configuration in time when a connection hangs.
_ANSWER_S = 1.5
#: Two for calls that wait for new records, one for other calls.
_CONNECTIONS = 3
#: Default size limit of a read, in kB.
_MAX_READ_KB = 1024


class StoreError(Exception):
    """The store did not answer, or refused the call.

    A call without an answer may have taken effect.
    """


class RecordsGoneError(StoreError):
    """The requested records are no longer stored; read the newest ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic that keeps the newest record of each key."""

    key: str
    #: An empty value deletes the key.
    value: bytes
    #: Position in the log.
    offset: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """The records that a read returned."""

    records: tuple[KeyedRecord, ...]
    #: Offset to read on from.
    next_offset: int
    #: Offset that the read started from.
    first_offset: int = 0
    #: End of the log at the time of the read.
    end: int = 0


class _NewestItem(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="TlsKey")
    value: str = msgspec.field(name="Value")
    offset: decoding.Natural = msgspec.field(name="Offset", default=0)

    def to_record(self) -> KeyedRecord:
        """Return the record.

        A value that is not base64 is passed on undecoded. Whoever uses the
        record rejects it then, like any other value that can't be read.
        """
        try:
            value = base64.b64decode(self.value)
        except (binascii.Error, ValueError):
            value = self.value.encode()
        return KeyedRecord(self.key, value, self.offset)


class _NewestPage(msgspec.Struct, frozen=True):
    #: Each is decoded separately, so that an invalid one hides no others.
    items: tuple[msgspec.Raw, ...] = ()
    more: bool = msgspec.field(name="MorePages", default=False)
    end: decoding.Natural = msgspec.field(name="End", default=0)

    def records(self) -> list[KeyedRecord]:
        """Return the records; log and omit those that can't be decoded."""
        records = []
        for item in self.items:
            try:
                decoded = decoding.decode_json(bytes(item), _NewestItem)
            except decoding.DecodingError as exc:
                loguru.logger.warning("invalid record in a list: {}", exc)
                continue
            records.append(decoded.to_record())
        return records


#: Maps the size of an answer in bytes to the rate at which it is read, in
#: bytes per second.
Rate = abc.Callable[[int], float]


class StoreClient:
    """Reads and writes topics over HTTP.

    :param address: ``host:port`` of the store
    :param window_bytes: maximum of bytes in flight to this process on one
        connection; 0 is unlimited
    """

    def __init__(self, address: str, window_bytes: int = 0) -> None:
        self._address = address
        self._window_bytes = window_bytes
        self._caller = self._create_caller()

    def _create_caller(self) -> net.HttpClient:
        return net.HttpClient(
            f"http://{self._address}",
            _CONNECTIONS,
            replace_idle=True,
            window_bytes=self._window_bytes,
        )

    def set_address(self, address: str) -> None:
        """Use another address for new calls; calls in progress continue."""
        if address != self._address:
            self._address = address
            self._caller = self._create_caller()

    async def close(self) -> None:
        """Close all connections that are not in use."""
        await self._caller.close()

    async def read_newest(
        self,
        topic: str,
        partition: int = 0,
        after: str = "",
        rate: Rate | None = None,
    ) -> KeyedPage:
        """Return the newest record of each key.

        :param topic: a topic that keeps the newest record of each key
        :param partition: number of the topic's partition
        :param after: return only keys after this one; empty returns all
        :param rate: limits how fast the answer is read; defaults to no limit
        :raises StoreError: if the call failed
        """
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        while True:
            path = f"/log-newest?Topic={topic}&part={partition}"
            if after:
                path += f"&DependsOn={parse.quote(after, safe='')}"
            content = await self._call("GET", path, rate=rate)
            page = _decode_newest(content)
            page_records = page.records()
            records += page_records
            if next_offset is None:
                # Records may be written between the pages, also to keys of
                # earlier pages. Reading on from the end that came with the
                # first page returns them.
                next_offset = page.end
            if not page.more or not page.items:
                return KeyedPage(tuple(records), next_offset, 0, page.end)
            if not page_records:
                raise StoreError("no record of a list can be decoded")
            after = page_records[-1].key

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        max_kb: int = _MAX_READ_KB,
        rate: Rate | None = None,
    ) -> KeyedPage:
        """Return the records from an offset on, and wait if there are none.

        :param topic: a topic that keeps the newest record of each key
        :param offset: offset of the first record
        :param wait_s: maximum wait for a record in seconds
        :param max_kb: approximate size limit in kB; records are not
            truncated
        :param rate: limits how fast the answer is read; defaults to no limit
        :raises RecordsGoneError: if the offset is no longer stored
        :raises StoreError: if the call failed
        """
        path = (
            f"/log-read?Topic={topic}&part=0&From={offset}"
            f"&WaitMs={int(wait_s * 1000.0)}&MaxKb={max_kb}"
        )
        content = await self._call(
            "GET", path, answer_s=wait_s + _ANSWER_S, rate=rate
        )
        records = tuple(_decode_records(content, offset))
        next_offset = offset + len(records)
        end = int.from_bytes(content[:_OFFSET_BYTES], "big")
        return KeyedPage(records, next_offset, offset, max(end, next_offset))

    async def put(
        self, topic: str, record: KeyedRecord, partition: int = 0
    ) -> None:
        """Append one record.

        :param topic: a topic that keeps the newest record of each key
        :param record: the record to append
        :param partition: number of the topic's partition
        :raises StoreError: if the store did not confirm the record
        """
        key = record.key.encode()
        raw = bytes([len(key)]) + key + record.value
        body = len(raw).to_bytes(_LENGTH_BYTES, "big") + raw
        path = f"/log-append?Topic={topic}&part={partition}"
        await self._call("POST", path, body)

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes = b"",
        answer_s: float = _ANSWER_S,
        rate: Rate | None = None,
    ) -> bytes:
        try:
            response = await self._caller.call(
                method,
                path,
                content,
                connect_s=_CONNECT_S,
                answer_s=answer_s,
                rate=rate,
            )
        except net.CallError as exc:
            raise StoreError(f"{path}: {exc}") from exc
        if response.status == 410:
            raise RecordsGoneError(path)
        if response.status != 200:
            raise StoreError(f"{path}: status {response.status}")
        return response.content


def _decode_newest(content: bytes) -> _NewestPage:
    try:
        return decoding.decode_json(content, _NewestPage)
    except decoding.DecodingError as exc:
        raise StoreError(f"unreadable list of records: {exc}") from exc


def _decode_records(content: bytes, offset: int) -> abc.Iterator[KeyedRecord]:
    """Yield the records of an answer, which begins with two offsets.

    A record that is shorter than its key has neither key nor value, so that
    the records after it keep their offsets.

    :param content: body of the answer; a truncated last record is skipped
    :param offset: offset of the first record
    """
    position = 2 * _OFFSET_BYTES
    while position + _LENGTH_BYTES <= len(content):
        start = position + _LENGTH_BYTES
        length = int.from_bytes(content[position:start], "big")
        raw = content[start : start + length]
        if len(raw) < length:
            return
        position = start + length
        key_end = 1 + raw[0] if raw else 1
        key = raw[1:key_end] if key_end <= length else b""
        yield KeyedRecord(key.decode(errors="replace"), raw[key_end:], offset)
        offset += 1
