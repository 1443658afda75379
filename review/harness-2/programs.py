"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tomllib

import record as record_module

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
FRONTEND_PORT = 8161
CONTROL_PORT = 8166
READINESS_PORT = 8167
APP_PORT = 8165
STORE_PORT = 8169
PORT_RANGE = (7720, 7735)

_SETTINGS = """\
Node = {node}
Role = {role}
MachineClass = {machine_class}
Serves = {serves}
Ip = {ip}
{extra}
Zone = {zone}
Region = "munster"
PortRange = [{first_port}, {last_port}]
Seeds = {seeds}
Bootstrap = true
CountsAsLoss = false
Discovery = "local"
Entrypoint = "vip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
Commands = "call"
[Zones]
hall-a = "munster"
hall-b = "munster"
hall-c = "munster"
[ListenAddrs]
{addresses}
[Limits]
CpuShares = 0.645
Cores = 1
MemoryMb = 300
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopMs = 50
cancel_ms = 3000
FarX = 1.5
RetransmitMs = 1300
[platform]
Address = {store}
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"""


class Addresses:
    """A block of loopback addresses that nothing else listens on."""

    def __init__(self) -> None:
        for _ in range(50):
            self._net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
            if self._is_free():
                return
        raise OSError("no free block of loopback addresses")

    def _is_free(self) -> bool:
        try:
            with socket.socket() as probe:
                probe.bind((f"{self._net}.1", STORE_PORT))
        except OSError:
            return False
        return True

    def host(self, number: int) -> str:
        """Return one address of the block."""
        return f"{self._net}.{number}"


class Program:
    """One process of the system, and its successors.

    :param role: role in the deploy file
    :param name: its machine's name
    :param settings: the text of its settings file
    :param folder: temporary folder for settings and logs
    :param record: hears of starts and ends
    """

    def __init__(
        self,
        role: str,
        name: str,
        settings: str,
        folder: pathlib.Path,
        record: record_module.Record,
    ) -> None:
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"][role]
        self.name = name
        self._command = deploy["run"].split()
        self._variables = deploy.get("env", {})
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings, encoding="utf-8")
        self.log_path = folder / f"{name}.log"
        self._record = record
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= {
            **self._variables,
            "FERRYLEDGE_CONFIG": str(self._path),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.note("process", f"{self.name} starts")

    async def restart_killed(self, after_s: float) -> None:
        """Kill the process, and start it again a moment later."""
        assert self._process is not None
        self._record.note("process", f"{self.name} gets SIGKILL")
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        await asyncio.sleep(after_s)
        self.start()

    def end(self) -> None:
        """End the process for good."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def has_logged(self, text: str) -> bool:
        """Return whether the process has logged a text."""
        if not self.log_path.exists():
            return False
        return text in self.log_path.read_text(errors="replace")


def entry_settings(
    node: str,
    zone: str,
    ip: str,
    store: str,
    seeds: list[str],
    shown_ip: str = "",
) -> str:
    """Return the settings of an entry on a ``front`` machine.

    :param shown_ip: the address at which others reach it, if a proxy of the
        case stands between
    """
    addresses = (
        f'Frontend = "{ip}:{FRONTEND_PORT}"\n'
        f'Readiness = "{ip}:{READINESS_PORT}"\n'
        f'ControlPlane = "{ip}:{CONTROL_PORT}"'
    )
    return _fill(
        node, "entry", "front", ["front", "control"], zone, shown_ip or ip,
        addresses, f"{store}:{STORE_PORT}", seeds,
        f'ListenIp = "{ip}"' if shown_ip else "",
    )  # fmt: skip


def agent_settings(
    node: str, zone: str, ip: str, store: str, seeds: list[str]
) -> str:
    """Return the settings of an agent on a ``side`` machine."""
    return _fill(
        node, "agent", "side", ["side"], zone, ip,
        f'ControlPlane = "{ip}:{CONTROL_PORT}"',
        f"{store}:{STORE_PORT}", seeds,
        f'app = "{ip}:{APP_PORT}"\nBackend = "order-desk"',
    )  # fmt: skip


def _fill(
    node: str,
    role: str,
    machine_class: str,
    serves: list[str],
    zone: str,
    ip: str,
    addresses: str,
    store: str,
    seeds: list[str],
    extra: str,
) -> str:
    return _SETTINGS.format(
        node=json.dumps(node),
        role=json.dumps(role),
        machine_class=json.dumps(machine_class),
        serves=json.dumps(serves),
        ip=json.dumps(ip),
        extra=extra,
        zone=json.dumps(zone),
        first_port=PORT_RANGE[0],
        last_port=PORT_RANGE[1],
        seeds=json.dumps(seeds),
        addresses=addresses,
        store=json.dumps(store),
    )


def configuration(version: int) -> bytes:
    """Return a configuration with the three queues of a small site."""
    queues = (("stock-check", 0, 3), ("trade-quote", 2, 2), ("part-hold", 1, 2))
    routes = [
        {
            "Name": name,
            "Hostname": "desk.example",
            "PathPrefix": f"/{name}/",
            "Backend": "order-desk",
            "TargetLatencyMs": 60,
            "Priority": priority,
            "Attempts": attempts,
            "Stretch": 1.6,
        }
        for name, priority, attempts in queues
    ]
    services = [{"Name": "order-desk", "EnforcesCapacity": False}]
    value = {"Version": version, "Routes": routes, "Services": services}
    return json.dumps(value).encode()
