"""A stand-in for the platform's log store."""

import asyncio
import base64
import collections
import enum

from harness import http

#: Seconds that the store takes for an answer, as on the sheets.
ANSWER_S = 0.004
_PAGE_RECORDS = 500
_OFFSET_BYTES = 8
_LENGTH_BYTES = 4
#: A silent call is answered never; this only bounds the stand-in's memory.
_SILENT_S = 60.0


class Outage(enum.Enum):
    """How the store fails."""

    NONE = "none"
    BUSY = "503"
    RESET = "reset"
    SILENT = "silence"


class Store:
    """Keeps records in memory; what it has acknowledged is never lost."""

    def __init__(self) -> None:
        self._topics: dict[tuple[str, int], list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._appended = asyncio.Event()
        #: Factor on the time of an answer.
        self.slowness = 1.0
        self.outage = Outage.NONE

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> int:
        """Append a record and return its offset.

        An empty value drops the key.
        """
        records = self._topics[topic, part]
        records.append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()
        return len(records) - 1

    async def handle(self, request: http.Request) -> http.Response | None:
        """Answer a call; ``None`` resets its connection."""
        if self.outage is not Outage.NONE:
            return await self._refuse()
        response = await self._answer(request)
        await asyncio.sleep(ANSWER_S * self.slowness)
        if self.outage is not Outage.NONE:
            # An outage strikes the calls that are under way as well.
            return await self._refuse()
        return response

    async def _refuse(self) -> http.Response | None:
        """Answer a call as the outage has it."""
        match self.outage:
            case Outage.BUSY:
                return http.Response.json(503, {})
            case Outage.SILENT:
                await asyncio.sleep(_SILENT_S)
        return None

    async def _answer(self, request: http.Request) -> http.Response:
        query = request.query
        log = query.get("Topic", ""), int(query.get("part", "0"))
        match request.method, request.path:
            case "GET", "/log-newest":
                return self._newest(log, query.get("DependsOn", ""))
            case "GET", "/log-read":
                return await self._read(log, query)
            case "POST", "/log-append":
                return self._append(log, request.body)
        return http.Response.json(404, {})

    def _newest(self, log: tuple[str, int], after: str) -> http.Response:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self._topics[log])
        }
        rows = [
            {
                "TlsKey": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        return http.Response.json(
            200,
            {
                "items": rows[:_PAGE_RECORDS],
                "MorePages": len(rows) > _PAGE_RECORDS,
                "End": len(self._topics[log]),
            },
        )

    async def _read(
        self, log: tuple[str, int], query: dict[str, str]
    ) -> http.Response:
        offset = int(query["From"])
        wait_s = min(30.0, int(query.get("WaitMs", "0")) / 1000.0)
        left = 1024 * int(query.get("MaxKb", "1024"))
        until = asyncio.get_running_loop().time() + wait_s
        while len(self._topics[log]) <= offset:
            remaining_s = until - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._appended.wait(), remaining_s)
            except TimeoutError:
                break
        records = self._topics[log]
        body = len(records).to_bytes(_OFFSET_BYTES, "big")
        body += (0).to_bytes(_OFFSET_BYTES, "big")
        for number, (key, value) in enumerate(records[offset:]):
            record = bytes([len(key)]) + key.encode() + value
            # The first record is returned whatever its size.
            if number and len(record) > left:
                break
            body += len(record).to_bytes(_LENGTH_BYTES, "big") + record
            left -= len(record)
        return http.Response(200, body)

    def _append(self, log: tuple[str, int], body: bytes) -> http.Response:
        first = len(self._topics[log])
        position = 0
        while position < len(body):
            start = position + _LENGTH_BYTES
            end = start + int.from_bytes(body[position:start], "big")
            record = body[start:end]
            position = end
            key_end = 1 + record[0]
            self.put(
                log[0], record[1:key_end].decode(), record[key_end:], log[1]
            )
        return http.Response.json(
            200, {"Offset": first, "End": len(self._topics[log])}
        )
