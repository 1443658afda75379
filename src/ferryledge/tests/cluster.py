"""Starts the programs as separate processes, for tests."""

import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from urllib import request

KEYS = "test-key-test-key-test"
HOST = "127.0.0.1"
ZONES = ("north", "south", "west")
_BIN = pathlib.Path(sys.executable).parent
#: Seconds until a start that neither ends nor gets ready is given up.
_START_S = 120.0
#: Below those that Linux gives to stand-ins and dialled streams by itself:
#: 3% of the starts of fourteen daemons failed by a port that was taken.
_PORTS = range(12_000, 32_000)
#: Ports between the first ones of two runs with neighbouring process ids.
_STEP = 401
#: Bytes of a daemon's log that a failed start shows.
_LOG_BYTES = 2000


def free_ports(count):
    """Return ports that nobody holds now, none of them given before."""
    return [next(_free) for _ in range(count)]


def _draw():
    """Yield free ports; runs side by side begin at different ones."""
    begin = os.getpid() * _STEP % len(_PORTS)
    for port in itertools.chain(_PORTS[begin:], _PORTS[:begin]):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        yield port


_free = _draw()


def call(method, url, body=None, timeout=10.0):
    """Return status and decoded JSON of an HTTP call."""
    data = None if body is None else json.dumps(body).encode()
    asked = request.Request(url, data=data, method=method)
    asked.add_header("content-type", "application/json")
    try:
        with request.urlopen(asked, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except request.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"null")


@dataclasses.dataclass
class Process:
    """One program that a test started."""

    name: str
    popen: subprocess.Popen
    http_port: int
    peer_port: int = 0

    @property
    def url(self):
        return f"http://{HOST}:{self.http_port}"

    def signal(self, number):
        self.popen.send_signal(number)

    def wait(self, timeout=20.0):
        return self.popen.wait(timeout)


class ProcessCluster:
    """Stand-ins, entries and agents as separate processes."""

    def __init__(self, folder, entries=3, agents=11, slots=8):
        self.folder = folder
        self.slots = slots
        self.processes = {}
        self.vms = []
        self.platform = self._standin("platform", "platform")
        self.publish()
        for number in range(agents):
            self.start_agent(number)
        for number in range(entries):
            self.start_entry(number)
        self.list_vms()
        try:
            self.until_ready()
        except AssertionError:
            self.stop()
            raise

    @property
    def entries(self):
        return [p for n, p in self.processes.items() if n[:5] == "entry"]

    @property
    def urls(self):
        return tuple(process.url for process in self.entries)

    def journal(self):
        """Return every start, as the endpoints wrote it down."""
        entries = []
        for path in sorted(self.folder.glob("*.journal")):
            lines = path.read_text().splitlines()
            entries += [json.loads(line) for line in lines]
        return entries

    def publish(self):
        change = {
            "record": "change",
            "id": "start",
            "base": 0,
            "author": "test",
            "reason": "start",
            "at": 0.0,
            "puts": [
                {"kind": "service", "name": "lookup", "timeout_s": 10.0},
                {
                    "kind": "service",
                    "name": "hold",
                    "repeatable": False,
                    "timeout_s": 10.0,
                },
                {"kind": "workspace", "name": "shop"},
            ],
        }
        call("POST", self.platform.url + "/v1/log/ferryledge", change)

    def control(self, **faults):
        call("PUT", self.platform.url + "/control", faults)

    def list_vms(self):
        call("PUT", self.platform.url + "/v1/vms", self.vms)

    def start_agent(self, number):
        name = f"agent-{number + 1}"
        journal = self.folder / f"{name}.journal"
        endpoint = self.processes.get(f"endpoint-{number + 1}")
        if endpoint is None:
            endpoint = self._standin(
                f"endpoint-{number + 1}",
                "endpoint",
                "--name",
                name,
                "--journal",
                str(journal),
            )
        return self._daemon(
            name, "agent", number, endpoint_url=endpoint.url, slots=self.slots
        )

    def start_entry(self, number):
        return self._daemon(
            f"entry-{number + 1}",
            "entry",
            number,
            platform_url=self.platform.url,
            vms_poll_s=0.2,
        )

    def until_ready(self):
        end = time.monotonic() + _START_S
        peers = len(self.vms) - 1
        for process in self.entries:
            while time.monotonic() < end:
                self._check_alive()
                try:
                    _, status = call("GET", process.url + "/v1/status")
                except OSError:
                    time.sleep(0.05)
                    continue
                if status["ready"] and len(status["peers"]) == peers:
                    break
                time.sleep(0.05)
            else:
                raise AssertionError(f"{process.name} is not ready")

    def _check_alive(self):
        for process in self.processes.values():
            code = process.popen.poll()
            if code is not None:
                log = (self.folder / f"{process.name}.log").read_text()
                raise AssertionError(
                    f"{process.name} ended with {code}: {log[-_LOG_BYTES:]}"
                )

    def stop(self):
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()

    def _standin(self, name, *arguments):
        popen = subprocess.Popen(
            [_BIN / "ferryledge-standin", *arguments],
            stdout=subprocess.PIPE,
            stderr=(self.folder / f"{name}.log").open("w"),
        )
        port = json.loads(popen.stdout.readline())["port"]
        process = Process(name, popen, port)
        self.processes[name] = process
        return process

    def _daemon(self, name, program, number, **settings):
        known = [vm for vm in self.vms if vm["name"] == name]
        peer_port = known[0]["port"] if known else free_ports(1)[0]
        (http_port,) = free_ports(1)
        zone = ZONES[number % len(ZONES)]
        settings |= {
            "name": name,
            "zone": zone,
            "peer_port": peer_port,
            "http_port": http_port,
            "peer_keys": KEYS,
        }
        variables = {
            f"FERRYLEDGE_{key.upper()}": str(value)
            for key, value in settings.items()
        }
        popen = subprocess.Popen(
            [_BIN / f"ferryledge-{program}"],
            env=os.environ | variables,
            stderr=(self.folder / f"{name}.log").open("a"),
        )
        process = Process(name, popen, http_port, peer_port)
        self.processes[name] = process
        if not known:
            self.vms.append(
                {
                    "name": name,
                    "role": program,
                    "host": HOST,
                    "port": peer_port,
                    "zone": zone,
                }
            )
        return process
