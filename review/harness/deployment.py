"""Starts the programs of the deploy file beside the stand-ins."""

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from harness import executor
from harness import http
from harness import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
_KEEP = ("PATH", "HOME", "LANG")
_PORTS = 20
HOSTNAME = "desk.example"
SERVICE = "order-desk"
_READY_S = 15.0

#: Bounds of the small sites.
SMALL_BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "RecoveryS": 12,
    "HoldMaxMs": 1000,
    "StopMs": 50,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "FarX": 1.5,
    "SaveS": 0.5,
    "RestoreMs": 600,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "EnforceFencing": True,
    "LeaseTtlMs": 3000,
    "ThawMs": 300,
    "PaceMs": 100,
    "HarmMs": 4000,
    "RetransmitMs": 1300,
}


class Record:
    """The record of what was sent, answered and run.

    :param path: the file
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, who: str, text: str) -> None:
        """Append a line."""
        self._file.write(f"{self.now():8.3f} {who}: {text}\n")
        self._file.flush()


def _first_free_port(hosts: abc.Sequence[str]) -> int:
    """Return the first of some ports that are free on all hosts."""
    first = 21_000 + os.getpid() % 500 * _PORTS
    for port in range(first, first + 60 * _PORTS, _PORTS):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for number in range(port, port + _PORTS):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((host, number))
            except OSError:
                continue
            return port
    raise OSError("no free ports")


class Program:
    """One process of the deploy file.

    :param node: the machine's name
    :param role: name of the role
    :param settings: text of its settings file
    :param folder: where its settings and output go
    """

    def __init__(
        self, node: str, role: str, settings: str, folder: pathlib.Path
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.node = node
        self._command = deploy["roles"][role]["run"].split()
        self._variables = deploy["roles"][role].get("env", {})
        self._settings = folder / f"{node}.toml"
        self._settings.write_text(settings)
        self._output = folder / f"{node}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        kept = {name: os.environ[name] for name in _KEEP if name in os.environ}
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={
                    **kept,
                    **self._variables,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "FERRYLEDGE_CONFIG": str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def output(self) -> str:
        """Return what the process has written."""
        return self._output.read_text(errors="replace")

    def end(self) -> None:
        """End the process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Entries, agents with their executors, and the store.

    :param record: the record of the case
    :param entries: number of entries, each in a zone of its own
    :param agents: number of agents
    :param cpu: room of each executor in thousandths of a core
    :param bounds: the bounds in the settings
    """

    def __init__(
        self,
        record: Record,
        entries: int = 3,
        agents: int = 3,
        cpu: int = 16_000,
        bounds: abc.Mapping[str, object] = SMALL_BOUNDS,
    ) -> None:
        self._record = record
        self._bounds = bounds
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self._folder.name)
        net = f"127.{60 + os.getpid() % 100}"
        self.entry_hosts = [f"{net}.1.{n + 1}" for n in range(entries)]
        agent_hosts = [f"{net}.2.{n + 1}" for n in range(agents)]
        self._store_host = f"{net}.3.1"
        #: Where a case may put a path to the first entry.
        self.ingress_host = f"{net}.4.1"
        self._port = _first_free_port(
            [
                *self.entry_hosts,
                *agent_hosts,
                self._store_host,
                self.ingress_host,
            ]
        )
        self.front_port = self._port + 11
        self.ready_port = self._port + 17
        self._control_port = self._port + 16
        self.store = store.Store()
        #: Executors' events: time, what, task, details.
        self.events: list[tuple[float, str, str, dict[str, object]]] = []
        zones = ["hall-a", "hall-b", "hall-c"]
        self.entries = [
            Program(
                f"front-{n}",
                "entry",
                self._settings(f"front-{n}", "front", host, zones[n % 3]),
                folder,
            )
            for n, host in enumerate(self.entry_hosts)
        ]
        self.agents = [
            Program(
                f"side-{n}",
                "agent",
                self._settings(f"side-{n}", "side", host, zones[n % 3]),
                folder,
            )
            for n, host in enumerate(agent_hosts)
        ]
        self.executors = [
            executor.Executor(
                f"executor-{n}",
                SERVICE,
                (host, self._port + 15),
                (host, self._control_port),
                zones[n % 3],
                cpu,
                self._note,
            )
            for n, host in enumerate(agent_hosts)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def _note(self, what: str, task: str, details: dict[str, object]) -> None:
        self.events.append((self._record.now(), what, task, details))
        rest = " ".join(f"{k}={v}" for k, v in details.items() if k != "spec")
        self._record.write("executor", f"{what} {task} {rest}")

    def _settings(self, node: str, kind: str, host: str, zone: str) -> str:
        seeds = json.dumps(
            [f"{each}:{self._control_port}" for each in self.entry_hosts[:3]]
        )
        is_front = kind == "front"
        listen = f'ControlPlane = "{host}:{self._control_port}"'
        if is_front:
            listen += (
                f'\nFrontend = "{host}:{self.front_port}"'
                f'\nReadiness = "{host}:{self.ready_port}"'
            )
        app = "" if is_front else f'app = "{host}:{self._port + 15}"'
        serves = '["front","control"]' if is_front else '["side"]'
        # JSON's numbers and truth values are TOML's.
        bounds = "\n".join(
            f"{name} = {json.dumps(value)}"
            for name, value in self._bounds.items()
        )
        return f"""
