"""Writes settings files and configurations in the platform's format."""

from collections import abc
import json

from ferryledge.platform import _config


def render_settings(
    node: str,
    ip: str,
    listen_ip: str,
    port: int,
    store: str,
    endpoint: str = "",
    zone: str = "north",
) -> str:
    """Return a settings file.

    :param node: the machine's name
    :param ip: IP address at which peers reach the process
    :param listen_ip: IP address to listen on
    :param port: first port of the process; the next 12 ports are used too
    :param store: ``host:port`` of the store
    :param endpoint: ``host:port`` of the agent's endpoint; empty at entries
    :param zone: availability zone of the machine
    """
    return f"""
Node = "{node}"
Ip = "{ip}"
ListenIp = "{listen_ip}"
Zone = "{zone}"
PortRange = [{port}, {port + 9}]
Seeds = []
app = "{endpoint}"
[ListenAddrs]
Frontend = "{listen_ip}:{port + 10}"
Readiness = "{listen_ip}:{port + 11}"
ControlPlane = "{listen_ip}:{port + 12}"
[Bounds]
HoldMaxMs = 1000
StopMs = 50
GraceS = 6
[platform]
Address = "{store}"
"""


def render_config(version: int, queues: abc.Sequence[str]) -> bytes:
    """Return a configuration with one route per queue.

    :param version: version of the configuration
    :param queues: names of the queues; each is also the path prefix
    """
    routes = [
        {
            "Name": name,
            "Hostname": "desk.example",
            "PathPrefix": f"/{name}/",
            "Backend": "desk",
            "TargetLatencyMs": 200,
            "Priority": 0,
            "Attempts": 3,
            "Stretch": 2.0,
        }
        for name in queues
    ]
    return json.dumps({"Version": version, "Routes": routes}).encode()


def cordon_key(zone: str) -> str:
    """Return the key of the record that cordons a zone."""
    return f"{_config.CORDON_PREFIX}{zone}"
