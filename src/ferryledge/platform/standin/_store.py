"""A stand-in for the platform's log store, for topics with keys."""

import base64
import collections
import enum
import json

import anyio

from ferryledge import net

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
#: How long a silent store keeps a call, in seconds.
_SILENCE_S = 30.0


class StoreBehaviour(enum.Enum):
    """How the store answers."""

    UP = "up"
    SILENT = "silent"
    BUSY = "busy"
    SLOW = "slow"
    #: Writes are done and not answered.
    LOST = "lost"


class StoreServer:
    """Keeps topics in memory and serves them over HTTP."""

    def __init__(self) -> None:
        self.behaviour = StoreBehaviour.UP
        self._topics: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._grown = anyio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator does; no value drops the key."""
        self._topics[topic].append((key, value))
        self._grown.set()
        self._grown = anyio.Event()

    async def handle(self, request: net.Request) -> net.HttpResponse:
        """Answer a call, as the behaviour has it."""
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
                most = 1024 * int(request.query("MaxKb", "1024"))
                return await self._read(topic, offset, wait_s, most)
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
        self, topic: str, offset: int, wait_s: float, most: int
    ) -> net.HttpResponse:
        with anyio.move_on_after(wait_s):
            while len(self._topics[topic]) <= offset:
                await self._grown.wait()
        records = self._topics[topic]
        body = len(records).to_bytes(_OFFSET_BYTES, "big")
        body += (0).to_bytes(_OFFSET_BYTES, "big")
        for key, value in records[offset:]:
            # One record is given in any case.
            if most <= 0:
                break
            raw = bytes([len(key)]) + key.encode() + value
            body += len(raw).to_bytes(_LENGTH_BYTES, "big") + raw
            most -= len(raw)
        return net.HttpResponse(200, body)

    def _append(self, topic: str, body: bytes) -> net.HttpResponse:
        first = len(self._topics[topic])
        at = 0
        while at < len(body):
            start = at + _LENGTH_BYTES
            length = int.from_bytes(body[at:start], "big")
            raw = body[start : start + length]
            at = start + length
            key_end = 1 + raw[0]
            self.put(topic, raw[1:key_end].decode(), raw[key_end:])
        end = len(self._topics[topic])
        text = json.dumps({"Offset": first, "End": end}).encode()
        return net.HttpResponse(200, text)
