"""A client of the platform's log store."""

import base64
from collections import abc
import dataclasses

import msgspec

from ferryledge import net

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_CONNECT_S = 1.0
#: Seconds for an answer that need not wait for records. With the wait for a
#: configuration and a new try, one that is written while connections go
#: silent is in force within 2.8 s.
_ANSWER_S = 1.5
#: Two for calls that wait for changes, one to look beside them.
_CONNECTIONS = 3
#: What one read takes at the most, in kB, unless less is asked for.
_MOST_KB = 1024


class StoreError(Exception):
    """The store did not answer, or refused.

    Nothing is known of a call without an answer: it may have been done.
    """


class RecordsGoneError(StoreError):
    """The records asked for are no longer kept; read the newest ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic that keeps the newest of each key."""

    key: str
    #: Empty drops the key.
    value: bytes
    #: Where it stands in the log.
    offset: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in the order of the log."""

    records: tuple[KeyedRecord, ...]
    #: The offset after the last record.
    next_offset: int
    #: The offset that was read from.
    first_offset: int = 0
    #: The log's end when this was read.
    end: int = 0


class _Item(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="TlsKey")
    value: str = msgspec.field(name="Value")
    offset: int = msgspec.field(name="Offset", default=0)


class _Newest(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...] = ()
    more: bool = msgspec.field(name="MorePages", default=False)
    end: int = msgspec.field(name="End", default=0)


#: Returns at how many bytes a second an answer of a size is read.
Rate = abc.Callable[[int], float]


class StoreClient:
    """Reads and writes topics by HTTP.

    :param address: ``host:port`` of the store
    :param window_bytes: what may be on its way to this process on one
        connection; 0 is without limit
    """

    def __init__(self, address: str, window_bytes: int = 0) -> None:
        self._address = address
        self._window_bytes = window_bytes
        self._caller = self._open()

    def _open(self) -> net.HttpCaller:
        return net.HttpCaller(
            f"http://{self._address}",
            _CONNECTIONS,
            replace_idle=True,
            window_bytes=self._window_bytes,
        )

    def move(self, address: str) -> None:
        """Call another address from now on; calls on their way go on."""
        if address != self._address:
            self._address = address
            self._caller = self._open()

    async def close(self) -> None:
        """Close all connections that are not in use."""
        await self._caller.close()

    async def newest(
        self,
        topic: str,
        partition: int = 0,
        after: str = "",
        rate: Rate | None = None,
    ) -> KeyedPage:
        """Return the newest record of each key.

        :param topic: a topic that keeps them
        :param partition: of the topic
        :param after: keys up to this one are left out; empty is none
        :param rate: how fast the answer is read; none is at once
        :raises StoreError: if the store did not answer with them
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        while True:
            path = f"/log-newest?Topic={topic}&part={partition}"
            if after:
                path += f"&DependsOn={after}"
            content = await self._call("GET", path, rate=rate)
            page = _decode_newest(content)
            records += [
                KeyedRecord(
                    item.key, base64.b64decode(item.value), item.offset
                )
                for item in page.items
            ]
            if end is None:
                # Later pages may be of a later log: what was written between
                # them to a key that has passed is read from here on.
                end = page.end
            if not page.more or not page.items:
                return KeyedPage(tuple(records), end, 0, end)
            after = page.items[-1].key

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        most_kb: int = _MOST_KB,
        rate: Rate | None = None,
    ) -> KeyedPage:
        """Return the records from an offset on, once there is one.

        :param topic: a topic that keeps the newest record of each key
        :param offset: of the first record
        :param wait_s: seconds to wait for a record
        :param most_kb: about how much is read; a record is not cut off
        :param rate: how fast the answer is read; none is at once
        :raises RecordsGoneError: if the offset is no longer kept
        :raises StoreError: if the store did not answer with them
        """
        path = (
            f"/log-read?Topic={topic}&part=0&From={offset}"
            f"&WaitMs={int(wait_s * 1000.0)}&MaxKb={most_kb}"
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
        :param record: what to append
        :param partition: of the topic
        :raises StoreError: if it is not known to be kept
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


def _decode_newest(content: bytes) -> _Newest:
    try:
        return msgspec.json.decode(content, type=_Newest)
    except msgspec.DecodeError as exc:
        raise StoreError(f"unreadable list of records: {exc}") from exc


def _decode_records(content: bytes, offset: int) -> abc.Iterator[KeyedRecord]:
    """Yield the records behind the two offsets that lead an answer.

    :param content: the answer; a record that is cut off ends it
    :param offset: of the first record
    """
    at = 2 * _OFFSET_BYTES
    while at + _LENGTH_BYTES <= len(content):
        start = at + _LENGTH_BYTES
        length = int.from_bytes(content[at:start], "big")
        raw = content[start : start + length]
        if not raw or len(raw) < length:
            return
        at = start + length
        key_end = 1 + raw[0]
        key = raw[1:key_end].decode(errors="replace")
        yield KeyedRecord(key, raw[key_end:], offset)
        offset += 1
