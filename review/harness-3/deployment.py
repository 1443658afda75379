"""Starts entries and agents with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_server
import standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOSTNAME = "desk.example"
_BOUNDS = """
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
EvacuateMs = 5000
RecoveryS = 12
HoldMaxMs = 1000
StopMs = 50
cancel_ms = 3000
FarX = 1.5
RetransmitMs = 1300
"""


class CantRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, what, **fields):
        at = round(self.now(), 3)
        self.events.append({"at": at, "what": what, **fields})
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {words}\n")
        self._file.flush()


class Program:
    """An entry or an agent as a process of its own."""

    def __init__(self, name, role, spec, path, folder, record):
        self.name = name
        self._spec = spec
        self.path = path
        self._folder = folder
        self._record = record
        self._log = folder / f"{name}.log"
        self.process = None
        self.role = role

    def start(self):
        words = self._spec["run"].split()
        if words[0] == "python3":
            words[0] = shutil.which("python3") or sys.executable
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment.update(self._spec.get("env", {}))
        environment["FERRYLEDGE_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record("process started", name=self.name)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._record("signal", name=self.name, signal=number.name)

    @property
    def ended(self):
        """The exit code, or ``None`` while it runs."""
        return None if self.process is None else self.process.poll()

    def log_text(self):
        return self._log.read_text(errors="replace")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def _is_free(host, ports):
    for port in ports:
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        finally:
            probe.close()
    return True


class Deployment:
    """A small deployment on loopback addresses.

    :param entries: number of entries
    :param agents: number of agents, each with an executor
    :param cpu: thousandths of a core of each executor
    :param labels: returns the labels of an executor, by its number
    :param spare_entries: number of entries that may be added later
    """

    def __init__(
        self,
        record,
        entries=3,
        agents=4,
        cpu=16000,
        labels=None,
        spare_entries=0,
    ):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        try:
            with (ROOT / "deploy" / "system.toml").open("rb") as file:
                roles = tomllib.load(file)["roles"]
        except OSError as exc:
            raise CantRunError(str(exc)) from exc
        if not (ROOT / "target" / "deps" / "ferryledge").is_dir():
            raise CantRunError("run the build of the deploy file first")
        rng = random.Random()
        count = entries + spare_entries + 2 * agents + 4
        for _ in range(50):
            net = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
            self.port = rng.randrange(20000, 30000)
            hosts = [f"{net}.{number + 1}" for number in range(count)]
            ports = range(self.port, self.port + 14)
            if all(_is_free(host, ports) for host in hosts):
                break
        else:
            raise CantRunError("no free ports")
        self._hosts = iter(hosts)
        self.store_host = next(self._hosts)
        self.store_port = self.port
        self.store_address = f"{self.store_host}:{self.store_port}"
        self.store = standins.Store()
        self.zones = ("north", "south", "east")
        self.entries = []
        self.entry_hosts = []
        for number in range(entries + spare_entries):
            host = next(self._hosts)
            self.entry_hosts.append(host)
            self.entries.append(
                self._program("entry", number, host, "front", "", roles)
            )
        self._first_spare = entries
        self.agents = []
        self.executors = []
        self._agent_hosts = []
        self._executor_hosts = []
        for number in range(agents):
            host, executor_host = next(self._hosts), next(self._hosts)
            self._agent_hosts.append(host)
            self._executor_hosts.append(executor_host)
            app = f"{executor_host}:{self.port}"
            self.agents.append(
                self._program("agent", number, host, "side", app, roles)
            )
            self.executors.append(
                standins.Executor(
                    f"i-{number}",
                    "desk",
                    self.zones[number % 3],
                    labels(number) if labels else ["a", f"r1-{number}"],
                    cpu,
                    record,
                )
            )
        self.spare_hosts = list(self._hosts)

    def _program(self, role, number, host, machine_class, app, roles):
        name = f"{machine_class}-{self.zones[number % 3]}-{number}"
        path = self.folder / f"{name}.toml"
        path.write_text(
            self.settings(name, host, self.zones[number % 3], app)
        )
        return Program(
            name, role, roles[role], path, self.folder, self.record
        )

    async def add_entries(self):
        """Add the spare entries, and wait until they are ready."""
        for program in self.entries[self._first_spare :]:
            program.start()
        await self.wait_ready(self.entry_hosts[self._first_spare :])

    def settings(self, name, host, zone, app, store=""):
        """Return the text of a settings file."""
        return (
            f'Node = "{name}"\nIp = "{host}"\nZone = "{zone}"\n'
            f"PortRange = [{self.port + 2}, {self.port + 9}]\n"
            f'Seeds = ["{self._seed()}"]\nHeartbeatMs = 1500\n'
            f'Commands = "call"\napp = "{app}"\n'
            "[ListenAddrs]\n"
            f'Frontend = "{host}:{self.port + 10}"\n'
            f'Readiness = "{host}:{self.port + 11}"\n'
            f'ControlPlane = "{host}:{self.port + 12}"\n'
            "[Limits]\nLinkMbps = 1000.0\n"
            f"{_BOUNDS}[platform]\n"
            f'Address = "{store or self.store_address}"\nform = "log"\n'
            "parts = 12\n"
        )

    def _seed(self):
        first = self.entry_hosts[0] if self.entry_hosts else "127.0.0.1"
        return f"{first}:{self.port + 12}"

    @property
    def programs(self):
        return [*self.entries, *self.agents]

    def put_config(self, version, queues, **fields):
        """Write a configuration with one route a queue."""
        routes = [
            {
                "Name": f"r-{name}",
                "Hostname": HOSTNAME,
                "PathPrefix": f"/{name}/",
                "Type": "unsafe",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "Priority": 1,
                "Backend": "desk",
                "Attempts": 3,
                "Stretch": 4.0,
                **fields,
            }
            for name in queues
        ]
        config = {"Version": version, "Routes": routes, "Services": []}
        value = json.dumps(config).encode()
        self.store.put(("keyed.op", "0"), "config", value)
        self.record("operator: configuration", version=version, queues=queues)

    async def start(self):
        """Start everything and wait until all entries are ready."""
        await self.store.start(self.store_host, self.store_port)
        first_entries = self.entries[: self._first_spare]
        for program in [*first_entries, *self.agents]:
            program.start()
        for number, executor in enumerate(self.executors):
            await executor.start(
                self._executor_hosts[number],
                self.port,
                self._agent_hosts[number],
                self.port + 12,
            )
        await self.wait_ready(self.entry_hosts[: self._first_spare])

    async def wait_ready(self, hosts, within_s=20.0):
        """Wait until entries say that they are ready."""
        until = time.monotonic() + within_s
        for host in hosts:
            while True:
                if time.monotonic() > until:
                    raise CantRunError(f"entry {host} is not ready")
                try:
                    status, _ = await http_server.call(
                        host, self.port + 11, "GET", "/ready", timeout_s=1.0
                    )
                    if status == 200:
                        break
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def submit(
        self,
        entry,
        queue,
        job,
        steps,
        spec,
        deadline_ms=8000,
        is_silent=None,
    ):
        """Submit a job once; return the status, or a text if there is none."""
        host = self.entry_hosts[entry]
        fields = {"Spec": json.dumps(spec), "Steps": steps, "BestEffort": True}
        headers = {"host": HOSTNAME}
        if deadline_ms:
            headers["deadline-ms"] = str(deadline_ms)
        self.record("client: POST", job=job, entry=entry, queue=queue)
        try:
            status, content = await http_server.call(
                host,
                self.port + 10,
                "POST",
                f"/{queue}/{job}",
                fields,
                headers,
                (deadline_ms or 20000) / 1000.0,
                is_silent,
            )
            answer = status, content.decode(errors="replace")
        except TimeoutError:
            answer = "silence", ""
        except OSError as exc:
            answer = "broken", str(exc)
        self.record(
            "client: answer", job=job, status=answer[0], body=answer[1][:120]
        )
        return answer

    async def ask(self, entry, method, path, timeout_s=3.0):
        """Make a call without a body; return the status or a text."""
        try:
            status, content = await http_server.call(
                self.entry_hosts[entry],
                self.port + 10,
                method,
                path,
                None,
                {"host": HOSTNAME},
                timeout_s,
            )
            answer = status, content.decode(errors="replace")
        except TimeoutError:
            answer = "silence", ""
        except OSError as exc:
            answer = "broken", str(exc)
        self.record(
            "client: call",
            method=method,
            path=path,
            entry=entry,
            status=answer[0],
            body=answer[1][:120],
        )
        return answer

    def end(self):
        """End all processes that were started."""
        for program in self.programs:
            program.end()
        shutil.rmtree(self.folder, ignore_errors=True)
