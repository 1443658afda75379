"""A stand-in for the platform's metadata store, with keyed topics."""

import asyncio
import base64
import collections
from collections import abc
import enum

import record as record_module
import web


class Gate(enum.Enum):
    """How the store treats the calls of one machine."""

    OPEN = "open"
    #: Turned away with 503; nothing is done.
    BUSY = "busy"
    #: Nothing is answered, and nothing done.
    SILENT = "silent"


class Machine:
    """One machine's way to the store, on an address of its own."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.gate = Gate.OPEN
        #: The next writes get no answer, and are done this much later.
        self.late_writes = 0
        self.late_s = 0.0


class Store:
    """Keeps topics in memory.

    :param record: hears of writes
    """

    def __init__(self, record: record_module.Record) -> None:
        self._record = record
        self._topics: dict[tuple[str, str], list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._appended = asyncio.Event()
        self._late: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int, name: str) -> Machine:
        """Serve one machine on an address."""
        machine = Machine(name)

        async def handle(request: web.Request) -> web.Response:
            return await self._handle(machine, request)

        await web.serve(host, port, handle)
        return machine

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record into partition 0, as the operator does."""
        self._append((topic, "0"), [(key, value)])

    async def _handle(
        self, machine: Machine, request: web.Request
    ) -> web.Response:
        if machine.gate is Gate.SILENT:
            return web.SILENCE
        if machine.gate is Gate.BUSY:
            if request.method == "POST":
                topic = request.query["Topic"]
                self._record.note("store", f"{machine.name} {topic}: 503")
            return web.Response.of(503)
        query = request.query
        where = query.get("Topic", ""), query.get("part", "0")
        match request.method, request.path:
            case "GET", "/log-newest":
                return self._newest(where, query.get("DependsOn", ""))
            case "GET", "/log-read":
                return await self._read(where, query)
            case "POST", "/log-append":
                records = list(_decode(request.body))
                if machine.late_writes:
                    machine.late_writes -= 1
                    self._write_late(machine, where, records)
                    return web.SILENCE
                self._record.note(
                    "store",
                    f"{machine.name} writes {where[0]}:"
                    f" {[(k, v.decode()) for k, v in records]}",
                )
                first = self._append(where, records)
                end = len(self._topics[where])
                return web.Response.of(200, {"Offset": first, "End": end})
        return web.Response.of(404)

    def _write_late(
        self, machine: Machine, where: tuple[str, str], records: list
    ) -> None:
        async def write() -> None:
            await asyncio.sleep(machine.late_s)
            self._append(where, records)
            self._record.note("store", f"{machine.name}: late write is done")

        self._record.note(
            "store",
            f"{machine.name} writes {where[0]}: no answer, done"
            f" {machine.late_s} s later",
        )
        task = asyncio.create_task(write())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _append(
        self, where: tuple[str, str], records: list[tuple[str, bytes]]
    ) -> int:
        log = self._topics[where]
        first = len(log)
        log.extend(records)
        self._appended.set()
        self._appended = asyncio.Event()
        return first

    def _newest(self, where: tuple[str, str], after: str) -> web.Response:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self._topics[where])
        }
        items = [
            {
                "TlsKey": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        end = len(self._topics[where])
        value = {"items": items, "MorePages": False, "End": end}
        return web.Response.of(200, value)

    async def _read(
        self, where: tuple[str, str], query: dict[str, str]
    ) -> web.Response:
        offset = int(query["From"])
        wait_s = int(query.get("WaitMs", "0")) / 1000.0
        try:
            async with asyncio.timeout(wait_s):
                while len(self._topics[where]) <= offset:
                    await self._appended.wait()
        except TimeoutError:
            pass
        log = self._topics[where]
        body = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        left = 1024 * int(query.get("MaxKb", "1024"))
        for key, value in log[offset:]:
            raw = bytes([len(key)]) + key.encode() + value
            if left <= 0:
                break
            left -= len(raw)
            body += len(raw).to_bytes(4, "big") + raw
        return web.Response(200, body, "application/octet-stream")


def _decode(body: bytes) -> abc.Iterator[tuple[str, bytes]]:
    position = 0
    while position + 4 <= len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        raw = body[position + 4 : position + 4 + length]
        position += 4 + length
        end = 1 + raw[0]
        yield raw[1:end].decode(), raw[end:]
