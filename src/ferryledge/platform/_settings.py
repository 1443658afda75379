"""The settings file that the platform gives each process."""

import math
import os
import pathlib
import tomllib
import typing

import msgspec

#: Variable with the path of the settings file.
SETTINGS_VARIABLE = "FERRYLEDGE_CONFIG"
_BYTES_PER_MBIT = 125_000.0


class SettingsError(Exception):
    """The settings file is missing or wrong.

    The message names the field and what to do.
    """


class _Part(msgspec.Struct, frozen=True, rename="pascal"):
    """A table of the file; unknown fields are passed over."""


class Listen(_Part, frozen=True):
    """Where this process listens, as ``host:port``; empty is not at all."""

    frontend: str = ""
    readiness: str = ""
    #: Where endpoints report, or other processes look for this one.
    control_plane: str = ""


class Bounds(_Part, frozen=True):
    """Times that the platform promises or asks for."""

    #: Longest lease that an endpoint accepts, in ms.
    hold_max_ms: float = 1000
    #: Longest time a stop takes at an endpoint, in ms.
    stop_ms: float = 50
    #: Seconds between SIGTERM and SIGKILL.
    grace_s: float = 6
    #: How many times as long a task takes away from its data.
    far_x: float = 1.0
    #: Until when a configuration must be in force, in ms.
    config_apply_ms: float = 2000


class Limits(_Part, frozen=True):
    """What the machine gives this process."""

    #: What its link carries, in Mbit/s; 0 is unknown.
    link_mbps: float = 0.0


class Store(_Part, frozen=True):
    """The platform's log store."""

    address: str = ""
    #: Partitions that each topic has.
    partitions: int = msgspec.field(name="parts", default=1)


class Settings(_Part, frozen=True):
    """All settings that this system uses."""

    #: The machine's name, unique in the deployment.
    node: str
    #: IP number that peers reach this process at.
    ip: str
    #: The zone that the machine stands in.
    zone: str
    #: First and last port that is free for streams between processes.
    port_range: tuple[int, int]
    listen_addrs: Listen = Listen()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    #: Addresses of processes that may know others; may be stale.
    seeds: tuple[str, ...] = ()
    store: Store = msgspec.field(name="platform", default=Store())
    #: ``host:port`` of the endpoint beside this process; empty at entries.
    endpoint: str = msgspec.field(name="app", default="")

    #: Address to listen on for streams, if peers reach it through another.
    listen_ip: str = ""

    @property
    def longest_lease_s(self) -> float:
        """The longest lease that an endpoint accepts, in seconds."""
        return self.bounds.hold_max_ms / 1000.0

    @property
    def stop_s(self) -> float:
        """The longest time a stop takes at an endpoint, in seconds."""
        return self.bounds.stop_ms / 1000.0

    @property
    def config_apply_s(self) -> float:
        """Until when a configuration must be in force, in seconds."""
        return self.bounds.config_apply_ms / 1000.0

    @property
    def link_bytes_per_s(self) -> float:
        """What the machine's link carries; infinite if that is unknown."""
        mbps = self.limits.link_mbps
        return mbps * _BYTES_PER_MBIT if mbps > 0.0 else math.inf

    @property
    def stream_host(self) -> str:
        """The address to listen on for streams."""
        return self.listen_ip or self.ip

    @property
    def stream_port(self) -> int:
        """The port for streams between processes, alike on all machines."""
        return self.port_range[0]


def parse_settings(text: str) -> Settings:
    """Return the settings that a file's text holds.

    :raises SettingsError: if the text is no TOML or a field is wrong
    """
    try:
        plain: typing.Any = tomllib.loads(text)
        return msgspec.convert(plain, Settings)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f"the settings file is no TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"wrong setting: {exc}") from exc


def read_settings() -> Settings:
    """Return the settings of this process.

    :raises SettingsError: if the file can't be read or a field is wrong
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"set {SETTINGS_VARIABLE} to the settings file")
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        raise SettingsError(f"can't read {path}: {exc.strerror}") from exc
    return parse_settings(text)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``.

    :raises SettingsError: if it is something else
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{address!r} is no host:port")
    return host, int(port)
