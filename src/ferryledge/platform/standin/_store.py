"""A stand-in for the platform's log store, with keyed topics only."""

import base64
import collections
import enum
import json

import anyio

from ferryledge import net

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
#: Seconds by which a silent store, or one that loses answers, is delayed.
_SILENCE_S = 30.0


class StoreBehaviour(enum.Enum):
    """How the store answers."""

    UP = "up"
    #: All calls are handled and answered late, after ``_SILENCE_S``.
    SILENT = "silent"
    #: Calls are refused with status 503.
    BUSY = "busy"
    #: Calls take a quarter of a second.
    SLOW = "slow"
    #: Writes take effect, but are not answered in time.
    LOST = "lost"


class StoreServer:
    """Keeps topics in memory and serves them over HTTP."""

    def __init__(self) -> None:
        self.behaviour = StoreBehaviour.UP
        self._topics: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._appended = anyio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key."""
        self._topics[topic].append((key, value))
        self._appended.set()
        self._appended = anyio.Event()

    async def handle(self, request: net.Request) -> net.HttpResponse:
        """Answer a call according to :attr:`behaviour`."""
        match self.behaviour:
            case StoreBehaviour.SILENT:
                await anyio.sleep(_SILENCE_S)
            case StoreBehaviour.BUSY:
                return net.HttpResponse.json(503, {})
            case StoreBehaviour.SLOW:
                await anyio.sleep(0.25)
        response = await self._answer(request)
        if self.behaviour is StoreBehaviour.LOST and request.method == "POST":
            await anyio.sleep(_SILENCE_S)
        return response

    async def _answer(self, request: net.Request) -> net.HttpResponse:
        topic = request.query("Topic")
        match request.method, request.path:
            case "GET", "/log-newest":
                return self._newest(topic, request.query("DependsOn", ""))
            case "GET", "/log-read":
                offset = int(request.query("From"))
                wait_s = int(request.query("WaitMs", "0")) / 1000.0
                max_bytes = 1024 * int(request.query("MaxKb", "1024"))
                return await self._read(topic, offset, wait_s, max_bytes)
            case "POST", "/log-append":
                return self._append(topic, await request.body())
        return net.HttpResponse.json(404, {})

    def _newest(self, topic: str, after: str) -> net.HttpResponse:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self._topics[topic])
            if key > after
        }
        items = [
            {
                "TlsKey": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        end = len(self._topics[topic])
        return net.HttpResponse.json(
            200, {"items": items, "MorePages": False, "End": end}
        )

    async def _read(
        self, topic: str, offset: int, wait_s: float, max_bytes: int
    ) -> net.HttpResponse:
        with anyio.move_on_after(wait_s):
            while len(self._topics[topic]) <= offset:
                await self._appended.wait()
        records = self._topics[topic]
        body = len(records).to_bytes(_OFFSET_BYTES, "big")
        body += (0).to_bytes(_OFFSET_BYTES, "big")
        for key, value in records[offset:]:
            # The first record is returned regardless of its size.
            if max_bytes <= 0:
                break
            record = bytes([len(key)]) + key.encode() + value
            body += len(record).to_bytes(_LENGTH_BYTES, "big") + record
            max_bytes -= len(record)
        return net.HttpResponse(200, body)

    def _append(self, topic: str, body: bytes) -> net.HttpResponse:
        first = len(self._topics[topic])
        position = 0
        while position < len(body):
            start = position + _LENGTH_BYTES
            length = int.from_bytes(body[position:start], "big")
            record = body[start : start + length]
            position = start + length
            key_end = 1 + record[0]
            self.put(topic, record[1:key_end].decode(), record[key_end:])
        end = len(self._topics[topic])
        text = json.dumps({"Offset": first, "End": end}).encode()
        return net.HttpResponse(200, text)