Node = "{node}"
Role = "{"entry" if is_front else "agent"}"
MachineClass = "{kind}"
Serves = {serves}
Ip = "{host}"
Zone = "{zone}"
Region = "munster"
PortRange = [{self._port}, {self._port + 9}]
Seeds = {seeds}
Bootstrap = true
CountsAsLoss = false
Discovery = "local"
Entrypoint = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform"]
Commands = "call"
{app}
[Zones]
hall-a = "munster"
hall-b = "munster"
hall-c = "munster"
[ListenAddrs]
{listen}
[Limits]
CpuShares = 0.6
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
{bounds}
[platform]
Address = "{self._store_host}:{self._port + 18}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"""

    async def __aenter__(self) -> "Deployment":
        await http.serve(self.store.handle, self._store_host, self._port + 18)
        for each in self.executors:
            self._tasks.append(asyncio.create_task(each.run()))
        for program in [*self.entries, *self.agents]:
            program.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for program in [*self.entries, *self.agents]:
            program.end()
        self._folder.cleanup()

    async def wait_until_ready(self, numbers: abc.Iterable[int]) -> bool:
        """Wait until entries call themselves ready.

        :return: whether they do in time
        """
        until = time.monotonic() + _READY_S
        waiting = set(numbers)
        while waiting and time.monotonic() < until:
            for number in list(waiting):
                if await self.is_ready(number):
                    waiting.discard(number)
            await asyncio.sleep(0.1)
        return not waiting

    async def is_ready(self, number: int) -> bool:
        """Return whether an entry calls itself ready."""
        try:
            answer = await http.call(
                self.entry_hosts[number],
                self.ready_port,
                "GET",
                "/ready",
                timeout_s=1.0,
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def write_config(self, version: int, queues: abc.Iterable[str]) -> None:
        """Write a configuration with one route a queue, as an operator."""
        routes = [
            {
                "Name": queue,
                "Hostname": HOSTNAME,
                "PathPrefix": f"/{queue}/",
                "Backend": SERVICE,
                "TargetLatencyMs": 60,
                "Priority": 0,
                "Attempts": 3,
                "Stretch": 1.6,
            }
            for queue in queues
        ]
        value = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": SERVICE, "EnforcesCapacity": False}],
            "Limits": {},
        }
        self.write_record("config", json.dumps(value).encode())
        self._record.write(
            "operator",
            f"configuration {version} with {len(routes)} routes acknowledged",
        )

    def write_record(self, key: str, value: bytes) -> None:
        """Write a record under ``op/``; an empty value takes it away."""
        self.store.put("keyed.op", key, value)

    async def call(
        self,
        number: int,
        method: str,
        path: str,
        body: object = None,
        deadline_s: float = 5.0,
    ) -> http.Response | None:
        """Call an entry as a client; ``None`` without an answer."""
        headers = {
            "host": HOSTNAME,
            "deadline-ms": str(int(deadline_s * 1000.0)),
        }
        shown = f"{method} {path} at front-{number}"
        self._record.write("client", f"sent {shown}")
        try:
            answer = await http.call(
                self.entry_hosts[number],
                self.front_port,
                method,
                path,
                body,
                headers,
                deadline_s,
            )
        except (OSError, TimeoutError) as exc:
            self._record.write("client", f"no answer to {shown}: {exc}")
            return None
        text = answer.body.decode(errors="replace")[:160]
        self._record.write(
            "client", f"answer to {shown}: {answer.status} {text}"
        )
        return answer
