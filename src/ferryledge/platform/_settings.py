"""The settings file that the platform provides to each process."""

import math
import os
import pathlib
import tomllib
import typing

import msgspec

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FERRYLEDGE_CONFIG"
_BYTES_PER_MBIT = 125_000.0


class SettingsError(Exception):
    """The settings file is missing or invalid.

    The message names the variable, file, field or address at fault.
    """


class _Table(msgspec.Struct, frozen=True, rename="pascal"):
    """A table of the settings file; unknown fields are ignored."""


class Listen(_Table, frozen=True):
    """Addresses to listen on, as ``host:port``; empty if unused."""

    frontend: str = ""
    readiness: str = ""
    #: Receives the endpoint's heartbeats; used by agents only.
    control_plane: str = ""


class Bounds(_Table, frozen=True):
    """Times and factors that the platform guarantees or requires."""

    #: Maximum duration of a lease at an endpoint, in ms.
    hold_max_ms: float = 1000
    #: Maximum time that an endpoint takes to stop a run, in ms.
    stop_ms: float = 50
    #: Seconds between SIGTERM and SIGKILL.
    grace_s: float = 6
    #: Factor on the run time of a task that isn't near its data.
    far_x: float = 1.0
    #: Time within which a new configuration must be in force, in ms.
    config_apply_ms: float = 2000


class Limits(_Table, frozen=True):
    """Resources of the machine that this process may use."""

    #: Bandwidth of the network link in Mbit/s; 0 is unknown.
    link_mbps: float = 0.0


class Store(_Table, frozen=True):
    """The platform's log store."""

    address: str = ""
    #: Number of partitions of each topic.
    partitions: int = msgspec.field(name="parts", default=1)


class Settings(_Table, frozen=True):
    """The settings of one process."""

    #: The machine's name, unique in the deployment.
    node: str
    #: IP address at which peers reach this process.
    ip: str
    #: The machine's availability zone.
    zone: str
    #: First and last port available for streams between processes.
    port_range: tuple[int, int]
    listen_addrs: Listen = Listen()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    #: Addresses of processes to discover entries from; may be stale.
    seeds: tuple[str, ...] = ()
    store: Store = msgspec.field(name="platform", default=Store())
    #: ``host:port`` of the agent's endpoint; empty at entries.
    endpoint: str = msgspec.field(name="app", default="")

    #: Address to listen on for streams if it differs from ``ip``.
    listen_ip: str = ""

    @property
    def max_lease_s(self) -> float:
        """Maximum duration of a lease at an endpoint, in seconds."""
        return self.bounds.hold_max_ms / 1000.0

    @property
    def max_stop_s(self) -> float:
        """Maximum time that an endpoint takes to stop a run, in seconds."""
        return self.bounds.stop_ms / 1000.0

    @property
    def config_apply_s(self) -> float:
        """Seconds within which a new configuration must be in force."""
        return self.bounds.config_apply_ms / 1000.0

    @property
    def link_bytes_per_s(self) -> float:
        """Bandwidth of the network link; infinite if unknown."""
        mbps = self.limits.link_mbps
        return mbps * _BYTES_PER_MBIT if mbps > 0.0 else math.inf

    @property
    def stream_host(self) -> str:
        """Address to listen on for streams."""
        return self.listen_ip or self.ip

    @property
    def stream_port(self) -> int:
        """Port for streams between processes; the same on all machines."""
        return self.port_range[0]


def parse_settings(text: str) -> Settings:
    """Decode the text of a settings file.

    :raises SettingsError: if the text is not valid TOML or a field is missing
        or invalid
    """
    try:
        table: typing.Any = tomllib.loads(text)
        return msgspec.convert(table, Settings)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(
            f"the settings file is not valid TOML: {exc}"
        ) from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"invalid setting: {exc}") from exc


def read_settings() -> Settings:
    """Read the settings file of this process.

    :raises SettingsError: if the file can't be read or is invalid
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"set {SETTINGS_VARIABLE} to the path of the settings file"
        )
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        raise SettingsError(f"can't read {path}: {exc.strerror}") from exc
    return parse_settings(text)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port.

    :raises SettingsError: if the address has another form
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{address!r} is not of the form host:port")
    return host, int(port)
