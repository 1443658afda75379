"""Stand-ins of the platform's store and of an executor."""

import asyncio
import base64
import collections
import json
import time

import http_server

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
MAX_WAIT_MS = 2000
STOP_S = 0.03
TICK_S = 0.005


class Store:
    """The platform's log, with keyed topics only."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self._appended = asyncio.Event()
        self._server = None
        self.calls = 0

    async def start(self, host, port):
        """Serve at an address."""
        self._server = await http_server.serve(host, port, self.handle)

    def detach(self):
        """Return the server, which serves on beside the next one."""
        return self._server

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        self.topics[topic].append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()

    async def handle(self, request):
        self.calls += 1
        topic = request.query.get("Topic", ""), request.query.get("part", "0")
        match request.method, request.path:
            case "GET", "/log-newest":
                return self._newest(topic, request.query.get("DependsOn", ""))
            case "GET", "/log-read":
                return await self._read(topic, request.query)
            case "POST", "/log-append":
                return self._append(topic, request.body)
        return 404, {}

    def _newest(self, topic, after):
        newest = {}
        for offset, (key, value) in enumerate(self.topics[topic]):
            newest[key] = offset, value
        items = [
            {
                "TlsKey": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        end = len(self.topics[topic])
        return 200, {"items": items, "MorePages": False, "End": end}

    async def _read(self, topic, query):
        first = int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
        while len(self.topics[topic]) <= first:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._appended.wait(), left)
            except TimeoutError:
                break
        records = self.topics[topic]
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        left = 1024 * int(query.get("MaxKb", "1024"))
        for key, value in records[first:]:
            if left <= 0:
                break
            record = bytes([len(key)]) + key.encode() + value
            body += len(record).to_bytes(4, "big") + record
            left -= len(record)
        return 200, body

    def _append(self, topic, body):
        first = len(self.topics[topic])
        position = 0
        while position < len(body):
            start = position + 4
            length = int.from_bytes(body[position:start], "big")
            record = body[start : start + length]
            position = start + length
            key_end = 1 + record[0]
            self.put(topic, record[1:key_end].decode(), record[key_end:])
        return 200, {"Offset": first, "End": len(self.topics[topic])}


class Executor:
    """One executor; its work is what the spec says, in milliseconds.

    :param name: its id
    :param service: the service that it belongs to
    :param zone: its zone
    :param labels: its kind and rack
    :param cpu: thousandths of a core
    :param record: called with each event
    """

    def __init__(self, name, service, zone, labels, cpu, record):
        self.name = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self._record = record
        self._born = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._running = {}
        self._ended = []
        self._count = 0
        self._closed = {}
        self._seq = 0
        self._changed = asyncio.Event()
        self.draining = False
        self._address = ""
        self._tasks = []
        self._server = None

    async def start(self, host, port, agent_host, agent_port):
        """Accept calls, and send heartbeats to the agent."""
        self._address = f"{host}:{port}"
        self._server = await http_server.serve(host, port, self.handle)
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._beat(agent_host, agent_port)),
        ]

    def clock_ms(self):
        return int((time.monotonic() - self._born) * 1000.0) + 100_000

    async def _beat(self, host, port):
        while True:
            self._seq += 1
            fields = {
                "Backend": self.service,
                "Address": self._address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "draining" if self.draining else "ready",
                "ColdMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": 65536, "Gpu": 0},
                "Labels": self.labels,
                "ClockMs": self.clock_ms(),
                "Seq": self._seq,
            }
            path = f"/instances/{self.name}/heartbeat"
            try:
                await http_server.call(
                    host, port, "POST", path, fields, timeout_s=1.0
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self._running and self.clock_ms() > self._lease_ms:
                for key in list(self._running):
                    self._end(key, "lapsed")
            for key, run in list(self._running.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self._end(key, "stopped")
                elif now >= run["done_at"]:
                    self._end(key, "done")

    def _end(self, key, how):
        del self._running[key]
        task, run = key
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._count += 1
        self._ended.append([self._count, task, run, how, ""])
        self._record("end", executor=self.name, task=task, run=run, how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        expected = request.headers.get("expect-instance", "")
        if expected and expected != self.name:
            return 421, {}
        if request.path == "/healthz":
            return 200, {}
        fields = request.json()
        clock = {"ClockMs": self.clock_ms()}
        token = fields.get("FencingToken", 0)
        if token < self._token:
            return 409, {**clock, "Reason": "fence"}
        self._token = token
        match request.path:
            case "/run-start":
                return self._start(fields, clock)
            case "/run-stop":
                return self._stop(fields, clock)
            case "/hold":
                return await self._hold(fields)
        return 404, {}

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start(self, fields, clock):
        task, run = fields["Task"], fields["Run"]
        if fields["DeadlineMs"] <= self.clock_ms():
            return 409, {**clock, "Reason": "late"}
        self._extend(fields["DeadlineMs"])
        if (task, run) in self._running:
            return 200, clock
        if run <= self._closed.get(task, 0):
            return 409, {**clock, "Reason": "old"}
        work_s = json.loads(fields["Spec"])["ms"] / 1000.0
        self._running[task, run] = {
            "begun_at": time.monotonic(),
            "done_at": time.monotonic() + work_s,
            "work_s": work_s,
            "stop_at": None,
        }
        self._record("start", executor=self.name, task=task, run=run)
        return 200, clock

    def _stop(self, fields, clock):
        task, run = fields["Task"], fields["Run"]
        known = self._running.get((task, run))
        if known is not None and known["stop_at"] is None:
            known["stop_at"] = time.monotonic() + STOP_S
        self._closed[task] = max(run, self._closed.get(task, 0))
        return 200, clock

    async def _hold(self, fields):
        if "DeadlineMs" in fields:
            self._extend(fields["DeadlineMs"])
        upto = fields.get("AckedUpto", 0)
        self._ended = [end for end in self._ended if end[0] > upto]
        wait_ms = min(fields.get("WaitMs", 0), MAX_WAIT_MS)
        if wait_ms and not self._ended:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1000.0)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                task,
                run,
                "",
                min(99, int(100 * (now - row["begun_at"]) / row["work_s"])),
                0,
            ]
            for (task, run), row in self._running.items()
        ]
        return 200, {
            "ClockMs": self.clock_ms(),
            "Running": running,
            "Ended": self._ended[:500],
        }
